//! Events and actions of [`Sessions`](crate::Sessions). The module holds no logic.

use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};

use crate::ids::{Cell, Epoch, IdempotencyKey, OwnerSlot, SessionId, Zone};
use crate::rendezvous::WeightedCell;

/// How often a request may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// Repeatedly, but only in the cell that drops the request's repeats, for as long as the cell remembers the key.
    Keyed(IdempotencyKey),
    /// At most once.
    NotIdempotent,
}

/// Whether an attempt was executed (PROTOCOL, 'Balancers to upstreams').
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ExecutionStatus {
    /// The attempt was executed.
    Executed,
    /// The attempt was not executed and will not be.
    NotExecuted,
    /// The attempt may have been executed, or may still be.
    Unknown,
}

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request has arrived. Each request results in one [`Action::Route`].
    Request {
        /// The id of the request, unique among the requests that are not routed yet.
        id: u64,
        /// The session of the request.
        session: SessionId,
        /// How often the request may be executed.
        idempotency: Idempotency,
        /// Whether the key was never sent before: clients mark retries, and this request is not marked.
        first: bool,
        /// When the client stops waiting, in time since the start of the process.
        deadline: Duration,
    },
    /// The attempt that was routed under this id has been sent, or will not be sent.
    Sent {
        /// The id of the request.
        id: u64,
    },
    /// All attempts of a keyed request have ended.
    Finished {
        /// The id of the request.
        id: u64,
        /// The combined status of all attempts: [`ExecutionStatus::NotExecuted`] only if it holds for each attempt.
        status: ExecutionStatus,
    },
    /// A message from another balancer whose incarnation the transport has verified.
    Message {
        /// The sender.
        from: NodeId,
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// The cluster has agreed on an ownership table. A table that omits a slot must not be created before the slot's
    /// validity has ended by the clock of the node that granted the slot, with an allowance for clock drift.
    TableChanged {
        /// The version of the table. A version lower than the present one is ignored.
        version: u64,
        /// Until when this balancer's slot is valid, in time since the start of the process.
        until: Duration,
        /// All slots.
        slots: Vec<OwnerSlot>,
    },
    /// The validity of this balancer's slot is extended.
    SlotExtended {
        /// The version of the table. A version other than the present one is ignored.
        version: u64,
        /// Until when the slot is valid, in time since the start of the process.
        until: Duration,
    },
    /// The cluster has agreed that the lease of a zone has ended: no balancer of the zone owns any record.
    ZoneLeaseEnded {
        /// The zone.
        zone: Zone,
        /// The version of the new table, which is the present one without the zone.
        version: u64,
    },
    /// The cells in force have changed. Cells that are not listed are excluded.
    CellsChanged {
        /// The revision. A revision lower than the present one is ignored.
        revision: u64,
        /// All cells with their weights.
        cells: Vec<WeightedCell>,
    },
    /// The time of the last [`Action::WakeAt`] has been reached.
    Due,
}

/// The routing decision for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RoutingDecision {
    /// Send the request to a cell. A keyed request is sent before `until` or routed again, so the caller checks the
    /// time immediately before sending.
    Send {
        /// The cell.
        cell: Cell,
        /// The epoch under which the request is sent; `None` if the request is routed by hash because no record was
        /// available in time.
        epoch: Option<Epoch>,
        /// When the permit to send ends, in time since the start of the process.
        until: Duration,
    },
    /// Reject the request, which was not executed and will not be, so that the client can retry safely (429, 503).
    Reject(RoutingFailure),
    /// Fail the request, whose key may have been executed: a retry is not known to be safe.
    Fail(RoutingFailure),
}

/// The reason why a request is rejected or fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RoutingFailure {
    /// This balancer has no valid slot.
    NoSlot,
    /// The owner did not answer in time, so the cell in which the key may have been executed is unknown.
    NoRecord,
    /// The key cannot be stored: every stored key is still inside its window.
    Full,
    /// The key may have been executed in a cell to which it cannot be sent again, such as an excluded one, and its
    /// window ends after the request's deadline.
    MayHaveExecuted,
    /// No cell is in force.
    NoCell,
}

/// An output of the state machine, which the caller carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Route a request.
    Route {
        /// The id of the request.
        id: u64,
        /// The cell to send the request to, or the reason why it is not sent.
        decision: RoutingDecision,
    },
    /// Send a message, which may be lost.
    Send {
        /// The receiver.
        to: NodeId,
        /// The encoded message, at most [`MAX_MESSAGE_BYTES`](crate::MAX_MESSAGE_BYTES) long. All messages fit in a
        /// datagram, except those that are sent after a change of the ownership table.
        message: Vec<u8>,
    },
    /// Report [`Event::Due`] at this time, which replaces any earlier wake-up time.
    WakeAt(Duration),
}
