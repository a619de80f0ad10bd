//! Checks the rules against the observations of the peers. It uses the plan, and nothing of how the balancer works.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::peers::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Tolerance of each time limit on sockets (PROTOCOL, 'The rules on sockets').
const SOCKET_TOLERANCE: Duration = ms(50);
/// Resolution of the timers.
const TIMER_RESOLUTION: Duration = ms(2);
/// After a client's close no attempt begins later than this (STANDING, with the terms that go beyond it).
const DISCONNECT_LIMIT: Duration = ms(100);

/// Counts how often each tested situation occurred.
#[derive(Default)]
pub struct Coverage(BTreeMap<&'static str, usize>);

impl Coverage {
    /// Adds the situations that occurred in one run.
    pub fn add(&mut self, plan: &Plan, observations: &Observations) {
        let mut count =
            |situation: &'static str, n: usize| *self.0.entry(situation).or_default() += n;
        let requests = &observations.requests;
        let attempts = |id: &str| observations.attempts.iter().filter(|a| a.id == id).count();
        count("answers", requests.iter().filter(|r| r.answer.is_some()).count());
        count("repeats", requests.iter().filter(|r| attempts(&r.id) > 1).count());
        if plan.clients.iter().any(|c| c.disconnect.is_some()) {
            let disconnected = requests.iter().filter(|r| r.disconnected_at.is_some());
            count("requests of disconnected clients", disconnected.count());
        }
        if let Some(stop) = plan.stop {
            let is_open = |r: &&ObservedRequest| {
                let is_complete = r.complete_at.is_some_and(|at| at <= ms(stop.ms));
                is_complete && r.answer.as_ref().is_some_and(|(at, ..)| *at > ms(stop.ms))
            };
            count("requests open at the stop", requests.iter().filter(is_open).count());
        }
        if !plan.discovery.is_empty() {
            let deliveries = observations.deliveries.iter().flatten();
            let delivered = deliveries.clone().filter(|d| d.written_at.is_some());
            count("delivered list changes", delivered.count());
            let is_late = |d: &&ChangeDelivery| {
                d.written_at.is_none_or(|at| at > d.changed_at + DISCONNECT_LIMIT)
            };
            count("late list changes", deliveries.filter(is_late).count());
            let is_after_change = |a: &&ObservedAttempt| {
                observations.deliveries[a.upstream]
                    .is_some_and(|d| d.written_at.is_some_and(|at| a.started_at > at))
            };
            let in_grace = observations.attempts.iter().filter(is_after_change);
            count("sends within a grace period", in_grace.count());
        }
    }

    /// Asserts that each situation occurred often enough.
    pub fn assert_sufficient(&self) {
        assert!(self.0.values().all(|n| *n >= 10), "too few of some situation: {:?}", self.0);
    }
}

/// Checks all rules against the observations of one run.
///
/// # Errors
/// Describes the first violation.
pub fn check_run(plan: &Plan, observations: &Observations) -> Result<(), String> {
    for request in &observations.requests {
        let attempts: Vec<&ObservedAttempt> =
            observations.attempts.iter().filter(|a| a.id == request.id).collect();
        check_answer(plan, observations, request, &attempts)
            .and_then(|()| check_attempts(plan, request, &attempts))
            .and_then(|()| check_disconnection(plan, request, &attempts))
            .map_err(|violation| {
                format!("{violation}\n{request:?}\n{attempts:?}\n{:?}", observations.stopped_at)
            })?;
    }
    for attempt in &observations.attempts {
        check_drain(plan, observations, attempt)?;
    }
    let unsolicited = observations.unsolicited.first();
    unsolicited.map_or(Ok(()), |text| Err(format!("unsolicited bytes: {text}")))
}

fn ensure(holds: bool, violation: &str) -> Result<(), String> {
    if holds { Ok(()) } else { Err(violation.to_string()) }
}

/// Each request gets one final answer in time, and no attempt starts after the answer.
fn check_answer(
    plan: &Plan,
    observations: &Observations,
    request: &ObservedRequest,
    attempts: &[&ObservedAttempt],
) -> Result<(), String> {
    let round_trip = ms(2 * plan.settings.delay_ms);
    let Some(complete_at) = request.complete_at else { return Ok(()) };
    let Some((at, status, body)) = &request.answer else {
        if request.disconnected_at.is_some() {
            return Ok(());
        }
        ensure(request.closed_at.is_some(), "never answered")?;
        ensure(attempts.is_empty(), "forwarded, and lost")?;
        // Only a request that crosses with the shutdown may be left unread.
        let crosses_stop =
            observations.stopped_at.is_some_and(|stop| complete_at + round_trip >= stop);
        return ensure(crosses_stop, "lost while the balancer served");
    };
    // The time of a pipelined request starts with the answer to the request before it.
    let due = complete_at.max(request.previous_answered_at.unwrap_or_default())
        + ms(plan.settings.deadline_ms);
    ensure(*at <= due + SOCKET_TOLERANCE + round_trip, "answered too late")?;
    let is_in_time = |a: &&ObservedAttempt| a.started_at <= *at + TIMER_RESOLUTION + round_trip;
    ensure(attempts.iter().all(is_in_time), "forwarded after its answer")?;
    let may_have_run = attempts.iter().any(|a| a.complete_at.is_some() && a.rejected_at.is_none());
    match status {
        200 => {
            let has_served = |a: &&ObservedAttempt| {
                a.complete_at.is_some() && *body == format!("{}@{}", a.id, a.upstream)
            };
            ensure(attempts.iter().any(has_served), "answered with a foreign response")
        }
        429 | 503 => {
            let is_safe = request.class == Class::Safe || !may_have_run;
            ensure(is_safe, "rejected although it may have run")
        }
        502 | 504 => Ok(()),
        _ => Err(format!("answered with status {status}")),
    }
}

/// No request takes effect twice, and none has more attempts than the settings allow.
fn check_attempts(
    plan: &Plan,
    request: &ObservedRequest,
    attempts: &[&ObservedAttempt],
) -> Result<(), String> {
    let settings = &plan.settings;
    let complete: Vec<&&ObservedAttempt> =
        attempts.iter().filter(|a| a.complete_at.is_some()).collect();
    ensure(complete.len() <= settings.max_attempts, "too many attempts")?;
    for (n, next) in complete.iter().enumerate() {
        let sent_at = next.complete_at.unwrap_or_default();
        for earlier in &complete[..n] {
            let is_in_flight =
                earlier.ended_at.is_none_or(|ended| ended > sent_at + TIMER_RESOLUTION);
            ensure(settings.hedging || !is_in_flight, "two attempts in flight")?;
            // A rejected attempt never ran, which is known only once the rejection was written.
            if earlier.rejected_at.is_some_and(|at| at <= sent_at + TIMER_RESOLUTION) {
                continue;
            }
            match request.class {
                Class::Safe => {}
                Class::Unsafe => ensure(false, "repeated although it may have run")?,
                Class::Keyed => {
                    let cell = |a: &ObservedAttempt| plan.upstreams[a.upstream].cell;
                    ensure(cell(earlier) == cell(next), "repeated in another group")?;
                    let window =
                        ms(settings.window_ms) + SOCKET_TOLERANCE + ms(2 * settings.delay_ms);
                    let is_within = next.started_at <= earlier.started_at + window;
                    ensure(is_within, "repeated after the window")?;
                }
            }
        }
    }
    Ok(())
}

/// No attempt starts for a client that has disconnected.
fn check_disconnection(
    plan: &Plan,
    request: &ObservedRequest,
    attempts: &[&ObservedAttempt],
) -> Result<(), String> {
    let Some(disconnected_at) = request.disconnected_at else { return Ok(()) };
    let round_trip = ms(2 * plan.settings.delay_ms);
    let last = disconnected_at + DISCONNECT_LIMIT + round_trip + TIMER_RESOLUTION;
    let is_in_time = |a: &&ObservedAttempt| a.started_at <= last;
    ensure(attempts.iter().all(is_in_time), "started after its client disconnected")
}

/// No attempt starts at a draining or deleted upstream after the grace period.
fn check_drain(
    plan: &Plan,
    observations: &Observations,
    attempt: &ObservedAttempt,
) -> Result<(), String> {
    let Some(delivery) = observations.deliveries[attempt.upstream] else { return Ok(()) };
    let settings = &plan.settings;
    let grace = ms(settings.grace_ms) + SOCKET_TOLERANCE + ms(2 * settings.delay_ms);
    let is_in_time = attempt.started_at <= delivery.effective_at() + grace;
    ensure(is_in_time, &format!("sent after the grace period: {attempt:?} {delivery:?}"))
}
