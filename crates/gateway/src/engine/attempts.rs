//! Starts and cancels the attempts of requests, within their limits and checks, and handles their ends. The module
//! `upstreams` carries the attempts out.

use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_policy::interface::{
    CompletedAttempt, Event, Outcome, RequestId, ServerId, SignedDuration, Time,
};
use tokio::time::Instant;

use super::event::{EngineEvent, FinishedAttempt, Reply};
use super::requests::ActiveRequest;
use super::retry_safety::{self, PriorAttempt};
use super::state::EngineState;
use crate::attempt::{AttemptLimits, AttemptResult};
use crate::invariants::Invariant;
use crate::location::Location;
use crate::send_guard::{MAX_PROCESS_STALL, SendGuard, SendGuardParts};
use crate::tasks::AbortOnDrop;

/// One attempt of a request.
pub(super) struct Attempt {
    server: ServerId,
    started_at: Instant,
    /// Location of the upstream, if it was known at the start of the attempt.
    location: Option<Location>,
    /// Outcome of the attempt; `None` while it is in flight.
    outcome: Option<Outcome>,
    /// The task of the attempt while it is in flight. Dropping the task closes the attempt's connection.
    task: Option<AbortOnDrop>,
}

impl Attempt {
    /// Whether the attempt was started and has not ended.
    pub(super) fn is_in_flight(&self) -> bool {
        self.task.is_some()
    }

    /// Returns the data about this attempt that the checks of later attempts need.
    pub(super) fn as_prior(&self) -> PriorAttempt {
        PriorAttempt { location: self.location, outcome: self.outcome }
    }
}

impl ActiveRequest {
    /// Computes the limits of an attempt that starts at `now`. With a `timeout` of zero, only the request's deadline limits
    /// the attempt.
    fn attempt_limits(
        &self,
        now: Instant,
        timeout: SignedDuration,
        send_by: Instant,
    ) -> AttemptLimits {
        let attempt_deadline = if timeout.0 > 0 {
            now + Duration::from_micros(timeout.0 as u64)
        } else {
            self.deadline
        };
        AttemptLimits {
            deadline: attempt_deadline.min(self.deadline),
            send_by,
            response_timeout: self.response_timeout(),
            client_deadline: self.client_deadline(),
            retry_window_end: (send_by < self.deadline).then(|| send_by + MAX_PROCESS_STALL),
        }
    }
}

impl EngineState {
    /// Starts an attempt that the decision module has requested, or ends it as moot if it is no longer allowed.
    pub(super) fn start_attempt(
        &mut self,
        id: RequestId,
        server: ServerId,
        timeout: SignedDuration,
        send_by: Time,
    ) {
        let location = self.upstreams.location_of(server);
        let is_retry_safe = self.is_retry_safe(id, server, location);
        let Some(active) = self.requests.get_mut(&id) else { return };
        let now = Instant::now();
        let attempt = active.attempts.len();
        let limits = active.attempt_limits(now, timeout, self.clock.instant(send_by));
        let is_allowed = is_retry_safe
            && !active.is_answered()
            && attempt < self.limits.max_attempts
            && (self.limits.allows_hedging || active.attempts_in_flight() == 0)
            && now < limits.deadline.min(limits.send_by)
            && !active.forwarded.is_body_started()
            && !self.list_watch.freshness.expiry().is_over(now);
        active.attempts.push(Attempt {
            server,
            started_at: now,
            location,
            outcome: None,
            task: None,
        });
        let guard = if is_allowed { self.send_guard(id, server, limits) } else { None };
        let Some(guard) = guard else {
            self.finish_without_task(id, attempt, Outcome::Moot);
            return;
        };
        tracing::debug!(request = id.0, attempt, upstream = server.0, "attempt started");
        self.spawn_attempt(id, attempt, guard);
    }

    /// Creates the guard that checks an attempt immediately before its first byte; `None` for an unknown upstream or request.
    fn send_guard(
        &self,
        id: RequestId,
        server: ServerId,
        limits: AttemptLimits,
    ) -> Option<SendGuard> {
        Some(SendGuard::new(SendGuardParts {
            request: id,
            upstream: server,
            limits,
            target: self.upstreams.target(server)?,
            cancellation: self.requests.get(&id)?.cancellation.clone(),
            list_expiry: self.list_watch.freshness.expiry(),
            policy_check: self.policy_check(server, id),
            violations: self.violations.clone(),
        }))
    }

    /// Spawns a task that runs an attempt and reports its end.
    fn spawn_attempt(&mut self, id: RequestId, attempt: usize, guard: SendGuard) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        let pool = self.pool.clone();
        let events = self.events.clone();
        let forwarded = active.forwarded.clone();
        let task = tokio::task::spawn_local(async move {
            let result = pool.attempt(&forwarded, Rc::new(guard)).await;
            let finished = FinishedAttempt { request: id, attempt, result };
            let _ = events.send(EngineEvent::AttemptFinished(finished));
        });
        active.attempts[attempt].task = Some(AbortOnDrop(task));
    }

    /// Cancels an attempt that is in flight.
    pub(super) fn cancel_attempt(&mut self, id: RequestId, attempt: usize) {
        let active = self.requests.get_mut(&id);
        let cancelled = active.and_then(|active| active.attempts.get_mut(attempt));
        if cancelled.is_some_and(|cancelled| cancelled.task.take().is_some()) {
            self.finish_without_task(id, attempt, Outcome::Cancelled);
        }
    }

    /// Queues the end of an attempt that has no task. The end is handled after the current actions are executed.
    fn finish_without_task(&mut self, request: RequestId, attempt: usize, outcome: Outcome) {
        let result = AttemptResult::without_response(outcome);
        self.finished_without_task.push_back(FinishedAttempt { request, attempt, result });
    }

    /// Handles the end of an attempt. The first response becomes the final answer.
    pub(super) fn on_attempt_finished(&mut self, finished: FinishedAttempt) {
        let FinishedAttempt { request: id, attempt, result } = finished;
        let Some(active) = self.requests.get_mut(&id) else { return };
        let Some(ended) = active.attempts.get_mut(attempt) else { return };
        ended.task = None;
        ended.outcome = Some(result.outcome);
        let server = ended.server;
        let elapsed = ended.started_at.elapsed();
        active.last_outcome = Some(result.outcome);
        let is_body_started = active.forwarded.is_body_started();
        tracing::debug!(
            request = id.0,
            attempt,
            upstream = server.0,
            outcome = ?result.outcome,
            elapsed_ms = elapsed.as_millis() as u64,
            "attempt finished"
        );
        if let Some(response) = result.response {
            self.answer(id, Reply::Served(response));
        }
        let is_answered = self.requests.get(&id).is_none_or(ActiveRequest::is_answered);
        let latency = SignedDuration(elapsed.as_micros() as i64);
        let answer = CompletedAttempt {
            body_consumed: is_body_started,
            report: result.report,
            ..CompletedAttempt::new(id, attempt, server, result.outcome, latency, is_answered)
        };
        self.apply_event(Event::AttemptCompleted(answer));
        self.remove_if_finished(id);
    }

    /// Whether another attempt of this request at `location` can't take effect twice. Counts a violation if it can.
    fn is_retry_safe(&self, id: RequestId, server: ServerId, location: Option<Location>) -> bool {
        let Some(active) = self.requests.get(&id) else { return false };
        let class = &self.limits.classes[active.class];
        let is_safe = retry_safety::is_retry_safe(class, &active.prior_attempts(), location);
        if !is_safe {
            self.violations.count(Invariant::UnsafeRetry, Some(id), Some(server));
        }
        is_safe
    }
}
