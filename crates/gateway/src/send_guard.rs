//! The one place that says whether an attempt may go on the wire, asked right before its first byte, and the check right
//! after that byte that it should have.
//!
//! Between a look at the clock and the write behind it the process may stand still for [`MAX_PROCESS_STALL`], and nothing in the
//! program can close that gap. So the guard works to limits that are so much earlier than the ones that hold, and the
//! check goes by the ones that hold.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_policy::interface::{RequestId, ServerId};
use tokio::time::Instant;

use crate::freshness::Expiry;
use crate::invariants::{Invariant, Violations};
use crate::stream::Cancellation;
use crate::upstreams::{AttemptLimits, UpstreamTarget};

/// How long the process may be held up between reading its clock and writing.
pub const MAX_PROCESS_STALL: Duration = Duration::from_millis(150);
/// Sends to an upstream that drains end so long before the grace does: notice of it may be read late by one hold-up, and
/// the send be late by another.
pub const DRAIN_MARGIN: Duration = Duration::from_millis(300);
/// Each limit of a rule has so much slack on sockets (PROTOCOL, "The rules on sockets").
const SLACK: Duration = Duration::from_millis(50);
/// An attempt that begins so long after its request's end is one too many.
const END_SLACK: Duration = Duration::from_millis(100);
/// The deadline told to an upstream may be so much longer than what its client has left.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// Why an attempt was not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDenied {
    /// The request is answered, or its client has gone.
    Over,
    /// Its time, or the window for repeats, is over.
    Late,
    /// Its upstream drains or is gone.
    Draining,
    /// The list of upstreams is too old to be acted on.
    ListExpired,
    /// The routing policy in force does not allow it any more.
    Forbidden,
}

/// Whether the routing policy allows an attempt at the moment of the call.
pub type PolicyCheck = Box<dyn Fn() -> bool>;

/// What has to hold for one attempt to be written.
pub struct SendGuard {
    /// The request, for the log.
    pub request: RequestId,
    /// The upstream.
    pub upstream: ServerId,
    /// Until when it may be written.
    pub limit: AttemptLimits,
    /// Until when its upstream may be sent to.
    pub target: Rc<UpstreamTarget>,
    /// Whether the request is over.
    pub cancellation: Rc<Cancellation>,
    /// Whether the list is too old.
    pub expiry: Expiry,
    /// What the routing policy says; there may be none.
    pub permits: Option<PolicyCheck>,
    /// Where violations are counted.
    pub violations: Violations,
    /// When it was told to its upstream by when its client gives up, and how long that was then.
    told: Cell<Option<Duration>>,
}

impl fmt::Debug for SendGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SendGuard")
            .field("request", &self.request)
            .field("upstream", &self.upstream)
            .finish_non_exhaustive()
    }
}

impl SendGuard {
    /// For an attempt that goes by these limits.
    #[allow(clippy::too_many_arguments)] // One of each; they are named in the struct.
    pub fn new(
        request: RequestId,
        upstream: ServerId,
        limit: AttemptLimits,
        target: Rc<UpstreamTarget>,
        cancellation: Rc<Cancellation>,
        expiry: Expiry,
        permits: Option<PolicyCheck>,
        violations: Violations,
    ) -> Self {
        let told = Cell::new(None);
        Self { request, upstream, limit, target, cancellation, expiry, permits, violations, told }
    }

    /// Whether the attempt may be written now.
    ///
    /// # Errors
    /// Why not.
    pub fn check(&self) -> Result<(), SendDenied> {
        let now = Instant::now();
        if self.cancellation.is_cancelled() {
            return Err(SendDenied::Over);
        }
        if now >= self.limit.until.min(self.limit.send_by) {
            return Err(SendDenied::Late);
        }
        if self.target.closed_from.get().is_some_and(|from| now >= from) {
            return Err(SendDenied::Draining);
        }
        if self.expiry.is_over(now) {
            return Err(SendDenied::ListExpired);
        }
        if self.permits.as_ref().is_some_and(|permits| !permits()) {
            return Err(SendDenied::Forbidden);
        }
        Ok(())
    }

    /// Notes the deadline that the upstream is told.
    pub fn tells(&self, deadline: Duration) {
        self.told.set(Some(deadline));
    }

    /// Checks an attempt whose first bytes have just been handed to the kernel, and counts what should not have been.
    pub fn verify(&self) {
        let now = Instant::now();
        let violated =
            |invariant| self.violations.count(invariant, Some(self.request), Some(self.upstream));
        if self.target.closed_from.get().is_some_and(|from| now > from + DRAIN_MARGIN + SLACK) {
            violated(Invariant::SentAfterDrain);
        }
        if self.limit.window.is_some_and(|end| now > end + SLACK) {
            violated(Invariant::SentAfterWindow);
        }
        if self.cancellation.cancelled_at().is_some_and(|at| now > at + END_SLACK) {
            violated(Invariant::SentAfterEnd);
        }
        let left = self.limit.client_until.saturating_duration_since(now);
        if self.told.get().is_some_and(|told| told > left + DEADLINE_SLACK) {
            violated(Invariant::DeadlineOverstated);
        }
    }
}
