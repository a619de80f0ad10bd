//! Orders the upstreams with a free slot by cost, for all classes together and separately for each
//! class for which some upstream is ejected.
//!
//! [`crate::policy`] decides whether an upstream has a free slot.

use hollowpaddle_ordered_collections::tournament::Key;

use super::Upstreams;
use crate::capacity::EjectedClass;
use crate::interface::Time;
use crate::request_state::Affinity;

/// The present availability of an upstream.
pub(crate) struct Availability {
    /// The upstream's key if it has a free slot and is not ejected for all classes, otherwise
    /// [`Key::ABSENT`].
    pub(crate) key: Key,
    /// Whether the upstream is live and not warming up.
    pub(crate) warm: bool,
    /// Whether the upstream is ejected for some class.
    pub(crate) partly_ejected: bool,
}

impl Upstreams {
    /// Records the availability of an upstream.
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
        let is_available = key != Key::ABSENT;
        let was_available = std::mem::replace(&mut s.was_available, is_available);
        let previous_cost = std::mem::replace(&mut s.cost_when_available, s.cost);
        let is_unchanged =
            is_available == was_available && (!is_available || s.cost == previous_cost);
        if is_unchanged && !was_partly_ejected && !partly_ejected {
            return;
        }
        let (key_if_full, key_if_partial) =
            if partly_ejected { (Key::ABSENT, key) } else { (key, Key::ABSENT) };
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

    /// Updates the ejection counts of all classes to those for which an upstream is ejected now.
    fn count_ejections(&mut self, now: Time, server: usize) {
        let s = &self.servers[server];
        let ejected =
            s.class_breakers.ejected(now).map(|b| b.class).filter(|_| s.is_partly_ejected);
        let ejected: Vec<u32> = ejected.filter(|class| self.serves(*class as usize, s)).collect();
        for &class in &ejected {
            let group = self.capacity_groups.of_class_mut(class as usize);
            let new = || {
                group.ejected_classes.push(class);
                EjectedClass::new(group)
            };
            self.ejected_classes.entry(class).or_insert_with(new).count += 1;
        }
        for class in self.servers[server].class_breakers.count(ejected) {
            if let Some(previous) = self.ejected_classes.get_mut(&class) {
                previous.count -= 1;
            }
        }
    }

    /// Sets the key of an upstream in the trees of all classes for which some upstream is ejected.
    fn set_class_availability(&mut self, now: Time, server: usize, key: Key) {
        let area = self.area(self.servers[server].zone);
        let s = &self.servers[server];
        for &number in &s.capacity_groups {
            let Some(group) = self.capacity_groups.get_mut(number) else { continue };
            for class in &group.ejected_classes {
                let Some(ejected) = self.ejected_classes.get_mut(class) else { continue };
                let key = ejected.key(key, s.class_breakers.is_ejected(now, *class as usize));
                ejected.available.get_mut(area).set(server, key);
            }
        }
    }

    /// Returns whether the panic threshold is reached, so that ejection is ignored for a class.
    pub(crate) fn is_panicking(&self, class: usize) -> bool {
        self.ejected_classes.get(&(class as u32)).is_some_and(|ejected| ejected.is_panicking)
    }

    /// Recomputes the classes for which the panic threshold is reached: more than `share` of the
    /// upstreams of the class are ejected.
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

    /// Returns the upstream with the least key that is available to a class, except for the
    /// upstreams `without`. Availability is as of the last refresh of each upstream.
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
