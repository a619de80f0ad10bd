//! Events that the caller delivers.

use super::attempt::{Answer, Report};
use super::member::{ListKind, Member, ServerId};
use super::request::{Request, RequestId};
use super::time::{Span, Time};

/// What has happened; told in the order it came.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The list of upstreams, or a change to it.
    Members {
        /// What kind of list event.
        kind: ListKind,
        /// Its entries.
        list: &'a [Member],
    },
    /// Discovery turned a call for the list away at once: it works, and has too many callers.
    ListCallRejected,
    /// The list is too old to be acted on: until a subscription tells it anew nothing is sent, and what waits is refused.
    ListExpired,
    /// A client's request has arrived: one final answer is owed.
    Request(Request),
    /// The last byte of a request that flows has come, and is out at the upstream that it was sent to.
    BodyReceived {
        /// The request.
        request: RequestId,
        /// When the client gives up.
        send_deadline: Time,
    },
    /// An attempt has ended.
    Answered(Answer),
    /// The answer has begun to stream: the attempt is the client's now.
    Started(RequestId),
    /// The client no longer waits; nothing is owed.
    ClientLeft(RequestId),
    /// A timer is due.
    Timer(u64),
    /// A probe has ended.
    Probed {
        /// The upstream.
        server: ServerId,
        /// It answered well.
        ok: bool,
        /// How long it took.
        latency: Span,
        /// What the upstream reported of itself.
        report: Report,
    },
}
