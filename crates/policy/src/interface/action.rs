//! Actions that the caller carries out.

use super::member::ServerId;
use super::request::RequestId;
use super::time::{SignedDuration, Time};

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The settings have no such class.
    UnknownClass,
    /// The list of upstreams is too old to be acted on.
    ListExpired,
    /// As much is queued and in flight as can be answered in time.
    QueueFull,
    /// The same, for a tenant beyond its quota.
    OverQuota,
    /// It would have to wait too long for its ordering key.
    DeadlineTooClose,
    /// It was queued for as long as that made sense.
    QueuedTooLong,
    /// Its attempts failed, and it may not be attempted again. If it is not safe to repeat, none of
    /// them ran.
    AttemptsFailed,
}

impl Refusal {
    /// Its name in logs and metrics.
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

/// What the caller must do.
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
        /// Its last byte must be sent by then, or none of it: an attempt that waits longer for its
        /// connection is [`Outcome::Moot`](crate::interface::Outcome::Moot).
        send_by: Time,
    },
    /// Reject a request. It is harmless to send it again.
    Refuse {
        /// The request.
        request: RequestId,
        /// Advice on when to send it again; zero for none.
        retry_after: SignedDuration,
        /// Why, for logs and metrics.
        reason: Refusal,
    },
    /// Fail a request. It may have run.
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
    /// Deliver [`Event::Timer`](crate::interface::Event::Timer) at or after this time.
    Arm {
        /// The token to deliver.
        token: u64,
        /// When.
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
