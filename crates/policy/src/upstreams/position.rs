//! Where upstreams lie on the ring, and how far from this balancer's own point.

use std::ops::Range;

use hollowpaddle_ordered_collections::ring::Place;

use super::Upstreams;

/// Points of the proxies on the ring: multiples of the golden ratio are even for any run and every n-th.
const GOLDEN: f64 = 0.618_033_988_749_895;

impl Upstreams {
    fn priced(&self) -> bool {
        self.settings.prices.cross_zone > 0.0
    }

    pub(super) fn place_of(&self, server: usize) -> Place {
        let s = &self.servers[server];
        let part = if self.priced() { s.zone } else { 0 };
        Place { part, name: s.identity, slot: server }
    }

    /// Where a live upstream lies, if it does, and its part of the ring.
    pub(crate) fn find(&self, server: usize) -> Option<(usize, Range<usize>)> {
        let place = self.place_of(server);
        Some((self.ring.find(place)?, self.ring.part(place.part)))
    }

    /// The part of the ring that this proxy stands on.
    pub(crate) fn own_part(&self) -> Range<usize> {
        self.ring.part(if self.priced() { self.settings.zone } else { 0 })
    }

    /// How far the upstream at this index of its part of the ring lies from this proxy's own point there, in even
    /// parts of the bank. One across zones, where crossing has a price, is `far` farther. The points of any run of
    /// proxies, or of every n-th, are spread evenly (multiples of the golden ratio).
    pub(crate) fn reach(&self, index: usize, part: &Range<usize>, far: f64) -> f64 {
        let (own, banks) = self.point();
        let d = (((index - part.start) as f64 + 0.5) / part.len() as f64 - own).abs();
        let across = self.priced() && self.ring.at(index).part != self.settings.zone;
        d.min(1.0 - d) * banks + if across { far } else { 0.0 }
    }

    /// Where on each part of the ring this proxy's own point lies, from 0 to 1, and how many proxies share a part.
    fn point(&self) -> (f64, f64) {
        let s = &self.settings;
        let zones = if self.priced() { f64::from(s.zones.max(1)) } else { 1.0 };
        ((f64::from(s.position) * GOLDEN).fract(), (self.sharers / zones).max(1.0))
    }

    /// The indexes of this part of the ring that may lie within so many even parts of this proxy's own point, in
    /// order: those that do, and a few beside them.
    pub(crate) fn near(
        &self,
        part: &Range<usize>,
        reach: f64,
    ) -> impl Iterator<Item = usize> + Clone + use<> {
        let (own, banks) = self.point();
        let all = part.len() as f64;
        let (first, last) = ((own - reach / banks) * all - 2.0, (own + reach / banks) * all + 2.0);
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
