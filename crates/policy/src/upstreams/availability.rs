//! Which upstreams have a free slot, for all classes and for those that some upstream is shut to.

use hollowpaddle_ordered_collections::tournament::Key;

use super::Upstreams;
use crate::capacity::ShutClass;
use crate::interface::Time;
use crate::request_state::Bound;

/// How an upstream stands now.
pub(crate) struct Standing {
    /// Its key if it has a free slot and does not rest, else [`Key::OUT`].
    pub(crate) key: Key,
    /// Counted among the warm ones.
    pub(crate) warm: bool,
    /// Whether some class is shut to it.
    pub(crate) spotted: bool,
}

impl Upstreams {
    /// Books how an upstream stands.
    pub(crate) fn stand(&mut self, now: Time, server: usize, standing: Standing) {
        let area = self.area(self.servers[server].zone);
        let s = &mut self.servers[server];
        if std::mem::replace(&mut s.is_warm, standing.warm) != standing.warm {
            self.kinds.change_warm(s.kept_kind, s.weight, standing.warm);
        }
        let was_spotted = std::mem::replace(&mut s.is_spotted, standing.spotted);
        let is_free = standing.key != Key::OUT;
        let was_free = std::mem::replace(&mut s.has_stood_free, is_free);
        let cost_stood = std::mem::replace(&mut s.cost_stood, s.cost);
        let stands_alike = is_free == was_free && (!is_free || s.cost == cost_stood);
        if stands_alike && !was_spotted && !standing.spotted {
            return;
        }
        let (clear, spotted) =
            if standing.spotted { (Key::OUT, standing.key) } else { (standing.key, Key::OUT) };
        for &number in &s.rooms {
            let Some(room) = self.rooms.get_mut(number) else { continue };
            let trees = room.trees.get_mut(area);
            trees.clear.set(server, clear);
            trees.spotted.set(server, spotted);
        }
        if was_spotted || standing.spotted {
            self.count_shut(now, server);
            self.stand_by_class(now, server, spotted);
        }
    }

    /// Counts an upstream with the classes that it is shut to, and no longer with those that it was.
    fn count_shut(&mut self, now: Time, server: usize) {
        let s = &self.servers[server];
        let shut = s.by_class.shut(now).map(|b| b.class).filter(|_| s.is_spotted);
        let shut: Vec<u32> = shut.filter(|class| self.is_open(*class as usize, s)).collect();
        for &class in &shut {
            let room = self.rooms.of_class_mut(class as usize);
            let new = || {
                room.shut_classes.push(class);
                ShutClass::new(room)
            };
            self.shut.entry(class).or_insert_with(new).count += 1;
        }
        for class in self.servers[server].by_class.count(shut) {
            if let Some(of) = self.shut.get_mut(&class) {
                of.count -= 1;
            }
        }
    }

    /// Puts an upstream into the trees of the classes that some upstream is shut to.
    fn stand_by_class(&mut self, now: Time, server: usize, key: Key) {
        let area = self.area(self.servers[server].zone);
        let s = &self.servers[server];
        for &number in &s.rooms {
            let Some(room) = self.rooms.get_mut(number) else { continue };
            for class in &room.shut_classes {
                let Some(of) = self.shut.get_mut(class) else { continue };
                let key = of.key(key, s.by_class.is_shut(now, *class as usize));
                of.open.get_mut(area).set(server, key);
            }
        }
    }

    /// Whether so much of a class's room is shut to it that it is open to it all the same.
    pub(crate) fn is_panicking(&self, class: usize) -> bool {
        self.shut.get(&(class as u32)).is_some_and(|of| of.is_panicking)
    }

    /// Looks anew at which classes are shut by more than this share of their rooms.
    pub(crate) fn refresh_panic(&mut self, share: f64) {
        let rooms = &mut self.rooms;
        self.shut.retain(|class, of| {
            let room = rooms.of_class_mut(*class as usize);
            of.is_panicking = of.count as f64 > room.live as f64 * share;
            if of.count == 0 {
                room.shut_classes.retain(|c| c != class);
            }
            of.count > 0
        });
    }

    /// Of those that stood with a free slot for this class, the one with the least key.
    pub(crate) fn best(&mut self, class: usize, bound: Bound, without: &[usize]) -> Option<usize> {
        let area = match bound {
            Bound::Zone(zone) => Some(self.area(zone)),
            _ => None,
        };
        let by_class = self.shut.get_mut(&(class as u32));
        let is_shut_somewhere = by_class.is_some();
        let trees = self.rooms.of_class_mut(class).trees.within(area);
        let in_room = trees.filter_map(|trees| {
            let clear = trees.clear.best_without(without);
            let spotted = &mut trees.spotted;
            let spotted = if is_shut_somewhere { None } else { spotted.best_without(without) };
            clear.into_iter().chain(spotted).min()
        });
        let by_class = by_class.into_iter().flat_map(|of| of.open.within(area));
        let open = by_class.filter_map(|tree| tree.best_without(without));
        in_room.chain(open).min().map(|(_, server)| server)
    }
}
