//! Decides immediately before the first byte of an attempt whether the attempt may be written, and verifies immediately
//! after that byte that the write was within the limits.
//!
//! The process may stall for up to [`MAX_PROCESS_STALL`] between reading the clock and writing, which no program can
//! prevent. The guard therefore applies limits that are earlier than the real ones by that time, and the verification
//! applies the real limits.

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

/// The longest stall of the process between reading its clock and writing that the limits allow for.
pub const MAX_PROCESS_STALL: Duration = Duration::from_millis(150);
/// Sends to a draining upstream end this long before its grace period does: the notice of the drain may be read one stall
/// late, and the send may be another stall late.
pub const DRAIN_MARGIN: Duration = Duration::from_millis(300);
/// The tolerance of each time limit on sockets (PROTOCOL, "The rules on sockets").
const SOCKET_TOLERANCE: Duration = Duration::from_millis(50);
/// An attempt that starts more than this after the cancellation of its request is a violation.
const CANCELLATION_TOLERANCE: Duration = Duration::from_millis(100);
/// How much later than the client's deadline the deadline announced to an upstream may be.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(150);

/// The reason why an attempt may not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDenied {
    /// The request is answered, or its client has disconnected.
    RequestOver,
    /// The deadline of the attempt, or the end of the retry window, has passed.
    TooLate,
    /// The upstream is draining or removed.
    UpstreamDraining,
    /// The endpoint list is too old to be used.
    ListExpired,
    /// The routing policy in force does not permit the attempt.
    ForbiddenByPolicy,
}

/// Returns whether the routing policy permits an attempt at the moment of the call.
pub type PolicyCheck = Box<dyn Fn() -> bool>;

/// The conditions under which one attempt may be written.
pub struct SendGuardParts {
    /// The request of the attempt.
    pub request: RequestId,
    /// The upstream of the attempt.
    pub upstream: ServerId,
    /// The time limits of the attempt.
    pub limits: AttemptLimits,
    /// The address of the upstream, and until when requests may be sent to it.
    pub target: Rc<UpstreamTarget>,
    /// The cancellation state of the request.
    pub cancellation: Rc<Cancellation>,
    /// The expiry of the endpoint list.
    pub list_expiry: Expiry,
    /// The check of the routing policy, if there is one.
    pub policy_check: Option<PolicyCheck>,
    /// Counts violations.
    pub violations: Violations,
}

/// The guard of one attempt.
pub struct SendGuard {
    parts: SendGuardParts,
    /// The time left until the deadline, as announced to the upstream.
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
    /// Creates a guard for these conditions.
    pub fn new(parts: SendGuardParts) -> Self {
        Self { parts, announced_deadline: Cell::new(None) }
    }

    /// Returns the upstream of the attempt.
    pub fn upstream(&self) -> ServerId {
        self.parts.upstream
    }

    /// Returns the address of the upstream, and until when requests may be sent to it.
    pub fn target(&self) -> &Rc<UpstreamTarget> {
        &self.parts.target
    }

    /// Returns the time limits of the attempt.
    pub fn limits(&self) -> AttemptLimits {
        self.parts.limits
    }

    /// Checks whether the attempt may be written now.
    ///
    /// # Errors
    /// Returns the reason why the attempt may not be written.
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

    /// Verifies an attempt whose first bytes have just been handed to the kernel, and counts each violated limit.
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
        let client_time_left = limits.client_deadline.saturating_duration_since(now);
        let max_announced = client_time_left + DEADLINE_TOLERANCE;
        if self.announced_deadline.get().is_some_and(|announced| announced > max_announced) {
            self.count(Invariant::DeadlineOverstated);
        }
    }

    fn count(&self, invariant: Invariant) {
        self.parts.violations.count(invariant, Some(self.parts.request), Some(self.parts.upstream));
    }
}
