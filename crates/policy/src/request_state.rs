//! What the module keeps of each request and of its attempts.

use hollowpaddle_ordered_collections::waiting::Ticket;

use crate::interface::{Class, Request, Span, Time};

/// Where held requests stand in line together: the first of a lane that finds no slot holds up its like.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum SubQueue {
    /// Repeats of one class, by where they may still go.
    Retry(usize, Affinity),
    /// Requests that were never sent, by room.
    Fresh(u32),
}

/// The upstreams that a repeat is bound to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Affinity {
    Any,
    Zone(u32),
    /// By zone and cell.
    Cell(u32, u32),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    InFlight,
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) server: usize,
    pub(crate) sent: Time,
    pub(crate) state: AttemptState,
    /// Unanswered for too long.
    pub(crate) overdue: bool,
    /// Out at the time when a second copy had to go to be in time.
    pub(crate) hedge_due: bool,
    /// Its slot was given back before its outcome came.
    pub(crate) slot_released: bool,
}

impl Attempt {
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

#[derive(Debug)]
pub(crate) struct RequestState {
    pub(crate) class: usize,
    pub(crate) send_deadline: Time,
    /// When an answer stops being worth anything.
    pub(crate) valuable_until: Time,
    /// When a held request must be given up.
    pub(crate) queue_deadline: Time,
    pub(crate) is_queued: bool,
    pub(crate) is_finished: bool,
    pub(crate) attempts: Vec<Attempt>,
    /// While it is held: its place in the order, its lane, and whether it stands there already.
    pub(crate) ticket: Ticket,
    pub(crate) sub_queue: SubQueue,
    pub(crate) is_enqueued: bool,
    /// The key whose turn it waits for.
    pub(crate) ordering_key: Option<u64>,
    /// Its last byte has not come: what is out of it is nobody's fault.
    pub(crate) flows: bool,
    /// A part of its body went out and is kept nowhere: it can't be sent again.
    pub(crate) spent: bool,
    /// The only zone and cell that it may go to.
    pub(crate) sticky_cell: Option<(u32, u32)>,
}

impl RequestState {
    /// One that has just come, to be given its times by [`Self::date`].
    pub(crate) fn new(r: &Request, in_order: bool) -> Self {
        Self {
            class: r.class,
            send_deadline: r.send_deadline,
            valuable_until: r.send_deadline,
            queue_deadline: r.send_deadline,
            is_queued: false,
            is_finished: false,
            attempts: Vec::new(),
            ticket: Ticket::default(),
            sub_queue: SubQueue::Fresh(0),
            is_enqueued: false,
            ordering_key: r.key.filter(|_| in_order),
            flows: r.flows,
            spent: false,
            sticky_cell: r.sticky_cell,
        }
    }

    /// Reckons its times anew, from its last byte on. A held request is worth holding only while its aim can be met,
    /// also where a late answer keeps some worth: else, in lasting overload, the whole queue is served late. It is
    /// given up `give_up_margin`: a refusal must come while it is still harmless.
    pub(crate) fn date(
        &mut self,
        now: Time,
        class: &Class,
        send_deadline: Time,
        give_up_margin: Span,
    ) {
        let aim_at = send_deadline.min(now.plus(class.latency_objective));
        self.send_deadline = send_deadline;
        self.valuable_until = if class.late_priority_weight > 0.0 { send_deadline } else { aim_at };
        self.queue_deadline = aim_at.plus(Span(-give_up_margin.0));
    }

    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.state == AttemptState::InFlight)
    }
    pub(crate) fn all_never_ran(&self) -> bool {
        self.may_have_run().next().is_none()
    }
    /// Those that are out, too.
    pub(crate) fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| a.state != AttemptState::NeverRan)
    }
}
