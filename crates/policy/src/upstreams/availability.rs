//! Which upstreams have a free slot, for all classes and for those that some upstream is shut to.

use hollowpaddle_ordered_collections::tournament::Key;

use super::Upstreams;
use crate::capacity::EjectedClass;
use crate::interface::Time;
use crate::request_state::Affinity;

/// How an upstream stands now.
pub(crate) struct Availability {
    /// Its key if it has a free slot and does not rest, else [`Key::OUT`].
    pub(crate) key: Key,
    /// Counted among the warm ones.
    pub(crate) warm: bool,
    /// Whether some class is shut to it.
    pub(crate) partly_ejected: bool,
}

impl Upstreams {
    /// Books how an upstream stands.
    pub(crate) fn set_availability(&mut self, now: Time, server: usize, standing: Availability) {
        let area = self.area(self.servers[server].zone);
        let s = &mut self.servers[server];
        if std::mem::replace(&mut s.is_warm, standing.warm) != standing.warm {
            self.kinds.change_warm(s.type_index, s.weight, standing.warm);
        }
        let was_partly_ejected =
            std::mem::replace(&mut s.is_partly_ejected, standing.partly_ejected);
        let is_free = standing.key != Key::OUT;
        let was_free = std::mem::replace(&mut s.was_available, is_free);
        let cost_stood = std::mem::replace(&mut s.cost_when_available, s.cost);
        let is_unchanged = is_free == was_free && (!is_free || s.cost == cost_stood);
        if is_unchanged && !was_partly_ejected && !standing.partly_ejected {
            return;
        }
        let (fully_available, partly_ejected) = if standing.partly_ejected {
            (Key::OUT, standing.key)
        } else {
            (standing.key, Key::OUT)
        };
        for &number in &s.capacity_groups {
            let Some(capacity_group) = self.capacity_groups.get_mut(number) else { continue };
            let trees = capacity_group.trees.get_mut(area);
            trees.fully_available.set(server, fully_available);
            trees.partly_ejected.set(server, partly_ejected);
        }
        if was_partly_ejected || standing.partly_ejected {
            self.count_ejections(now, server);
            self.set_class_availability(now, server, partly_ejected);
        }
    }

    /// Counts an upstream with the classes that it is shut to, and no longer with those that it was.
    fn count_ejections(&mut self, now: Time, server: usize) {
        let s = &self.servers[server];
        let shut = s.by_class.shut(now).map(|b| b.class).filter(|_| s.is_partly_ejected);
        let shut: Vec<u32> = shut.filter(|class| self.serves(*class as usize, s)).collect();
        for &class in &shut {
            let capacity_group = self.capacity_groups.of_class_mut(class as usize);
            let new = || {
                capacity_group.ejected_classes.push(class);
                EjectedClass::new(capacity_group)
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
    fn set_class_availability(&mut self, now: Time, server: usize, key: Key) {
        let area = self.area(self.servers[server].zone);
        let s = &self.servers[server];
        for &number in &s.capacity_groups {
            let Some(capacity_group) = self.capacity_groups.get_mut(number) else { continue };
            for class in &capacity_group.ejected_classes {
                let Some(of) = self.shut.get_mut(class) else { continue };
                let key = of.key(key, s.by_class.is_ejected(now, *class as usize));
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
        let capacity_groups = &mut self.capacity_groups;
        self.shut.retain(|class, of| {
            let capacity_group = capacity_groups.of_class_mut(*class as usize);
            of.is_panicking = of.count as f64 > capacity_group.live as f64 * share;
            if of.count == 0 {
                capacity_group.ejected_classes.retain(|c| c != class);
            }
            of.count > 0
        });
    }

    /// Of those that stood with a free slot for this class, the one with the least key.
    pub(crate) fn best(
        &mut self,
        class: usize,
        affinity: Affinity,
        without: &[usize],
    ) -> Option<usize> {
        let area = match affinity {
            Affinity::Zone(zone) => Some(self.area(zone)),
            _ => None,
        };
        let by_class = self.shut.get_mut(&(class as u32));
        let is_ejected_somewhere = by_class.is_some();
        let trees = self.capacity_groups.of_class_mut(class).trees.within(area);
        let in_group = trees.filter_map(|trees| {
            let fully_available = trees.fully_available.best_without(without);
            let partly_ejected = &mut trees.partly_ejected;
            let partly_ejected =
                if is_ejected_somewhere { None } else { partly_ejected.best_without(without) };
            fully_available.into_iter().chain(partly_ejected).min()
        });
        let by_class = by_class.into_iter().flat_map(|of| of.open.within(area));
        let open = by_class.filter_map(|tree| tree.best_without(without));
        in_group.chain(open).min().map(|(_, server)| server)
    }
}
