//! Rules that hold under every fault, and the check of a run against them.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

use crate::ledger::{Answer, Attempt, Connection, Fate, Ledger, Request};
use crate::settings::{
    COLD, COLD_FROM, Class, FALL_MULTIPLE, FALL_WITHIN, GRACE, LANES, MOST_ATTEMPTS, SERVICE,
    WINDOW,
};

/// Allowance for socket delays in each time limit.
const SLACK: Duration = Duration::from_millis(50);
/// Longest delay of a process between reading its clock and a write, including delays that injected faults cause.
const HOLD_UP: Duration = Duration::from_millis(150);
/// Longest time from a client's disconnection to the start of an attempt.
const LEFT_SLACK: Duration = Duration::from_millis(100);
/// Longest time from the deadline to a response that still counts.
const LATE: Duration = Duration::from_millis(500);
/// Time after SIGTERM in which new connections are accepted.
const ACCEPTS: Duration = Duration::from_millis(400);

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
pub struct Break {
    /// The violated rule.
    pub rule: Rule,
    /// The kind of violation.
    pub kind: &'static str,
    /// The observations that show the violation.
    pub what: String,
}

impl fmt::Display for Break {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}, {}: {}", self.rule, self.kind, self.what)
    }
}

/// Returns all violations of a run. `lag` is the longest delay of the tasks of the soak process itself.
pub fn judge(ledger: &Ledger, lag: Duration, begun: Instant) -> Vec<Break> {
    let mut breaks = Vec::new();
    let mut of_request: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    for attempt in &ledger.attempts {
        of_request.entry(&attempt.id).or_default().push(attempt);
    }
    let none = Vec::new();
    for (id, request) in &ledger.requests {
        let attempts = of_request.get(id.as_str()).unwrap_or(&none);
        let found = [
            answered(ledger, request, attempts, lag).map(|kind| (Rule::Answered, kind)),
            once(request, attempts, lag).map(|kind| (Rule::Once, kind)),
            refused_truly(request, attempts).map(|kind| (Rule::RefusedTruly, kind)),
            left(request, attempts, lag).map(|kind| (Rule::Left, kind)),
            deadline(request, attempts, lag).map(|kind| (Rule::Deadline, kind)),
            drained(ledger, request, attempts, lag).map(|kind| (Rule::Drained, kind)),
        ];
        for (rule, kind) in found.into_iter().flatten() {
            let at = request.sent.saturating_duration_since(begun);
            let incarnations = ledger.incarnations.get(&request.balancer);
            let what = format!(
                "{id} sent at {at:?}: {request:?} {attempts:?}; processes {incarnations:?}"
            );
            breaks.push(Break { rule, kind, what });
        }
    }
    breaks.extend(cold(ledger, begun));
    let complaints = ledger.complaints.iter();
    let kind = "a daemon complains, or does not do as it should";
    breaks.extend(complaints.map(|what| Break { rule: Rule::Daemon, kind, what: what.clone() }));
    breaks.sort_by_key(|broken| broken.rule);
    breaks
}

fn answered(
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
                attempt.fate == Fate::Ran && *body == format!("{} {}", attempt.id, attempt.upstream)
            };
            let is_late = at > request.until + LATE + lag;
            match attempts.iter().any(|attempt| is_served(&attempt)) {
                false => Some("served with what no upstream made for it"),
                true => is_late.then_some("served too late"),
            }
        }
        Answer::Whole(..) => (at > request.until + LATE + lag).then_some("answered too late"),
        // A response that cannot be completed must be visibly truncated.
        Answer::Partial => None,
        Answer::NotConnected => None,
        Answer::Reset if request.connection != Connection::New => None,
        Answer::Reset if came_after_the_end(ledger, request, lag) => None,
        Answer::Reset => Some("reset on a new connection"),
        Answer::EndInOrder => Some("read, and closed with no answer"),
        Answer::Nothing => Some("no answer in time"),
    }
}

/// Whether the connection was established after its balancer had stopped accepting connections.
fn came_after_the_end(ledger: &Ledger, request: &Request, lag: Duration) -> bool {
    let incarnations = ledger.incarnations.get(&request.balancer).into_iter().flatten();
    incarnations.into_iter().any(|incarnation| {
        let (Some(terminated), Some(gone)) = (incarnation.terminated, incarnation.gone) else {
            return false;
        };
        request.connected + lag >= terminated + ACCEPTS && request.connected <= gone + lag
    })
}

fn once(request: &Request, attempts: &[&Attempt], lag: Duration) -> Option<&'static str> {
    if attempts.len() > MOST_ATTEMPTS {
        return Some("too many attempts");
    }
    let ran: Vec<&&Attempt> = attempts.iter().filter(|attempt| attempt.fate == Fate::Ran).collect();
    let whole = |attempt: &Attempt| attempt.whole.unwrap_or(attempt.begun);
    match request.class {
        Class::Read => None,
        Class::Alarm => (ran.len() > 1).then_some("an unsafe request ran twice"),
        Class::Log => {
            let first = ran.first()?;
            let is_elsewhere = ran.iter().any(|attempt| attempt.cell != first.cell);
            let end = whole(first) + WINDOW + SLACK + HOLD_UP + lag;
            let is_past = ran.iter().any(|attempt| whole(attempt) > end);
            if is_elsewhere {
                Some("a keyed request ran in two groups")
            } else {
                is_past.then_some("a keyed request ran again past its window")
            }
        }
    }
}

fn refused_truly(request: &Request, attempts: &[&Attempt]) -> Option<&'static str> {
    let (_, Answer::Whole(status, _)) = request.answer.as_ref()? else { return None };
    let ran = attempts.iter().any(|attempt| attempt.fate == Fate::Ran);
    let is_refused = [429, 503].contains(status);
    (is_refused && ran && request.class != Class::Read).then_some("refused after it had run")
}

fn left(request: &Request, attempts: &[&Attempt], lag: Duration) -> Option<&'static str> {
    let left = request.left?;
    let begun_late =
        attempts.iter().any(|attempt| attempt.begun > left + LEFT_SLACK + HOLD_UP + lag);
    begun_late.then_some("an attempt begun after its client left")
}

fn deadline(request: &Request, attempts: &[&Attempt], lag: Duration) -> Option<&'static str> {
    let overstated = attempts.iter().any(|attempt| {
        let left = request.until.saturating_duration_since(attempt.begun);
        Duration::from_millis(attempt.announced_ms) > left + HOLD_UP + lag
    });
    overstated.then_some("a longer deadline was announced than was left")
}

fn drained(
    ledger: &Ledger,
    request: &Request,
    attempts: &[&Attempt],
    lag: Duration,
) -> Option<&'static str> {
    let is_late = |attempt: &&&Attempt| {
        let key = (request.balancer, attempt.upstream.clone());
        let present = ledger.notices.get(&key).map(|notice| notice.written);
        let past = ledger.past_notices.iter().filter(|(balancer, upstream, _, until)| {
            *balancer == request.balancer
                && *upstream == attempt.upstream
                && attempt.begun <= *until
        });
        let mut notices = past.map(|(.., notice, _)| notice.written).chain(present);
        notices.any(|written| attempt.begun > written + GRACE + SLACK + lag)
    };
    attempts.iter().any(|attempt| is_late(&attempt)).then_some("sent past the grace of a drain")
}

/// Returns a violation for each upstream that received more requests while warming up than the settings allow.
fn cold(ledger: &Ledger, begun: Instant) -> Vec<Break> {
    let mut breaks = Vec::new();
    for (upstream, started) in &ledger.starts {
        let sends = ledger.attempts.iter().filter(|attempt| attempt.upstream == *upstream);
        let sends: Vec<Instant> = sends
            .map(|attempt| attempt.begun)
            .filter(|at| *at >= *started && *at <= *started + COLD)
            .collect();
        for (i, first) in sends.iter().enumerate() {
            let window = sends[i..].iter().take_while(|at| **at <= *first + FALL_WITHIN);
            let got = window.count() as f64;
            let allowed = allowed(first.saturating_duration_since(*started) + FALL_WITHIN);
            if got > allowed {
                let age = first.saturating_duration_since(*started);
                let at = first.saturating_duration_since(begun);
                let what =
                    format!("{upstream}, {age:?} old, got {got} at {at:?}, {allowed:.1} allowed");
                breaks.push(Break { rule: Rule::Cold, kind: "a cold upstream got too much", what });
                break;
            }
        }
    }
    breaks
}

/// Returns the requests within [`FALL_WITHIN`] that an upstream of this age tolerates, with an allowance for random
/// variation.
fn allowed(age: Duration) -> f64 {
    let warmth = (age.as_secs_f64() / COLD.as_secs_f64()).min(1.0);
    let share = COLD_FROM + (1.0 - COLD_FROM) * warmth;
    let warm = LANES as f64 * FALL_WITHIN.as_secs_f64() / SERVICE.as_secs_f64();
    let bound = FALL_MULTIPLE * share * warm;
    if bound < 30.0 { bound + 3.0 * bound.sqrt() + 3.0 } else { bound + 2.0 * bound.sqrt() + 2.0 }
}
