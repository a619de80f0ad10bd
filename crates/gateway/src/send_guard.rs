//! Decides whether an attempt may be written, right before its first byte, and checks right after that byte that it should
//! have been.
//!
//! Between reading the clock and writing, the process may stand still for [`MAX_PROCESS_STALL`], and no program can close
//! that gap. So the guard works to limits that are that much earlier than those that hold, and the check afterwards goes
//! by the ones that hold.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_policy::interface::{RequestId, ServerId};
use tokio::time::Instant;

use crate::attempt::{AttemptLimits, UpstreamTarget};
use crate::cancellation::Cancellation;
use crate::freshness::Expiry;
use crate::invariants::{Invariant, Violations};

/// How long the process may be held up between reading its clock and writing.
pub const MAX_PROCESS_STALL: Duration = Duration::from_millis(150);
/// Sends to a draining upstream end this long before its grace period does: notice of the drain may be read one stall late,
/// and the send may be late by another.
pub const DRAIN_MARGIN: Duration = Duration::from_millis(300);
/// What each limit allows beyond itself on sockets (PROTOCOL, "The rules on sockets").
const SOCKET_TOLERANCE: Duration = Duration::from_millis(50);
/// An attempt that begins this long after the end of its request is a violation.
const CANCELLATION_TOLERANCE: Duration = Duration::from_millis(100);
/// How much longer the deadline announced to an upstream may be than what its client has left.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(150);

/// Why an attempt may not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDenied {
    /// The request is answered, or its client has gone.
    RequestOver,
    /// The time of the attempt, or the window for repeats, is over.
    TooLate,
    /// The upstream is draining or gone.
    UpstreamDraining,
    /// The endpoint list is too old to be acted on.
    ListExpired,
    /// The routing policy in force does not allow it any more.
    ForbiddenByPolicy,
}

/// Whether the routing policy allows an attempt at the moment of the call.
pub type PolicyCheck = Box<dyn Fn() -> bool>;

/// What has to hold for one attempt to be written.
pub struct SendGuardParts {
    /// The request that the attempt is for.
    pub request: RequestId,
    /// The upstream that it goes to.
    pub upstream: ServerId,
    /// How long it may take.
    pub limits: AttemptLimits,
    /// Until when the upstream may be sent to.
    pub target: Rc<UpstreamTarget>,
    /// Whether the request is over.
    pub cancellation: Rc<Cancellation>,
    /// When the endpoint list expires.
    pub list_expiry: Expiry,
    /// What the routing policy says, where there is one.
    pub policy_check: Option<PolicyCheck>,
    /// Where violations are counted.
    pub violations: Violations,
}

/// The guard of one attempt.
pub struct SendGuard {
    parts: SendGuardParts,
    /// The deadline that was announced to the upstream, as a span.
    announced_deadline: Cell<Option<Duration>>,
}

impl fmt::Debug for SendGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SendGuard")
            .field("request", &self.parts.request)
            .field("upstream", &self.parts.upstream)
            .finish_non_exhaustive()
    }
}

impl SendGuard {
    /// A guard over these parts.
    pub fn new(parts: SendGuardParts) -> Self {
        Self { parts, announced_deadline: Cell::new(None) }
    }

    /// The upstream that the attempt goes to.
    pub fn upstream(&self) -> ServerId {
        self.parts.upstream
    }

    /// Where that upstream is, and until when it may be sent to.
    pub fn target(&self) -> &Rc<UpstreamTarget> {
        &self.parts.target
    }

    /// How long the attempt may take.
    pub fn limits(&self) -> AttemptLimits {
        self.parts.limits
    }

    /// Checks whether the attempt may be written now.
    ///
    /// # Errors
    /// Why it may not.
    pub fn check(&self) -> Result<(), SendDenied> {
        let now = Instant::now();
        let SendGuardParts { limits, target, .. } = &self.parts;
        if self.parts.cancellation.is_cancelled() {
            return Err(SendDenied::RequestOver);
        }
        if now >= limits.deadline.min(limits.send_by) {
            return Err(SendDenied::TooLate);
        }
        if target.closed_from.get().is_some_and(|from| now >= from) {
            return Err(SendDenied::UpstreamDraining);
        }
        if self.parts.list_expiry.is_over(now) {
            return Err(SendDenied::ListExpired);
        }
        if self.parts.policy_check.as_ref().is_some_and(|is_allowed| !is_allowed()) {
            return Err(SendDenied::ForbiddenByPolicy);
        }
        Ok(())
    }

    /// Records the deadline that the attempt announces to its upstream.
    pub fn record_announced_deadline(&self, deadline: Duration) {
        self.announced_deadline.set(Some(deadline));
    }

    /// Checks an attempt whose first bytes have just been handed to the kernel, and counts each rule that it violates.
    pub fn verify_sent(&self) {
        let now = Instant::now();
        let SendGuardParts { limits, target, cancellation, .. } = &self.parts;
        let drain_limit = DRAIN_MARGIN + SOCKET_TOLERANCE;
        if target.closed_from.get().is_some_and(|from| now > from + drain_limit) {
            self.count(Invariant::SentAfterDrain);
        }
        if limits.retry_window_end.is_some_and(|end| now > end + SOCKET_TOLERANCE) {
            self.count(Invariant::SentAfterWindow);
        }
        if cancellation.cancelled_at().is_some_and(|at| now > at + CANCELLATION_TOLERANCE) {
            self.count(Invariant::SentAfterEnd);
        }
        let client_has_left = limits.client_deadline.saturating_duration_since(now);
        let max_announced = client_has_left + DEADLINE_TOLERANCE;
        if self.announced_deadline.get().is_some_and(|announced| announced > max_announced) {
            self.count(Invariant::DeadlineOverstated);
        }
    }

    fn count(&self, invariant: Invariant) {
        self.parts.violations.count(invariant, Some(self.parts.request), Some(self.parts.upstream));
    }
}
