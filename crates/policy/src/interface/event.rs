//! Events that the caller delivers.

use super::attempt::{CompletedAttempt, Report};
use super::member::{ListKind, Member, ServerId};
use super::request::{Request, RequestId};
use super::time::{SignedDuration, Time};

/// What has happened. Events are delivered in their order.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The endpoint list, a change to it, or the loss of the subscription.
    Members {
        /// What kind of list event.
        kind: ListKind,
        /// Its entries.
        list: &'a [Member],
    },
    /// Discovery rejected a call for the list at once: it works, and has too many callers.
    ListCallRejected,
    /// The list is too old to be acted on. Until the subscription sends it again, nothing is sent,
    /// and queued requests are rejected.
    ListExpired,
    /// A client's request has arrived: it must get one final answer.
    Request(Request),
    /// The last byte of a request whose body was passed on while it arrived has come, and is sent.
    BodyReceived {
        /// The request.
        request: RequestId,
        /// When the client gives up.
        send_deadline: Time,
    },
    /// An attempt has ended.
    AttemptCompleted(CompletedAttempt),
    /// The answer has begun to stream: the request needs no decision any more.
    Started(RequestId),
    /// The client no longer waits and needs no answer.
    ClientCancelled(RequestId),
    /// A timer is due.
    Timer(u64),
    /// A health check has ended.
    HealthChecked {
        /// The upstream.
        server: ServerId,
        /// It answered well.
        ok: bool,
        /// How long it took.
        latency: SignedDuration,
        /// What the upstream reported of itself.
        report: Report,
    },
}
