//! Actions that the caller carries out.

use super::member::ServerId;
use super::request::RequestId;
use super::time::{SignedDuration, Time};

/// The reason for which a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The settings have no such class.
    UnknownClass,
    /// The endpoint list is too old to be acted on.
    ListExpired,
    /// As many requests are queued and in flight as can be answered in time.
    QueueFull,
    /// The tenant is beyond its quota, and as many requests are queued and in flight as are allowed
    /// for such tenants.
    OverQuota,
    /// The request would have to wait too long for its ordering key.
    DeadlineTooClose,
    /// The request was queued until its latency objective could no longer be met.
    QueuedTooLong,
    /// The attempts of the request failed, and no further attempt is allowed. If the request is not
    /// safe to repeat, none of its attempts ran.
    AttemptsFailed,
}

impl Refusal {
    /// Returns the name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::UnknownClass => "unknown_class",
            Self::ListExpired => "list_expired",
            Self::QueueFull => "queue_full",
            Self::OverQuota => "over_share",
            Self::DeadlineTooClose => "no_time",
            Self::QueuedTooLong => "held_too_long",
            Self::AttemptsFailed => "attempts_failed",
        }
    }
}

/// An action that the caller must carry out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send a request to an upstream, as its next attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The upstream.
        server: ServerId,
        /// Timeout of the attempt.
        timeout: SignedDuration,
        /// Time by which the last byte of the request must be sent, or else no byte of it. The
        /// outcome of an attempt that waits longer for its connection is
        /// [`Outcome::Moot`](crate::interface::Outcome::Moot).
        send_by: Time,
    },
    /// Reject a request. It is safe for the client to send the request again.
    Refuse {
        /// The request.
        request: RequestId,
        /// Retry-After for the client; zero for none.
        retry_after: SignedDuration,
        /// The reason, for logs and metrics.
        reason: Refusal,
    },
    /// Fail a request that may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The number of the attempt, from 0.
        attempt: usize,
    },
    /// Deliver [`Event::Timer`](crate::interface::Event::Timer) at or after a time.
    Arm {
        /// The token to deliver.
        token: u64,
        /// The time.
        at: Time,
    },
    /// Send a health check to an upstream.
    Probe {
        /// The upstream.
        server: ServerId,
    },
    /// Close the idle connections to an upstream.
    CloseIdle {
        /// The upstream.
        server: ServerId,
    },
    /// Subscribe to the endpoint list.
    Subscribe,
}
