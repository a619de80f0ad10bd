//! Rules that hold under every fault, and the check of a run against them.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

use crate::ledger::{Answer, Attempt, AttemptOutcome, Connection, Ledger, Request};
use crate::settings::{
    CONCURRENCY, Class, DEDUP_WINDOW, DRAIN_GRACE, INITIAL_CAPACITY, MAX_ATTEMPTS,
    OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, SERVICE_TIME, WARM_UP,
};

/// Allowance for socket delays in each time limit.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// Longest delay of a process between reading its clock and a write, including delays that injected faults cause.
const MAX_PROCESS_DELAY: Duration = Duration::from_millis(150);
/// Longest time from a client's disconnection to the start of an attempt.
const DISCONNECT_SLACK: Duration = Duration::from_millis(100);
/// Longest time from the deadline to a response that still counts.
const LATE_ANSWER_ALLOWANCE: Duration = Duration::from_millis(500);
/// Time after SIGTERM in which new connections are accepted.
const ACCEPTING_AFTER_SIGTERM: Duration = Duration::from_millis(400);

/// A rule that every run must satisfy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets one final response before its deadline.
    Answered,
    /// No request takes effect twice.
    Once,
    /// A rejected request was not executed, so that a retry is safe.
    RefusedTruly,
    /// No attempt starts after the drain grace period.
    Drained,
    /// No attempt starts after the client has disconnected.
    Left,
    /// The deadline announced to an upstream is at most the remaining time.
    Deadline,
    /// No upstream is overloaded while it warms up.
    Cold,
    /// The daemon reports no invariant violation, becomes ready and exits as expected.
    Daemon,
}

/// A violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// The kind of violation.
    pub kind: &'static str,
    /// The observations that show the violation.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}, {}: {}", self.rule, self.kind, self.details)
    }
}

/// Returns all violations of a run. `lag` is the longest delay of the tasks of the soak process itself.
pub fn check_run(ledger: &Ledger, lag: Duration, begun: Instant) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut attempts_by_request: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    for attempt in &ledger.attempts {
        attempts_by_request.entry(&attempt.id).or_default().push(attempt);
    }
    let no_attempts = Vec::new();
    for (id, request) in &ledger.requests {
        let attempts = attempts_by_request.get(id.as_str()).unwrap_or(&no_attempts);
        let found = [
            check_answer(ledger, request, attempts, lag).map(|kind| (Rule::Answered, kind)),
            check_execution(request, attempts, lag).map(|kind| (Rule::Once, kind)),
            check_rejection(request, attempts).map(|kind| (Rule::RefusedTruly, kind)),
            check_disconnect(request, attempts, lag).map(|kind| (Rule::Left, kind)),
            check_deadline(request, attempts, lag).map(|kind| (Rule::Deadline, kind)),
            check_drain(ledger, request, attempts, lag).map(|kind| (Rule::Drained, kind)),
        ];
        for (rule, kind) in found.into_iter().flatten() {
            let at = request.sent.saturating_duration_since(begun);
            let incarnations = ledger.incarnations.get(&request.balancer);
            let details = format!(
                "{id} sent at {at:?}: {request:?} {attempts:?}; processes {incarnations:?}"
            );
            violations.push(Violation { rule, kind, details });
        }
    }
    violations.extend(check_warm_up(ledger, begun));
    let daemon_failures = ledger.daemon_failures.iter();
    let kind = "a daemon reported a failure, was not ready or did not exit properly";
    violations.extend(daemon_failures.map(|details| Violation {
        rule: Rule::Daemon,
        kind,
        details: details.clone(),
    }));
    violations.sort_by_key(|violation| violation.rule);
    violations
}

fn check_answer(
    ledger: &Ledger,
    request: &Request,
    attempts: &[&Attempt],
    lag: Duration,
) -> Option<&'static str> {
    if request.left.is_some() {
        return None;
    }
    let (at, answer) = match &request.answer {
        Some((at, answer)) => (*at, answer),
        None => return Some("never answered"),
    };
    // A request that is open when its balancer is killed may be lost.
    let incarnations = || ledger.incarnations.get(&request.balancer).into_iter().flatten();
    let mut kills = incarnations().filter_map(|incarnation| incarnation.killed);
    if kills.any(|killed| killed + lag >= request.connected && killed <= at + lag) {
        return None;
    }
    match answer {
        Answer::Whole(200, body) => {
            let is_served = |attempt: &&&Attempt| {
                attempt.fate == AttemptOutcome::Ran
                    && *body == format!("{} {}", attempt.id, attempt.upstream)
            };
            let is_late = at > request.until + LATE_ANSWER_ALLOWANCE + lag;
            match attempts.iter().any(|attempt| is_served(&attempt)) {
                false => Some("served a response that no upstream produced for it"),
                true => is_late.then_some("served too late"),
            }
        }
        Answer::Whole(..) => {
            (at > request.until + LATE_ANSWER_ALLOWANCE + lag).then_some("answered too late")
        }
        // A response that cannot be completed must be visibly truncated.
        Answer::Partial => None,
        Answer::NotConnected => None,
        Answer::Reset if request.connection != Connection::New => None,
        Answer::Reset if connected_during_shutdown(ledger, request, lag) => None,
        Answer::Reset => Some("reset on a new connection"),
        Answer::EndInOrder => Some("request read, connection closed without an answer"),
        Answer::Nothing => Some("no answer in time"),
    }
}

/// Whether the connection was established after its balancer had stopped accepting connections.
fn connected_during_shutdown(ledger: &Ledger, request: &Request, lag: Duration) -> bool {
    let incarnations = ledger.incarnations.get(&request.balancer).into_iter().flatten();
    incarnations.into_iter().any(|incarnation| {
        let (Some(terminated), Some(gone)) = (incarnation.terminated, incarnation.gone) else {
            return false;
        };
        request.connected + lag >= terminated + ACCEPTING_AFTER_SIGTERM
            && request.connected <= gone + lag
    })
}

fn check_execution(
    request: &Request,
    attempts: &[&Attempt],
    lag: Duration,
) -> Option<&'static str> {
    if attempts.len() > MAX_ATTEMPTS {
        return Some("too many attempts");
    }
    let ran: Vec<&&Attempt> =
        attempts.iter().filter(|attempt| attempt.fate == AttemptOutcome::Ran).collect();
    let whole = |attempt: &Attempt| attempt.whole.unwrap_or(attempt.begun);
    match request.class {
        Class::Read => None,
        Class::Alarm => (ran.len() > 1).then_some("an unsafe request ran twice"),
        Class::Log => {
            let first = ran.first()?;
            let is_in_other_cell = ran.iter().any(|attempt| attempt.cell != first.cell);
            let end = whole(first) + DEDUP_WINDOW + SOCKET_SLACK + MAX_PROCESS_DELAY + lag;
            let is_after_window = ran.iter().any(|attempt| whole(attempt) > end);
            if is_in_other_cell {
                Some("a keyed request ran in two cells")
            } else {
                is_after_window
                    .then_some("a keyed request ran again after its deduplication window")
            }
        }
    }
}

fn check_rejection(request: &Request, attempts: &[&Attempt]) -> Option<&'static str> {
    let (_, Answer::Whole(status, _)) = request.answer.as_ref()? else { return None };
    let ran = attempts.iter().any(|attempt| attempt.fate == AttemptOutcome::Ran);
    let is_refused = [429, 503].contains(status);
    (is_refused && ran && request.class != Class::Read).then_some("rejected after it had run")
}

fn check_disconnect(
    request: &Request,
    attempts: &[&Attempt],
    lag: Duration,
) -> Option<&'static str> {
    let left = request.left?;
    let is_late = attempts
        .iter()
        .any(|attempt| attempt.begun > left + DISCONNECT_SLACK + MAX_PROCESS_DELAY + lag);
    is_late.then_some("an attempt began after its client had disconnected")
}

fn check_deadline(request: &Request, attempts: &[&Attempt], lag: Duration) -> Option<&'static str> {
    let overstated = attempts.iter().any(|attempt| {
        let left = request.until.saturating_duration_since(attempt.begun);
        Duration::from_millis(attempt.announced_ms) > left + MAX_PROCESS_DELAY + lag
    });
    overstated.then_some("the announced deadline exceeds the remaining time")
}

fn check_drain(
    ledger: &Ledger,
    request: &Request,
    attempts: &[&Attempt],
    lag: Duration,
) -> Option<&'static str> {
    let is_late = |attempt: &&&Attempt| {
        let key = (request.balancer, attempt.upstream.clone());
        let present = ledger.notifications.get(&key).map(|notification| notification.written);
        let past =
            ledger.withdrawn_notifications.iter().filter(|(balancer, upstream, _, until)| {
                *balancer == request.balancer
                    && *upstream == attempt.upstream
                    && attempt.begun <= *until
            });
        let mut notifications =
            past.map(|(.., notification, _)| notification.written).chain(present);
        notifications.any(|written| attempt.begun > written + DRAIN_GRACE + SOCKET_SLACK + lag)
    };
    attempts.iter().any(|attempt| is_late(&attempt)).then_some("sent after the drain grace period")
}

/// Returns a violation for each upstream that received more requests while warming up than the settings allow.
fn check_warm_up(ledger: &Ledger, begun: Instant) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (upstream, started) in &ledger.upstream_restarts {
        let sends = ledger.attempts.iter().filter(|attempt| attempt.upstream == *upstream);
        let sends: Vec<Instant> = sends
            .map(|attempt| attempt.begun)
            .filter(|at| *at >= *started && *at <= *started + WARM_UP)
            .collect();
        for (i, first) in sends.iter().enumerate() {
            let window = sends[i..].iter().take_while(|at| **at <= *first + OVERLOAD_WINDOW);
            let received = window.count() as f64;
            let allowed = max_requests(first.saturating_duration_since(*started) + OVERLOAD_WINDOW);
            if received > allowed {
                let age = first.saturating_duration_since(*started);
                let at = first.saturating_duration_since(begun);
                let details = format!(
                    "{upstream}, {age:?} after its start: received {received} at {at:?}, {allowed:.1} allowed"
                );
                violations.push(Violation {
                    rule: Rule::Cold,
                    kind: "an upstream received too many requests while warming up",
                    details,
                });
                break;
            }
        }
    }
    violations
}

/// Returns the requests within [`OVERLOAD_WINDOW`] that an upstream of this age tolerates, with an allowance for random
/// variation.
fn max_requests(age: Duration) -> f64 {
    let warmth = (age.as_secs_f64() / WARM_UP.as_secs_f64()).min(1.0);
    let capacity = INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * warmth;
    let warm = CONCURRENCY as f64 * OVERLOAD_WINDOW.as_secs_f64() / SERVICE_TIME.as_secs_f64();
    let bound = OVERLOAD_MULTIPLE * capacity * warm;
    if bound < 30.0 { bound + 3.0 * bound.sqrt() + 3.0 } else { bound + 2.0 * bound.sqrt() + 2.0 }
}
