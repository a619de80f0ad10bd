//! Keeps the upstreams with a free slot in order of cost, for all classes and for those that some
//! upstream is ejected for.
//!
//! Whether an upstream has a free slot is for [`crate::policy`] to say.

use hollowpaddle_ordered_collections::tournament::Key;

use super::Upstreams;
use crate::capacity::EjectedClass;
use crate::interface::Time;
use crate::request_state::Affinity;

/// Whether an upstream can be sent to as of now.
pub(crate) struct Availability {
    /// Its key if it has a free slot and is not ejected for all classes, else [`Key::OUT`].
    pub(crate) key: Key,
    /// It is live and not warming up.
    pub(crate) warm: bool,
    /// It is ejected for some class.
    pub(crate) partly_ejected: bool,
}

impl Upstreams {
    /// Books the availability of an upstream.
    pub(crate) fn set_availability(
        &mut self,
        now: Time,
        server: usize,
        availability: Availability,
    ) {
        let Availability { key, warm, partly_ejected } = availability;
        let area = self.area(self.servers[server].zone);
        let s = &mut self.servers[server];
        if std::mem::replace(&mut s.is_warm, warm) != warm {
            self.machine_types.change_warm(s.type_index, s.weight, warm);
        }
        let was_partly_ejected = std::mem::replace(&mut s.is_partly_ejected, partly_ejected);
        let is_available = key != Key::OUT;
        let was_available = std::mem::replace(&mut s.was_available, is_available);
        let previous_cost = std::mem::replace(&mut s.cost_when_available, s.cost);
        let is_unchanged =
            is_available == was_available && (!is_available || s.cost == previous_cost);
        if is_unchanged && !was_partly_ejected && !partly_ejected {
            return;
        }
        let (key_if_full, key_if_partial) =
            if partly_ejected { (Key::OUT, key) } else { (key, Key::OUT) };
        for &number in &s.capacity_groups {
            let Some(group) = self.capacity_groups.get_mut(number) else { continue };
            let trees = group.trees.get_mut(area);
            trees.fully_available.set(server, key_if_full);
            trees.partly_ejected.set(server, key_if_partial);
        }
        if was_partly_ejected || partly_ejected {
            self.count_ejections(now, server);
            self.set_class_availability(now, server, key_if_partial);
        }
    }

    /// Counts an upstream with the classes that it is ejected for now, and no longer with the
    /// previous ones.
    fn count_ejections(&mut self, now: Time, server: usize) {
        let s = &self.servers[server];
        let ejected = s.by_class.ejected(now).map(|b| b.class).filter(|_| s.is_partly_ejected);
        let ejected: Vec<u32> = ejected.filter(|class| self.serves(*class as usize, s)).collect();
        for &class in &ejected {
            let group = self.capacity_groups.of_class_mut(class as usize);
            let new = || {
                group.ejected_classes.push(class);
                EjectedClass::new(group)
            };
            self.ejected_classes.entry(class).or_insert_with(new).count += 1;
        }
        for class in self.servers[server].by_class.count(ejected) {
            if let Some(previous) = self.ejected_classes.get_mut(&class) {
                previous.count -= 1;
            }
        }
    }

    /// Sets the key of an upstream in the trees of the classes that some upstream is ejected for.
    fn set_class_availability(&mut self, now: Time, server: usize, key: Key) {
        let area = self.area(self.servers[server].zone);
        let s = &self.servers[server];
        for &number in &s.capacity_groups {
            let Some(group) = self.capacity_groups.get_mut(number) else { continue };
            for class in &group.ejected_classes {
                let Some(ejected) = self.ejected_classes.get_mut(class) else { continue };
                let key = ejected.key(key, s.by_class.is_ejected(now, *class as usize));
                ejected.available.get_mut(area).set(server, key);
            }
        }
    }

    /// Whether so many upstreams are ejected for a class that none counts as ejected for it.
    pub(crate) fn is_panicking(&self, class: usize) -> bool {
        self.ejected_classes.get(&(class as u32)).is_some_and(|ejected| ejected.is_panicking)
    }

    /// Recomputes for which classes more than `share` of their upstreams is ejected.
    pub(crate) fn refresh_panic(&mut self, share: f64) {
        let groups = &mut self.capacity_groups;
        self.ejected_classes.retain(|class, ejected| {
            let group = groups.of_class_mut(*class as usize);
            ejected.is_panicking = ejected.count as f64 > group.live as f64 * share;
            if ejected.count == 0 {
                group.ejected_classes.retain(|c| c != class);
            }
            ejected.count > 0
        });
    }

    /// The upstream with the least key of those available to a class, without some of them. As of
    /// their last refresh.
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
        let ejected = self.ejected_classes.get_mut(&(class as u32));
        let is_ejected_somewhere = ejected.is_some();
        let trees = self.capacity_groups.of_class_mut(class).trees.within(area);
        let in_group = trees.filter_map(|trees| {
            let full = trees.fully_available.best_without(without);
            let partial = if is_ejected_somewhere {
                None
            } else {
                trees.partly_ejected.best_without(without)
            };
            full.into_iter().chain(partial).min()
        });
        let of_class = ejected.into_iter().flat_map(|ejected| ejected.available.within(area));
        let available = of_class.filter_map(|tree| tree.best_without(without));
        in_group.chain(available).min().map(|(_, server)| server)
    }
}
