//! The requests that await a final answer or have attempts in flight: their arrival, their deadline, and their one final
//! answer. The module `attempts` handles their attempts.

use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_policy::interface::{Event, Outcome, Request, RequestId, SignedDuration};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::attempts::Attempt;
use super::event::{Arrival, Reply};
use super::retry_safety::{self, PriorAttempt};
use super::state::EngineState;
use super::timers::Timer;
use crate::cancellation::Cancellation;
use crate::forwarded_request::ForwardedRequest;
use crate::invariants::Invariant;

/// How much earlier than the client's deadline the decision module's deadline is, at most. The headroom covers the way of
/// the response to the client and scheduling delays of this process.
const MAX_HEADROOM: Duration = Duration::from_millis(15);
/// The headroom is at most the client's timeout divided by this: a request with a timeout of 15 ms still has to be sent.
const HEADROOM_DIVISOR: u32 = 8;
/// The engine answers on its own when the headroom divided by this is left and the decision module has not answered.
const ENGINE_ANSWER_DIVISOR: u32 = 3;

/// A request that awaits a final answer or has attempts in flight.
pub(super) struct ActiveRequest {
    pub(super) forwarded: Rc<ForwardedRequest>,
    /// Receives the final answer; `None` once the request is answered.
    pub(super) reply: Option<oneshot::Sender<Reply>>,
    /// Checked by each attempt immediately before its first byte is written.
    pub(super) cancellation: Rc<Cancellation>,
    /// The deadline given to the decision module.
    pub(super) deadline: Instant,
    /// How long the client waits after the last byte of its request.
    client_timeout: Duration,
    /// The time between `deadline` and the client's deadline.
    headroom: Duration,
    /// Index of the request's class in the settings.
    pub(super) class: usize,
    pub(super) attempts: Vec<Attempt>,
    /// Outcome of the most recently ended attempt.
    pub(super) last_outcome: Option<Outcome>,
}

impl ActiveRequest {
    fn new(arrival: &Arrival, forwarded: ForwardedRequest, reply: oneshot::Sender<Reply>) -> Self {
        let client_timeout = arrival.client_deadline.saturating_duration_since(Instant::now());
        let headroom = MAX_HEADROOM.min(client_timeout / HEADROOM_DIVISOR);
        Self {
            forwarded: Rc::new(forwarded),
            reply: Some(reply),
            cancellation: arrival.cancellation.clone(),
            deadline: arrival.client_deadline - headroom,
            client_timeout,
            headroom,
            class: arrival.class,
            attempts: Vec::new(),
            last_outcome: None,
        }
    }

    /// Whether the final answer was given.
    pub(super) fn is_answered(&self) -> bool {
        self.reply.is_none()
    }

    /// Counts the attempts that have not ended.
    pub(super) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.is_in_flight()).count()
    }

    /// Returns the attempts so far, for the check that no request takes effect twice.
    pub(super) fn prior_attempts(&self) -> Vec<PriorAttempt> {
        self.attempts.iter().map(Attempt::as_prior).collect()
    }

    /// When the client gives up.
    pub(super) fn client_deadline(&self) -> Instant {
        self.deadline + self.headroom
    }

    /// Returns the time from the last byte of a streamed body to the decision module's deadline.
    pub(super) fn response_timeout(&self) -> Duration {
        self.client_timeout - self.headroom
    }

    /// When the engine answers on its own.
    fn engine_answer_at(&self) -> Instant {
        self.deadline + (self.headroom - self.headroom / ENGINE_ANSWER_DIVISOR)
    }

    /// Whether the request's body is being streamed, so that the client's timeout has not started.
    fn is_streaming(&self) -> bool {
        let body = self.forwarded.streamed_body();
        body.is_some_and(|body| body.is_started() && !body.is_complete())
    }

    /// Restarts the client's timeout at the last byte of a streamed body, less the time in which the upstream blocked the body.
    fn restart_deadline(&mut self) {
        let blocked = self.forwarded.streamed_body().map_or(Duration::ZERO, |body| body.blocked());
        let time_left = self.client_timeout.saturating_sub(blocked).max(self.headroom);
        let client_deadline = Instant::now() + time_left;
        self.deadline = client_deadline - self.headroom;
    }
}

impl EngineState {
    /// Registers a request and passes it to the decision module.
    pub(super) fn on_request(
        &mut self,
        id: RequestId,
        arrival: Arrival,
        forwarded: ForwardedRequest,
        reply: oneshot::Sender<Reply>,
    ) {
        let is_streamed = forwarded.streamed_body().is_some();
        let active = ActiveRequest::new(&arrival, forwarded, reply);
        let request = Request {
            tenant: arrival.tenant,
            key: arrival.key,
            cost_guess: arrival.cost_guess,
            resent: arrival.is_client_retry,
            streams_body: is_streamed,
            ..Request::new(id, arrival.class, self.clock.time(active.deadline))
        };
        self.timers.arm(active.engine_answer_at(), Timer::RequestDeadline(id));
        self.requests.insert(id, active);
        self.notify_policy(Event::Request(request));
    }

    /// Handles the last byte of a streamed body, at which the client's timeout starts.
    pub(super) fn on_body_received(&mut self, id: RequestId) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        if active.is_answered() {
            return;
        }
        active.restart_deadline();
        let send_deadline = self.clock.time(active.deadline);
        self.timers.arm(active.engine_answer_at(), Timer::RequestDeadline(id));
        self.notify_policy(Event::BodyReceived { request: id, send_deadline });
    }

    /// Handles the disconnection of the client, after which the request needs no answer.
    pub(super) fn on_client_disconnected(&mut self, id: RequestId) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        if active.reply.take().is_some() {
            tracing::debug!(request = id.0, "client disconnected");
            self.notify_policy(Event::ClientCancelled(id));
        }
        self.remove_if_finished(id);
    }

    /// Answers a request shortly before the client's deadline, if the decision module has not answered by then.
    pub(super) fn on_request_deadline(&mut self, id: RequestId) {
        // The end of a streamed body moves the deadline and arms another timer, so this one may be early.
        let is_early = |active: &ActiveRequest| {
            active.is_streaming() || Instant::now() < active.engine_answer_at()
        };
        if self.requests.get(&id).is_some_and(is_early) {
            return;
        }
        if self.answer(id, Reply::Failed { timed_out: true }) {
            tracing::warn!(request = id.0, "request answered at its deadline");
            self.notify_policy(Event::ClientCancelled(id));
        }
        self.remove_if_finished(id);
    }

    /// Rejects a request, or fails it if it may have run: a rejection promises that a retry is harmless.
    pub(super) fn reject(&mut self, id: RequestId, retry_after: SignedDuration) {
        let reply = if self.is_rejection_safe(id) {
            Reply::Rejected { retry_after }
        } else {
            Reply::Failed { timed_out: false }
        };
        self.answer(id, reply);
        self.remove_if_finished(id);
    }

    /// Fails a request, as a timeout if its last attempt timed out.
    pub(super) fn fail(&mut self, id: RequestId) {
        let last_outcome = self.requests.get(&id).and_then(|active| active.last_outcome);
        self.answer(id, Reply::Failed { timed_out: last_outcome == Some(Outcome::Timeout) });
        self.remove_if_finished(id);
    }

    /// Sends the final answer unless the request has one already. Returns whether the answer was sent.
    pub(super) fn answer(&mut self, id: RequestId, reply: Reply) -> bool {
        let Some(active) = self.requests.get_mut(&id) else { return false };
        let Some(sender) = active.reply.take() else { return false };
        active.cancellation.cancel();
        let _ = sender.send(reply);
        true
    }

    /// Removes the request if it is answered and has no attempt in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished =
            |active: &ActiveRequest| active.is_answered() && active.attempts_in_flight() == 0;
        if self.requests.get(&id).is_some_and(is_finished) {
            self.requests.remove(&id);
        }
    }

    /// Whether this request may be rejected, which promises that a retry is harmless. Counts a violation if it may not.
    fn is_rejection_safe(&self, id: RequestId) -> bool {
        let Some(active) = self.requests.get(&id) else { return true };
        let class = &self.limits.classes[active.class];
        let is_safe = retry_safety::is_rejection_safe(class, &active.prior_attempts());
        if !is_safe {
            self.violations.count(Invariant::RejectedAfterEffect, Some(id), None);
        }
        is_safe
    }
}
