//! Computes how far upstreams lie from this balancer's own point on the ring, so that balancers
//! prefer different ones.

use std::ops::Range;

use hollowpaddle_ordered_collections::ring::Place;

use super::Upstreams;

/// Distance of the points of successive balancers, as a part of the ring: multiples of the golden
/// ratio are spread evenly for any run of balancers and for every n-th.
const GOLDEN: f64 = 0.618_033_988_749_895;

impl Upstreams {
    /// Whether crossing zones has a price.
    fn priced(&self) -> bool {
        self.settings.prices.cross_zone > 0.0
    }

    /// The place of an upstream on the ring.
    pub(super) fn place_of(&self, server: usize) -> Place {
        let s = &self.servers[server];
        let part = if self.priced() { s.zone } else { 0 };
        Place { part, name: s.identity, slot: server }
    }

    /// The index of a live upstream on the ring, and its part of the ring.
    pub(crate) fn find(&self, server: usize) -> Option<(usize, Range<usize>)> {
        let place = self.place_of(server);
        Some((self.ring.find(place)?, self.ring.part(place.part)))
    }

    /// The part of the ring that this balancer lies on.
    pub(crate) fn own_part(&self) -> Range<usize> {
        self.ring.part(if self.priced() { self.settings.zone } else { 0 })
    }

    /// Distance of the upstream at this index of the ring from this balancer's own point, in even
    /// parts of the fleet; `far` more for one in another zone, where crossing has a price.
    pub(crate) fn distance(&self, index: usize, part: &Range<usize>, far: f64) -> f64 {
        let (own, balancers) = self.point();
        let d = (((index - part.start) as f64 + 0.5) / part.len() as f64 - own).abs();
        let across = self.priced() && self.ring.at(index).part != self.settings.zone;
        d.min(1.0 - d) * balancers + if across { far } else { 0.0 }
    }

    /// Where on each part of the ring this balancer's own point lies, from 0 to 1, and how many
    /// balancers share a part.
    fn point(&self) -> (f64, f64) {
        let s = &self.settings;
        let zones = if self.priced() { f64::from(s.zones.max(1)) } else { 1.0 };
        ((f64::from(s.position) * GOLDEN).fract(), (self.sharers / zones).max(1.0))
    }

    /// The indexes of this part of the ring that may lie within `max_distance` of this balancer's
    /// own point, in order: those that do, and a few beside them.
    pub(crate) fn near(
        &self,
        part: &Range<usize>,
        max_distance: f64,
    ) -> impl Iterator<Item = usize> + Clone + use<> {
        let (own, balancers) = self.point();
        let all = part.len() as f64;
        let (first, last) = (
            (own - max_distance / balancers) * all - 2.0,
            (own + max_distance / balancers) * all + 2.0,
        );
        // What runs over one end of the ring goes on at the other.
        let (first, last) = if last - first >= all { (0.0, all) } else { (first, last) };
        let clip = |from: f64, to: f64| {
            let at = |x: f64| part.start + x.clamp(0.0, all) as usize;
            at(from)..at(to.ceil())
        };
        let (before, behind) = (clip(0.0, last - all), clip(first + all, all));
        before.chain(clip(first, last)).chain(behind)
    }
}
