//! Computes the distance of upstreams from this balancer's own point on the ring, so that different
//! balancers prefer different upstreams.

use std::ops::Range;

use hollowpaddle_ordered_collections::ring::Place;

use super::Upstreams;

/// Distance between the points of successive balancers, as a share of the ring. Multiples of the
/// golden ratio are spread evenly, both for consecutive balancers and for every n-th balancer.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

impl Upstreams {
    /// Returns whether crossing zones has a price.
    fn charges_zone_crossing(&self) -> bool {
        self.settings.prices.cross_zone > 0.0
    }

    /// Returns the place of an upstream on the ring.
    pub(super) fn place_of(&self, server: usize) -> Place {
        let s = &self.servers[server];
        let part = if self.charges_zone_crossing() { s.zone } else { 0 };
        Place { part, name: s.identity, slot: server }
    }

    /// Returns the index of a live upstream on the ring, and the part of the ring that contains it.
    pub(crate) fn find(&self, server: usize) -> Option<(usize, Range<usize>)> {
        let place = self.place_of(server);
        Some((self.ring.find(place)?, self.ring.part(place.part)))
    }

    /// Returns the part of the ring that contains this balancer's own point.
    pub(crate) fn own_part(&self) -> Range<usize> {
        self.ring.part(if self.charges_zone_crossing() { self.settings.zone } else { 0 })
    }

    /// Returns the distance of the upstream at an index of the ring from this balancer's own point,
    /// in even shares of the upstreams. Where crossing zones has a price, an upstream in another
    /// zone is farther away by `cross_zone_distance`.
    pub(crate) fn distance(
        &self,
        index: usize,
        part: &Range<usize>,
        cross_zone_distance: f64,
    ) -> f64 {
        let (own, balancers) = self.own_point();
        let d = (((index - part.start) as f64 + 0.5) / part.len() as f64 - own).abs();
        let is_other_zone =
            self.charges_zone_crossing() && self.ring.at(index).part != self.settings.zone;
        d.min(1.0 - d) * balancers + if is_other_zone { cross_zone_distance } else { 0.0 }
    }

    /// Returns the position of this balancer's own point on each part of the ring, from 0 to 1, and
    /// the number of balancers that share a part.
    fn own_point(&self) -> (f64, f64) {
        let s = &self.settings;
        let zones = if self.charges_zone_crossing() { f64::from(s.zones.max(1)) } else { 1.0 };
        ((f64::from(s.position) * GOLDEN_RATIO).fract(), (self.sharers / zones).max(1.0))
    }

    /// Returns, in order, the indexes of a part of the ring that lie within `max_distance` of this
    /// balancer's own point, and a few adjacent ones.
    pub(crate) fn near(
        &self,
        part: &Range<usize>,
        max_distance: f64,
    ) -> impl Iterator<Item = usize> + Clone + use<> {
        let (own, balancers) = self.own_point();
        let all = part.len() as f64;
        let (first, last) = (
            (own - max_distance / balancers) * all - 2.0,
            (own + max_distance / balancers) * all + 2.0,
        );
        // A range that passes one end of the ring continues at the other end.
        let (first, last) = if last - first >= all { (0.0, all) } else { (first, last) };
        let clip = |from: f64, to: f64| {
            let at = |x: f64| part.start + x.clamp(0.0, all) as usize;
            at(from)..at(to.ceil())
        };
        let (before, behind) = (clip(0.0, last - all), clip(first + all, all));
        before.chain(clip(first, last)).chain(behind)
    }
}
