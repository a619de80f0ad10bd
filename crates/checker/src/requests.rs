//! Rules 1 and 2: the history of each request, as its client and the nodes observed it.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

use super::{Case, Finding, Violation, micros};
use hollowpaddle_scenario::record::{At, AttemptOutcome, Line, Observation};
use hollowpaddle_scenario::scenario::{Effect, Group};

/// One attempt, as its node observed it.
#[derive(Clone, Debug)]
struct Attempt {
    number: u32,
    node: usize,
    balancer: usize,
    start: u32,
    /// Time of the first byte at the node.
    first: At,
    /// Time and kind of the outcome.
    ended: Option<(At, AttemptOutcome)>,
    /// Time at which its connection closed.
    closed: Option<At>,
}

impl Attempt {
    /// Returns whether the outcome proves that the request did not run.
    fn never_ran(&self) -> bool {
        matches!(self.ended, Some((_, AttemptOutcome::Rejected)))
    }

    /// Returns the time until which the attempt was in flight on an open connection; `None` if it still is.
    fn in_flight_until(&self) -> Option<At> {
        let ended = self.ended.map(|(at, _)| at);
        ended.into_iter().chain(self.closed).min()
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug)]
enum RequestEnd {
    Answered { status: u16, attempt: Option<u32> },
    Broken { begun: bool },
    ClientLeft,
    TimedOut,
}

/// History of one request.
#[derive(Clone, Debug, Default)]
struct RequestHistory {
    /// Time of the last sending, the balancer, and the number of the balancer's start.
    sent: Option<(At, usize, u32)>,
    /// The previous sending, if its connection closed without an answer: time of the close, balancer and start.
    closed: Option<(At, usize, u32)>,
    attempts: Vec<Attempt>,
    end: Option<(At, RequestEnd)>,
}

/// Time after its client left during which an attempt may still begin, in microseconds, because it was under way.
const ABANDON_GRACE_US: u64 = 100_000;
/// Number of attempts of a run that may begin later, as random events.
const ALLOWED_LATE_ATTEMPTS: usize = 2;
/// Time after which a request that waited when its client left counts as forwarded without need, in microseconds.
const ABANDONED_SEND_US: u64 = 300_000;
/// Least number of such requests that is a violation.
const MIN_ABANDONED_SENDS: usize = 5;
/// Share of all requests that waited when their clients left, up to which such requests are no violation.
const MAX_ABANDONED_SHARE: f64 = 0.25;
/// Time after its resumption within which a balancer answers requests that waited meanwhile, in microseconds.
const RESUME_GRACE_US: u64 = 250_000;

/// The run of one process of a balancer.
#[derive(Clone, Debug, Default)]
struct ProcessRun {
    /// Begin and end of each suspension.
    pauses: Vec<(At, Option<At>)>,
    stopping: Option<At>,
    killed: Option<At>,
    exited: Option<At>,
}

/// Finds violations of rules 1 and 2.
pub fn check(case: &Case, findings: &mut Vec<Finding>) {
    let mut histories: BTreeMap<u32, RequestHistory> = BTreeMap::new();
    let mut request_of: FxHashMap<u32, u32> = FxHashMap::default();
    let mut process_runs: FxHashMap<(usize, u32), ProcessRun> = FxHashMap::default();
    let mut found = Vec::new();
    for line in case.trace {
        let at = line.at;
        let mut process_run = |b: &usize, s: &u32, f: &dyn Fn(&mut ProcessRun)| {
            f(process_runs.entry((*b, *s)).or_default());
        };
        match &line.seen {
            Observation::Sent { request, balancer, start, again, .. } => {
                let history = histories.entry(*request).or_default();
                let previous = history.sent.replace((at, *balancer, *start));
                if let Some((_, balancer, start)) = previous.filter(|_| *again) {
                    history.closed = Some((at, balancer, start));
                }
            }
            // The connection closed after the request was sent, and the client could not connect to send it again.
            Observation::Unreachable { request, .. } => {
                let history = histories.entry(*request).or_default();
                if let Some((_, balancer, start)) = history.sent {
                    history.closed = Some((at, balancer, start));
                }
            }
            Observation::Answered { request, status, attempt, .. } => {
                let end = RequestEnd::Answered { status: *status, attempt: *attempt };
                histories.entry(*request).or_default().end = Some((at, end));
            }
            Observation::Broken { request, begun } => {
                histories.entry(*request).or_default().end =
                    Some((at, RequestEnd::Broken { begun: *begun }));
            }
            Observation::ClientLeft { request } => {
                histories.entry(*request).or_default().end = Some((at, RequestEnd::ClientLeft));
            }
            Observation::ClientTimedOut { request } => {
                histories.entry(*request).or_default().end = Some((at, RequestEnd::TimedOut));
            }
            Observation::Extra { balancer, request, bytes } => {
                let what = format!("{bytes} bytes came on a connection with no request open");
                found.push((Violation::AnsweredTwice, at, Some(*balancer), *request, what));
            }
            Observation::AlteredRequest { node, balancer, what } => {
                let what = format!("node {node} was sent what no client sent: {what}");
                found.push((Violation::Altered, at, Some(*balancer), None, what));
            }
            Observation::Attempt { attempt, request, node, balancer, start, first, .. } => {
                request_of.insert(*attempt, *request);
                histories.entry(*request).or_default().attempts.push(Attempt {
                    number: *attempt,
                    node: *node,
                    balancer: *balancer,
                    start: *start,
                    first: *first,
                    ended: None,
                    closed: None,
                });
            }
            Observation::Ended { attempt, outcome } => {
                update_attempt(&mut histories, &request_of, *attempt, |a| {
                    a.ended = a.ended.or(Some((at, *outcome)))
                });
            }
            Observation::Closed { attempt } => {
                update_attempt(&mut histories, &request_of, *attempt, |a| {
                    a.closed = a.closed.or(Some(at))
                });
            }
            Observation::Stopping { balancer, start } => {
                process_run(balancer, start, &|l| l.stopping = Some(at));
            }
            Observation::Killed { balancer, start } => {
                process_run(balancer, start, &|l| l.killed = Some(at))
            }
            Observation::Paused { balancer, start } => {
                process_run(balancer, start, &|l| l.pauses.push((at, None)));
            }
            Observation::Resumed { balancer, start } => process_run(balancer, start, &|l| {
                l.pauses.iter_mut().for_each(|p| p.1 = p.1.or(Some(at)));
            }),
            Observation::Exited { balancer, start, .. } => {
                process_run(balancer, start, &|l| l.exited = Some(at))
            }
            _ => {}
        }
    }
    for (request, history) in &mut histories {
        history.attempts.sort_by_key(|a| (a.first, a.number));
        let process_run = |of: Option<(At, usize, u32)>| {
            of.and_then(|(_, b, s)| process_runs.get(&(b, s)).cloned()).unwrap_or_default()
        };
        let (last_run, previous_run) = (process_run(history.sent), process_run(history.closed));
        let mut request_check =
            RequestCheck { case, request: *request, history, found: Vec::new() };
        request_check.check_closed_connection(previous_run);
        request_check.check_answer(last_run);
        request_check.check_effects();
        found.append(&mut request_check.found);
    }
    check_abandoned(case, &histories, &process_runs, &mut found);
    // Trace lines are looked up only for findings.
    for (violation, at, balancer, request, what) in found {
        let history =
            request.map(|r| trace_of_request(case.trace, &request_of, r)).unwrap_or_default();
        findings.push(Finding { violation, at, balancer, request, what, history });
    }
}

/// Finds attempts that began after their clients had left.
fn check_abandoned(
    case: &Case,
    histories: &BTreeMap<u32, RequestHistory>,
    process_runs: &FxHashMap<(usize, u32), ProcessRun>,
    found: &mut Vec<Found>,
) {
    let (mut late, mut waited, mut abandoned_sends) = (Vec::new(), 0, Vec::new());
    for (request, history) in histories {
        // A request whose deadline has passed is reported as lost.
        let Some((left, RequestEnd::ClientLeft)) = history.end else { continue };
        // A suspended balancer notices that the client left once it is resumed.
        let client_left_known = |a: &Attempt| {
            let pauses =
                process_runs.get(&(a.balancer, a.start)).map_or(&[][..], |l| &l.pauses[..]);
            let suspensions = pauses.iter().filter(|(from, to)| {
                from.0 <= left.0 + ABANDON_GRACE_US
                    && to.is_none_or(|to| left <= to && to <= a.first)
            });
            let resumed = suspensions.filter_map(|(_, to)| to.map(|to| At(to.0 + RESUME_GRACE_US)));
            resumed.max().unwrap_or(left).max(left)
        };
        let after = |a: &&Attempt, by: u64| a.first.0 > client_left_known(a).0 + by + case.slack;
        late.extend(history.attempts.iter().filter(|a| after(a, ABANDON_GRACE_US)).map(|a| {
            let ms = a.first.ms_since(left);
            (a.first, a.balancer, *request, format!("{ms:.1} ms after its client left"))
        }));
        if history.attempts.iter().any(|a| a.first <= left) {
            continue;
        }
        waited += 1;
        let first = history.attempts.first();
        abandoned_sends.extend(first.filter(|a| after(a, ABANDONED_SEND_US)).map(|a| a.first));
    }
    late.sort();
    for (at, balancer, request, how) in late.into_iter().skip(ALLOWED_LATE_ATTEMPTS) {
        let what =
            format!("an attempt began {how}; {ALLOWED_LATE_ATTEMPTS} such cases came before it");
        found.push((Violation::SentAfterLeaving, at, Some(balancer), Some(request), what));
    }
    let count = abandoned_sends.len();
    if count >= MIN_ABANDONED_SENDS && count as f64 > MAX_ABANDONED_SHARE * f64::from(waited) {
        let what = format!(
            "of {waited} requests whose clients left while they waited, {count} were sent on over {} ms later",
            ABANDONED_SEND_US / 1000
        );
        let at = abandoned_sends.into_iter().max().unwrap_or_default();
        found.push((Violation::SentForNobody, at, None, None, what));
    }
}

/// Applies a change to an attempt, if it is known.
fn update_attempt(
    histories: &mut BTreeMap<u32, RequestHistory>,
    request_of: &FxHashMap<u32, u32>,
    attempt: u32,
    f: impl FnOnce(&mut Attempt),
) {
    let history = request_of.get(&attempt).and_then(|r| histories.get_mut(r));
    if let Some(a) = history.and_then(|s| s.attempts.iter_mut().find(|a| a.number == attempt)) {
        f(a);
    }
}

/// Returns the trace lines of a request.
fn trace_of_request(trace: &[Line], request_of: &FxHashMap<u32, u32>, request: u32) -> Vec<Line> {
    let of = |line: &&Line| match &line.seen {
        Observation::Sent { request: r, .. }
        | Observation::Unreachable { request: r, .. }
        | Observation::Answered { request: r, .. }
        | Observation::Broken { request: r, .. }
        | Observation::ClientLeft { request: r }
        | Observation::ClientTimedOut { request: r }
        | Observation::Attempt { request: r, .. } => *r == request,
        Observation::Extra { request: r, .. } => *r == Some(request),
        Observation::Ran { attempt }
        | Observation::Ended { attempt, .. }
        | Observation::Closed { attempt } => request_of.get(attempt) == Some(&request),
        _ => false,
    };
    trace.iter().filter(of).cloned().collect()
}

/// A finding without its history: violation, time, balancer, request and description.
type Found = (Violation, At, Option<usize>, Option<u32>, String);

/// Check of one request.
struct RequestCheck<'a> {
    case: &'a Case<'a>,
    request: u32,
    history: &'a RequestHistory,
    found: Vec<Found>,
}

impl RequestCheck<'_> {
    /// Records a finding.
    fn found(&mut self, violation: Violation, at: At, balancer: usize, what: String) {
        self.found.push((violation, at, Some(balancer), Some(self.request), what));
    }

    /// Rule 1: a request is lost if its balancer read it from a reused connection, forwarded it, and closed the connection
    /// without an answer, although the client sends it again. A request that the balancer did not read is not lost.
    fn check_closed_connection(&mut self, process_run: ProcessRun) {
        let Some((at, balancer, start)) = self.history.closed else { return };
        let resent_to = self.history.sent.map(|(_, b, s)| (b, s));
        let is_candidate = |a: &&Attempt| {
            (a.balancer, a.start) == (balancer, start)
                && (resent_to != Some((balancer, start)) || a.first <= at)
        };
        let Some(forwarded) = self.history.attempts.iter().find(is_candidate).cloned() else {
            return;
        };
        if self.is_excused(process_run, at) {
            return;
        }
        let what = format!(
            "read by n{balancer} and sent on to node {}, and the connection ended with no answer",
            forwarded.node
        );
        self.found(Violation::Lost, at, balancer, what);
    }

    /// Rule 1: checks the answer, and the attempts after it.
    fn check_answer(&mut self, process_run: ProcessRun) {
        let Some((sent, balancer, _)) = self.history.sent else { return };
        let Some((at, end)) = self.history.end else { return };
        let after = at.ms_since(sent);
        match end {
            RequestEnd::ClientLeft => {}
            // The client can tell from a truncated answer that the request failed.
            RequestEnd::Broken { begun: true } => {}
            RequestEnd::Broken { begun: false } | RequestEnd::TimedOut => {
                if self.is_excused(process_run, at) {
                    return;
                }
                let how = match end {
                    RequestEnd::TimedOut => "nothing had come",
                    _ => "the connection ended with no answer",
                };
                let what = format!("taken by n{balancer}, and {how} {after:.1} ms after that");
                self.found(Violation::Lost, at, balancer, what);
            }
            RequestEnd::Answered { status: 200, attempt } => {
                let producer = |a: &&Attempt| Some(a.number) == attempt;
                let producer = self.history.attempts.iter().find(producer);
                let is_complete = |a: &Attempt| {
                    matches!(a.ended, Some((_, AttemptOutcome::Served | AttemptOutcome::Dropped)))
                };
                if !producer.is_some_and(is_complete) {
                    let what = "answered 200 with what no node made for it".to_string();
                    self.found(Violation::ForeignAnswer, at, balancer, what);
                }
            }
            RequestEnd::Answered { .. } => {}
        }
        if matches!(end, RequestEnd::Answered { .. }) {
            let late = |a: &&Attempt| a.first.0 > at.0 + self.case.slack;
            let late: Vec<Attempt> = self.history.attempts.iter().filter(late).cloned().collect();
            for a in late {
                let ms = a.first.ms_since(at);
                let what = format!("sent to node {} {ms:.1} ms after its final answer", a.node);
                self.found(Violation::SentAfterAnswer, a.first, a.balancer, what);
            }
        }
    }

    /// Returns whether the balancer could not answer: it was killed, so that the client has to retry, or it was suspended
    /// until shortly before the client gave up.
    fn is_excused(&self, process_run: ProcessRun, at: At) -> bool {
        let was_suspended = |(from, to): &(At, Option<At>)| {
            *from <= at && to.is_none_or(|to| at.0 <= to.0 + RESUME_GRACE_US + self.case.slack)
        };
        if process_run.pauses.iter().any(was_suspended) {
            return true;
        }
        // The client may notice a kill shortly before it is recorded.
        let happened = |time: Option<At>| time.is_some_and(|t| t.0 <= at.0 + self.case.slack);
        if !happened(process_run.killed) {
            return false;
        }
        // A shutdown has the longest deadline and 0.7 s after SIGTERM (PROTOCOL, 'Figures'). Requests without an answer at
        // a later kill are lost. A kill before that counts as at any other time.
        let longest_deadline = self.case.scenario.classes.iter().map(|c| c.deadline).max();
        let shutdown_us = micros(longest_deadline.unwrap_or_default()) + 700_000;
        match (process_run.stopping, process_run.killed) {
            (Some(stop), Some(kill)) => kill.0.saturating_sub(stop.0) < shutdown_us,
            _ => true,
        }
    }

    /// Rule 2: checks resends, and rejections of requests that may have run.
    fn check_effects(&mut self) {
        let class =
            &self.case.scenario.classes[self.case.plan.arrivals[self.request as usize].class];
        let attempts = self.history.attempts.clone();
        for (i, next) in attempts.iter().enumerate() {
            let earlier = &attempts[..i];
            let open = |a: &&Attempt| {
                a.in_flight_until().is_none_or(|until| until.0 > next.first.0 + self.case.slack)
            };
            if let Some(other) = earlier.iter().find(open) {
                let what = format!(
                    "sent to node {} while its attempt at node {} was out",
                    next.node, other.node
                );
                self.found(Violation::TwoAtOnce, next.first, next.balancer, what);
                continue;
            }
            if i >= self.case.scenario.rules.max_attempts {
                let what = format!("attempt {} of {} allowed", i + 1, i);
                self.found(Violation::TooManyAttempts, next.first, next.balancer, what);
                continue;
            }
            let Some(possible_run) = earlier.iter().find(|a| !a.never_ran()) else { continue };
            match class.effect {
                Effect::Safe => {}
                Effect::Unsafe => {
                    let what = format!(
                        "unsafe, may have run at node {}, and sent to node {} {:.1} ms after that",
                        possible_run.node,
                        next.node,
                        next.first.ms_since(possible_run.first)
                    );
                    self.found(Violation::ResentUnsafe, next.first, next.balancer, what);
                }
                Effect::Keyed => {
                    let since = next.first.ms_since(possible_run.first);
                    if !self.same_group(class.group, possible_run.node, next.node) {
                        let what = format!(
                            "keyed, may have run at node {}, and sent to node {} of another group",
                            possible_run.node, next.node
                        );
                        self.found(Violation::ResentElsewhere, next.first, next.balancer, what);
                    } else if next.first.0
                        > possible_run.first.0 + micros(class.window) + self.case.slack
                    {
                        let what = format!(
                            "keyed, may have run at node {}, and sent again {since:.1} ms after \
                             that: its group remembers for {:.1} ms",
                            possible_run.node,
                            class.window.as_secs_f64() * 1e3
                        );
                        self.found(Violation::ResentTooLate, next.first, next.balancer, what);
                    }
                }
            }
        }
        let Some((at, RequestEnd::Answered { status: status @ (429 | 503), .. })) =
            self.history.end
        else {
            return;
        };
        let is_repeatable = class.effect == Effect::Safe
            || (class.effect == Effect::Keyed && class.group == Group::All);
        // An attempt that reached a node after the rejection is another violation.
        let possible_run =
            attempts.iter().find(|a| !a.never_ran() && a.first.0 <= at.0 + self.case.slack);
        if let Some(possible_run) = possible_run.filter(|_| !is_repeatable) {
            let what =
                format!("answered {status}, and it may have run at node {}", possible_run.node);
            self.found(Violation::RefusedAfterRun, at, possible_run.balancer, what);
        }
    }

    /// Returns whether two nodes are in one group, so that they drop each other's repeats.
    fn same_group(&self, group: Group, a: usize, b: usize) -> bool {
        let (a, b) = (&self.case.plan.machines[a], &self.case.plan.machines[b]);
        match group {
            Group::All => true,
            Group::Zone => a.zone == b.zone,
            Group::Cell => a.cell == b.cell,
        }
    }
}
