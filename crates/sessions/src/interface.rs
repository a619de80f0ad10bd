//! Events and actions of [`Sessions`](crate::Sessions); holds no logic.

use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};

use crate::ids::{Cell, Epoch, IdempotencyKey, OwnerSlot, SessionId, Zone};
use crate::rendezvous::WeightedCell;

/// How often a request may be executed, by its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// Repeatedly only within the cell that drops its repeats, for as long as that remembers the key.
    Keyed(IdempotencyKey),
    /// Once.
    NotIdempotent,
}

/// Whether an attempt was executed (PROTOCOL, 'Balancers to upstreams').
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ExecutionStatus {
    /// It was.
    Executed,
    /// It was not, and will not be.
    NotExecuted,
    /// It may have been, or may yet be.
    Unknown,
}

/// What happens to a balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request has arrived. It is answered by one [`Action::Route`].
    Request {
        /// Its id, unique among the requests that are not routed yet.
        id: u64,
        /// Its session.
        session: SessionId,
        /// How often it may be executed.
        idempotency: Idempotency,
        /// Whether its key was never sent before: clients mark retries, and this request is not marked.
        first: bool,
        /// When its client stops waiting, in time since the start of the process.
        deadline: Duration,
    },
    /// The attempt that was routed under this id has been sent, or will not be.
    Sent {
        /// The id of the request.
        id: u64,
    },
    /// All attempts of a keyed request are over.
    Finished {
        /// The id of the request.
        id: u64,
        /// The worst status of all attempts.
        status: ExecutionStatus,
    },
    /// A message from another balancer whose incarnation the transport has verified.
    Message {
        /// The sender.
        from: NodeId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// The cluster has agreed on an ownership table. A table without a slot must not be made before the time has passed
    /// for which that slot was given, by the clock and drift of the giver.
    TableChanged {
        /// The version of the table. A lower one than the present is ignored.
        version: u64,
        /// Until when the own slot is valid, in time since the start of the process.
        until: Duration,
        /// All slots.
        slots: Vec<OwnerSlot>,
    },
    /// The own slot is valid for longer.
    SlotExtended {
        /// The version of the table. Another one than the present is ignored.
        version: u64,
        /// Until when.
        until: Duration,
    },
    /// The cluster has agreed that the lease of a zone is over: none of its balancers owns anything.
    ZoneLeaseEnded {
        /// The zone.
        zone: Zone,
        /// The version of the table from now on: the present one without that zone.
        version: u64,
    },
    /// The cells in force have changed. Those that are not named are excluded.
    CellsChanged {
        /// The revision. A lower one than the present is ignored.
        revision: u64,
        /// All cells with their weights.
        cells: Vec<WeightedCell>,
    },
    /// The time of [`Action::WakeAt`] has come.
    Due,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RoutingDecision {
    /// Send it to a cell. A keyed request is sent before `until` or routed anew, so the caller checks the time right
    /// before the send.
    Send {
        /// The cell.
        cell: Cell,
        /// The ownership under which it is sent; `None` if it is routed by hash because no record was available in time.
        epoch: Option<Epoch>,
        /// When the permit to send ends.
        until: Duration,
    },
    /// Reject it: it was not executed and will not be, so that a retry is harmless (429, 503).
    Reject(RoutingFailure),
    /// Fail it without that promise: its key may have been executed.
    Fail(RoutingFailure),
}

/// Why a request is sent nowhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RoutingFailure {
    /// This balancer has no valid slot.
    NoSlot,
    /// The owner did not answer in time, so it is not known where the key may have been executed.
    NoRecord,
    /// As many keys as can be remembered are inside their windows.
    Full,
    /// The key may have been executed in a cell that is excluded, and its window ends after the request's deadline.
    MayHaveExecuted,
    /// No cell is in force.
    NoCell,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// A request is routed.
    Route {
        /// The id of the request.
        id: u64,
        /// Where it goes.
        decision: RoutingDecision,
    },
    /// Send a message. It may be lost.
    Send {
        /// The receiver.
        to: NodeId,
        /// The encoded message, at most [`MAX_MESSAGE_BYTES`](crate::MAX_MESSAGE_BYTES) long. All messages but those of
        /// a change of the ownership table fit a datagram.
        message: Vec<u8>,
    },
    /// Report [`Event::Due`] at this time. It replaces any earlier one.
    WakeAt(Duration),
}
