//! Requests of clients.

use super::time::{Span, Time};

/// The caller's handle for a request; never reused while the request or one of its attempts lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A request that has arrived.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The caller's handle.
    pub id: RequestId,
    /// Its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: usize,
    /// Hash of its routing key, if it has one.
    pub key: Option<u64>,
    /// When the client gives up.
    pub send_deadline: Time,
    /// Work to expect on a yardstick core, if anyone guessed.
    pub cost_guess: Option<Span>,
    /// A client's repeat, where clients mark them.
    pub resent: bool,
    /// It changes something.
    pub write: bool,
    /// Its body still comes while it is passed on: [`Event::BodyReceived`](crate::interface::Event::BodyReceived) tells of its last byte. The time of its client
    /// counts from there, and its `send_deadline` until then says when it must have been sent.
    pub flows: bool,
    /// The only zone and cell that it may go to: they keep the state of what it is about, or may have run it before.
    pub sticky_cell: Option<(u32, u32)>,
}

impl Request {
    /// A request of this class without tenant, key or hint.
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
            flows: false,
            sticky_cell: None,
        }
    }
}
