//! Events that the caller delivers.

use super::attempt::{CompletedAttempt, Report};
use super::member::{ListKind, Member, ServerId};
use super::request::{Request, RequestId};
use super::time::{SignedDuration, Time};

/// An event that the caller delivers. Events are delivered in the order in which they happened.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The endpoint list, a change to it, or the loss of the subscription.
    Members {
        /// The kind of list event.
        kind: ListKind,
        /// The entries of the event.
        list: &'a [Member],
    },
    /// Discovery rejected a call for the endpoint list at once, since it has too many callers.
    ListCallRejected,
    /// The endpoint list is too old to be acted on. Until the subscription delivers a list again, no
    /// request is sent, and queued requests are rejected.
    ListExpired,
    /// A client's request has arrived. It must get one final answer.
    Request(Request),
    /// The last byte of a streamed request body has arrived and is sent to the upstream.
    BodyReceived {
        /// The request.
        request: RequestId,
        /// When the client gives up.
        send_deadline: Time,
    },
    /// An attempt has ended.
    AttemptCompleted(CompletedAttempt),
    /// A streamed answer has begun. The request needs no further decision.
    Started(RequestId),
    /// The client no longer waits and needs no answer.
    ClientCancelled(RequestId),
    /// A timer is due.
    Timer(u64),
    /// A health check has ended.
    HealthChecked {
        /// The upstream.
        server: ServerId,
        /// Whether the health check succeeded.
        ok: bool,
        /// The time that the health check took.
        latency: SignedDuration,
        /// The load report of the upstream.
        report: Report,
    },
}
