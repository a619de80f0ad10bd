//! What the module keeps of each request and of its attempts.

use hollowpaddle_ordered_collections::waiting::Ticket;

use crate::interface::{Class, Request, SignedDuration, Time};

/// The sub-queue in which a request waits. If its first request finds no free slot, none of the
/// others does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum SubQueue {
    /// Retries of one class, by where they may still be sent.
    Retry(usize, Affinity),
    /// Requests that were never sent, by capacity group.
    Fresh(u32),
}

/// The upstreams that a request may be sent to, beside what its class says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Affinity {
    /// All of them.
    Any,
    /// Those of one zone.
    Zone(u32),
    /// Those of one zone and cell.
    Cell(u32, u32),
}

/// What is known of the execution of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// It has no outcome yet.
    InFlight,
    /// Its outcome proves that it never ran.
    NeverRan,
    /// It ran, or may have.
    MayHaveRun,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// The slot of its upstream.
    pub(crate) server: usize,
    /// When it was sent; if the body arrived while it was passed on, when that was complete.
    pub(crate) sent: Time,
    pub(crate) state: AttemptState,
    /// It has been unanswered for too long.
    pub(crate) overdue: bool,
    /// It was still in flight when a hedge had to be sent to be in time.
    pub(crate) hedge_due: bool,
    /// Its slot was released before its outcome came.
    pub(crate) slot_released: bool,
}

impl Attempt {
    /// An attempt that is sent now.
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
    /// From then on an answer has no value.
    pub(crate) valuable_until: Time,
    /// When it is given up if it is still queued.
    pub(crate) queue_deadline: Time,
    /// It waits for a slot or for its ordering key.
    pub(crate) is_queued: bool,
    /// It needs no answer any more.
    pub(crate) is_finished: bool,
    pub(crate) attempts: Vec<Attempt>,
    /// While it is queued: its place in the order of all sub-queues.
    pub(crate) ticket: Ticket,
    /// While it is queued: its sub-queue.
    pub(crate) sub_queue: SubQueue,
    /// It stands in its sub-queue, and does not wait for its ordering key.
    pub(crate) is_enqueued: bool,
    /// Requests of the same key run one after another.
    pub(crate) ordering_key: Option<u64>,
    /// Its body is still arriving: the delay of its attempt is no upstream's fault.
    pub(crate) streams_body: bool,
    /// Part of its body was passed on and not stored: it can't be sent again.
    pub(crate) body_consumed: bool,
    /// The only zone and cell that it may be sent to.
    pub(crate) sticky_cell: Option<(u32, u32)>,
}

impl RequestState {
    /// A request that has just arrived. Its deadlines are set by [`Self::set_deadlines`].
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
            is_enqueued: false,
            ordering_key: request.key.filter(|_| in_order),
            streams_body: request.streams_body,
            body_consumed: false,
            sticky_cell: request.sticky_cell,
        }
    }

    /// Sets the deadlines of a request that is complete as of now.
    ///
    /// It is queued only while its latency objective can be met, also where a late answer keeps
    /// some value: else, under lasting overload, the whole queue would be served late. It is given
    /// up `margin` before that, while a rejection is still harmless.
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

    /// Whether some attempt has no outcome yet.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.state == AttemptState::InFlight)
    }

    /// Whether every attempt provably never ran.
    pub(crate) fn all_never_ran(&self) -> bool {
        self.may_have_run().next().is_none()
    }

    /// Attempts that may have run, those in flight included.
    pub(crate) fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| a.state != AttemptState::NeverRan)
    }
}
