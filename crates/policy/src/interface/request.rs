//! Requests of clients.

use super::time::{SignedDuration, Time};

/// The caller's handle for a request. It is not reused while the request is unfinished or one of its
/// attempts is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A request that has arrived.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The caller's handle for the request.
    pub id: RequestId,
    /// Index of the class.
    pub class: usize,
    /// Index of the tenant.
    pub tenant: usize,
    /// Hash of the routing key, if the request has one.
    pub key: Option<u64>,
    /// When the client gives up.
    pub send_deadline: Time,
    /// Expected work on a reference core, if there is an estimate.
    pub cost_guess: Option<SignedDuration>,
    /// Whether the client has marked the request as sent again.
    pub resent: bool,
    /// Whether the request changes state.
    pub write: bool,
    /// Whether the request body is streamed to the upstream while it arrives.
    /// [`Event::BodyReceived`](crate::interface::Event::BodyReceived) reports the last byte, and
    /// the client's deadline counts from there. Until then, `send_deadline` is the time by which
    /// the body must have been sent.
    pub streams_body: bool,
    /// The zone and cell that the request is restricted to, since they hold its state or may have
    /// run the request before.
    pub sticky_cell: Option<(u32, u32)>,
}

impl Request {
    /// Creates a request of a class, with tenant 0 and without a key or a cost estimate.
    pub fn new(id: RequestId, class: usize, send_deadline: Time) -> Self {
        Self {
            id,
            class,
            tenant: 0,
            key: None,
            send_deadline,
            cost_guess: None,
            resent: false,
            write: false,
            streams_body: false,
            sticky_cell: None,
        }
    }
}
