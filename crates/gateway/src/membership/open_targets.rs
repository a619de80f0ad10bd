//! Opens and closes targets for sends, and counts the open targets.

use tokio::time::Instant;

use crate::attempt::UpstreamTarget;

/// The number of open targets. All closing times are set through this type, so that the count stays correct.
#[derive(Default)]
pub(super) struct OpenTargets(usize);

impl OpenTargets {
    /// Returns whether any target is open.
    pub(super) fn is_any(&self) -> bool {
        self.0 > 0
    }

    /// Counts a new target, which starts open.
    pub(super) fn add_open(&mut self) {
        self.0 += 1;
    }

    /// Opens a target for sends.
    pub(super) fn open(&mut self, target: &UpstreamTarget) {
        self.set(target, None);
    }

    /// Closes a target at `until`, unless a time is set already.
    pub(super) fn close(&mut self, target: &UpstreamTarget, until: Instant) {
        self.set(target, target.closed_from.get().or(Some(until)));
    }

    /// Closes a target at `until`, or earlier if an earlier time is set already.
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
