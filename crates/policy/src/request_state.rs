//! The state of each request and of its attempts.

use hollowpaddle_ordered_collections::sub_queues::Ticket;

use crate::interface::{Class, Request, SignedDuration, Time};

/// The sub-queue of a queued request. If the first request of a sub-queue finds no free slot, the
/// others find none either.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum SubQueue {
    /// Retries of one class, by the upstreams that they may still be sent to.
    Retry(usize, Affinity),
    /// Requests that were never sent, by capacity group.
    Fresh(u32),
}

/// The upstreams that a request is restricted to, in addition to the restrictions of its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Affinity {
    /// All upstreams.
    Any,
    /// The upstreams of one zone.
    Zone(u32),
    /// The upstreams of one zone and cell.
    Cell(u32, u32),
}

/// Whether an attempt has ended, and whether it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// The attempt has no outcome yet.
    InFlight,
    /// The outcome proves that the attempt never ran.
    NeverRan,
    /// The attempt ran or may have run.
    MayHaveRun,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// The slot of the upstream.
    pub(crate) server: usize,
    /// When the attempt was sent; for a streamed body, when the body was complete.
    pub(crate) sent: Time,
    pub(crate) state: AttemptState,
    /// Whether the attempt has been unanswered for too long.
    pub(crate) overdue: bool,
    /// Whether the attempt was still in flight at the latest time for a hedge.
    pub(crate) hedge_due: bool,
    /// Whether the slot was released before the outcome of the attempt.
    pub(crate) slot_released: bool,
}

impl Attempt {
    /// Creates an attempt that is sent now.
    pub(crate) fn new(server: usize, sent: Time) -> Self {
        Self {
            server,
            sent,
            state: AttemptState::InFlight,
            overdue: false,
            hedge_due: false,
            slot_released: false,
        }
    }
}

/// A request that has no final answer yet, or has attempts in flight.
#[derive(Debug)]
pub(crate) struct RequestState {
    pub(crate) class: usize,
    /// When the client gives up.
    pub(crate) send_deadline: Time,
    /// Time after which an answer has no value.
    pub(crate) valuable_until: Time,
    /// When the request is given up if it is still queued.
    pub(crate) queue_deadline: Time,
    /// Whether the request waits for a slot or for its ordering key.
    pub(crate) is_queued: bool,
    /// Whether the request needs no answer any more.
    pub(crate) is_finished: bool,
    pub(crate) attempts: Vec<Attempt>,
    /// Position in the order of all sub-queues; valid while the request is queued.
    pub(crate) ticket: Ticket,
    /// Sub-queue of the request; valid while the request is queued.
    pub(crate) sub_queue: SubQueue,
    /// Whether the request is in its sub-queue, and does not wait for its ordering key.
    pub(crate) is_in_sub_queue: bool,
    /// Requests with the same ordering key run one after another.
    pub(crate) ordering_key: Option<u64>,
    /// Whether the request body is still arriving, so that the upstream is not responsible for the
    /// delay of the attempt.
    pub(crate) streams_body: bool,
    /// Whether a part of the request body was streamed and not stored, so that the request can't be
    /// sent again.
    pub(crate) body_consumed: bool,
    /// The zone and cell that the request is restricted to.
    pub(crate) sticky_cell: Option<(u32, u32)>,
}

impl RequestState {
    /// Creates the state of a request that has just arrived. [`Self::set_deadlines`] sets its
    /// deadlines.
    pub(crate) fn new(request: &Request, in_order: bool) -> Self {
        Self {
            class: request.class,
            send_deadline: request.send_deadline,
            valuable_until: request.send_deadline,
            queue_deadline: request.send_deadline,
            is_queued: false,
            is_finished: false,
            attempts: Vec::new(),
            ticket: Ticket::default(),
            sub_queue: SubQueue::Fresh(0),
            is_in_sub_queue: false,
            ordering_key: request.key.filter(|_| in_order),
            streams_body: request.streams_body,
            body_consumed: false,
            sticky_cell: request.sticky_cell,
        }
    }

    /// Sets the deadlines of a request that is complete as of now.
    ///
    /// A request is queued only while its latency objective can be met, even if a late answer
    /// retains some value. Otherwise, under lasting overload, the whole queue would be served late.
    /// The request is given up `margin` before the end of its objective, when a rejection is still
    /// harmless.
    pub(crate) fn set_deadlines(
        &mut self,
        now: Time,
        class: &Class,
        send_deadline: Time,
        margin: SignedDuration,
    ) {
        let objective_at = send_deadline.min(now.plus(class.latency_objective));
        let late_has_value = class.late_priority_weight > 0.0;
        self.send_deadline = send_deadline;
        self.valuable_until = if late_has_value { send_deadline } else { objective_at };
        self.queue_deadline = objective_at.plus(SignedDuration(-margin.0));
    }

    /// Returns whether some attempt has no outcome yet.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.state == AttemptState::InFlight)
    }

    /// Returns whether every attempt provably never ran.
    pub(crate) fn all_never_ran(&self) -> bool {
        self.may_have_run().next().is_none()
    }

    /// Returns the attempts that may have run, including those in flight.
    pub(crate) fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| a.state != AttemptState::NeverRan)
    }
}
