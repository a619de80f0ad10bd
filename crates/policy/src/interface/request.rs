//! Requests of clients.

use super::time::{SignedDuration, Time};

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
    /// Expected work on a reference core, if there is an estimate.
    pub cost_guess: Option<SignedDuration>,
    /// The client has sent it before, where clients mark that.
    pub resent: bool,
    /// It changes something.
    pub write: bool,
    /// Its body is passed on while it arrives;
    /// [`Event::BodyReceived`](crate::interface::Event::BodyReceived) reports its last byte. The
    /// client's time counts from there; until then, `send_deadline` says when it must have been
    /// sent.
    pub streams_body: bool,
    /// The only zone and cell that it may be sent to: they hold the state that it needs, or may
    /// have run it before.
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
            streams_body: false,
            sticky_cell: None,
        }
    }
}
