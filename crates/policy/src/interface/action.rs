//! Actions that the caller carries out.

use super::member::ServerId;
use super::request::RequestId;
use super::time::{Span, Time};

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The settings have no such class.
    UnknownClass,
    /// The list of upstreams is too old to be acted on.
    ListExpired,
    /// What is queued and in flight is all that can be answered in time.
    QueueFull,
    /// The same, for a tenant that sends more than its share.
    OverShare,
    /// Its turn would come too late for it.
    NoTime,
    /// It waited for a free upstream for as long as it could.
    HeldTooLong,
    /// Its attempts failed, none of them ran where that matters, and no other may follow.
    AttemptsFailed,
}

impl Refusal {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::UnknownClass => "unknown_class",
            Self::ListExpired => "list_expired",
            Self::QueueFull => "queue_full",
            Self::OverShare => "over_share",
            Self::NoTime => "no_time",
            Self::HeldTooLong => "held_too_long",
            Self::AttemptsFailed => "attempts_failed",
        }
    }
}

/// What the caller must do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an upstream as its next attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The upstream.
        server: ServerId,
        /// Time-out of the attempt.
        timeout: Span,
        /// Its last byte must be out by then, or none of it: an attempt that waits longer for its connection is moot.
        send_by: Time,
    },
    /// End it unserved; it is harmless to come again.
    Refuse {
        /// The request.
        request: RequestId,
        /// Advice on when; zero for none.
        retry_after: Span,
        /// Why, for the log.
        reason: Refusal,
    },
    /// End it unserved, with no promise.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: usize,
    },
    /// Tell [`Event::Timer`](crate::interface::Event::Timer) at or after this time.
    Arm {
        /// To be returned.
        token: u64,
        /// When.
        at: Time,
    },
    /// Examine an upstream.
    Probe {
        /// The upstream.
        server: ServerId,
    },
    /// Close the idle connections to an upstream.
    CloseIdle {
        /// The upstream.
        server: ServerId,
    },
    /// Open the standing subscription to the list.
    Subscribe,
}
