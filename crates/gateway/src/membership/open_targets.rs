//! Until when upstreams may be sent to, and how many have no such limit.

use tokio::time::Instant;

use crate::attempt::UpstreamTarget;

/// The number of targets that are not closed. All closing times are set here, so that nobody has to count.
#[derive(Default)]
pub(super) struct OpenTargets(usize);

impl OpenTargets {
    /// Whether there is any.
    pub(super) fn is_any(&self) -> bool {
        self.0 > 0
    }

    /// Counts a new target, which is open.
    pub(super) fn admit(&mut self) {
        self.0 += 1;
    }

    /// Lets requests go there from here on.
    pub(super) fn open(&mut self, target: &UpstreamTarget) {
        self.set(target, None);
    }

    /// Ends sends at `until`, unless that is decided already.
    pub(super) fn close(&mut self, target: &UpstreamTarget, until: Instant) {
        self.set(target, target.closed_from.get().or(Some(until)));
    }

    /// Ends sends at `until`, or earlier if that is decided already.
    pub(super) fn close_by(&mut self, target: &UpstreamTarget, until: Instant) {
        let earlier = target.closed_from.get().map_or(until, |from| from.min(until));
        self.set(target, Some(earlier));
    }

    fn set(&mut self, target: &UpstreamTarget, closed_from: Option<Instant>) {
        let before = target.closed_from.replace(closed_from);
        self.0 += usize::from(closed_from.is_none());
        self.0 -= usize::from(before.is_none());
    }
}
