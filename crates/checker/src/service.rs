//! Service of clients: the weight of requests answered in time over the weight of all requests, as a whole, over time and
//! by class.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::Case;
use hollowpaddle_scenario::record::{At, Observation};

/// Length of the windows that the worst window is chosen from, in seconds.
const WINDOW_S: usize = 10;
/// Largest number of intervals of the service over time.
const MAX_INTERVALS: usize = 60;
/// Largest recorded latency, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Numbers of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests of clients. A request and its repeats count as one, from the first sending to the end of the last repeat.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Requests answered with 200 within the class's latency objective.
    pub in_time: u64,
    /// Requests answered with 200 after the latency objective.
    pub late: u64,
    /// Requests answered with 429 or 503.
    pub refused: u64,
    /// Requests with any other answer, or a truncated one.
    pub failed: u64,
    /// Requests without an answer.
    pub unanswered: u64,
    /// Requests for which the front end had no balancer, or could not connect to one.
    pub unreachable: u64,
    /// Requests whose client left before the answer.
    #[serde(rename = "left")]
    pub abandoned: u64,
    /// Repeats that clients sent. Counted over all classes only.
    pub repeats: u64,
    /// Complete requests that reached nodes. Counted over all classes only.
    pub attempts: u64,
    /// Attempts that nodes rejected. Counted over all classes only.
    #[serde(rename = "turned_away")]
    pub rejected_attempts: u64,
}

/// Service of one class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassService {
    /// Name of the class.
    pub name: String,
    /// Weight of served requests over the weight of all requests, 0 to 1.
    pub service: f64,
    /// Requests of the class.
    pub counts: Counts,
    /// Latency of served requests, in milliseconds: 50th, 90th, 99th and 99.9th percentile, and maximum.
    pub latency_ms: Option<[f64; 5]>,
}

/// Service of clients. Ratios are the weight of served requests over the weight of all requests, 0 to 1; requests that
/// their clients abandoned count in neither.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Service {
    /// Service of the whole run.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// Service of the worst 10 s, by the time at which requests were due.
    #[serde(rename = "worst_stretch")]
    pub worst_window: f64,
    /// Begin of the worst 10 s, in seconds from the first client.
    #[serde(rename = "worst_stretch_at_s")]
    pub worst_window_start_s: usize,
    /// Service of the worst class.
    pub worst_class: f64,
    /// Requests of all classes.
    pub counts: Counts,
    /// Service by class.
    pub classes: Vec<ClassService>,
    /// Service over time, in equal intervals of the run.
    pub over_time: Vec<Option<f64>>,
    /// Number of served requests by interval in which they were due.
    pub served_over_time: Vec<u64>,
    /// Number of requests that were not served, by interval in which they were due.
    pub unserved_over_time: Vec<u64>,
    /// Length of an interval, in seconds.
    #[serde(rename = "part_s")]
    pub interval_s: f64,
}

/// Sums of earned and possible weights.
#[derive(Clone, Copy, Default)]
struct Sum {
    earned: f64,
    possible: f64,
}

impl Sum {
    fn ratio(self) -> Option<f64> {
        (self.possible > 0.0).then(|| self.earned / self.possible)
    }

    fn add(&mut self, earned: f64, possible: f64) {
        self.earned += earned;
        self.possible += possible;
    }
}

/// Last observation of a request at its client.
#[derive(Clone, Copy)]
enum LastEvent {
    Answered(At, u16),
    Broken,
    ClientLeft,
    Unreachable,
}

/// Outcome of a request and its repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    InTime,
    Late,
    Refused,
    Failed,
    Unreachable,
    Unanswered,
    /// The client left; the request counts neither as served nor as requested.
    Abandoned,
}

/// One request of a client, its repeats included.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClientRequest {
    /// Time at which the request was due, from the first client.
    pub(crate) due: Duration,
    pub(crate) class: usize,
    pub(crate) outcome: RequestOutcome,
    /// Time from the first sending to the answer in microseconds, for a served request.
    pub(crate) latency_us: u64,
    pub(crate) repeats: u64,
}

impl ClientRequest {
    pub(crate) fn is_served(&self) -> bool {
        matches!(self.outcome, RequestOutcome::InTime | RequestOutcome::Late)
    }

    /// Returns the earned weight and the possible weight.
    pub(crate) fn weights(&self, case: &Case) -> (f64, f64) {
        let class = &case.scenario.classes[self.class];
        match self.outcome {
            RequestOutcome::InTime => (class.priority_weight, class.priority_weight),
            RequestOutcome::Late => {
                (class.late_weight * class.priority_weight, class.priority_weight)
            }
            RequestOutcome::Abandoned => (0.0, 0.0),
            _ => (0.0, class.priority_weight),
        }
    }
}

/// Returns all requests that clients sent, with their outcomes, in the order of the plan.
pub(crate) fn client_requests(case: &Case) -> Vec<ClientRequest> {
    let classes = &case.scenario.classes;
    let arrivals = &case.plan.arrivals;
    let mut sent: Vec<Option<At>> = vec![None; arrivals.len()];
    let mut ended: Vec<Option<LastEvent>> = vec![None; arrivals.len()];
    for line in case.trace {
        let mut end = |request: &u32, outcome| ended[*request as usize] = Some(outcome);
        match &line.seen {
            Observation::Sent { request, .. } => {
                sent[*request as usize].get_or_insert(line.at);
            }
            Observation::Answered { request, status, .. } => {
                end(request, LastEvent::Answered(line.at, *status));
            }
            Observation::Broken { request, begun: true } => end(request, LastEvent::Broken),
            Observation::ClientLeft { request } => end(request, LastEvent::ClientLeft),
            Observation::Unreachable { request, .. } => end(request, LastEvent::Unreachable),
            _ => {}
        }
    }
    let is_closed_loop = case.scenario.load.closed.is_some();
    let began = sent.iter().flatten().min().copied().unwrap_or_default();
    let mut all = Vec::with_capacity(case.plan.original_count as usize);
    for (i, arrival) in arrivals[..case.plan.original_count as usize].iter().enumerate() {
        if is_closed_loop && sent[i].is_none() && ended[i].is_none() {
            continue; // The run ended before a client sent it.
        }
        // The last repeat that was sent decides the outcome.
        let (mut last, mut repeats) = (i, 0);
        while let Some(next) = arrivals[last].next_repeat.map(|n| n as usize)
            && (sent[next].is_some() || ended[next].is_some())
        {
            last = next;
            repeats += 1;
        }
        let due = match sent[i] {
            Some(at) if is_closed_loop => Duration::from_micros(at.0 - began.0),
            _ => arrival.at,
        };
        let mut latency_us = 0;
        let outcome = match ended[last] {
            Some(LastEvent::ClientLeft) => RequestOutcome::Abandoned,
            Some(LastEvent::Answered(at, 200)) => {
                latency_us = at.0 - sent[i].unwrap_or(at).0;
                let in_time = latency_us <= super::micros(classes[arrival.class].latency_objective);
                if in_time { RequestOutcome::InTime } else { RequestOutcome::Late }
            }
            Some(LastEvent::Answered(_, 429 | 503)) => RequestOutcome::Refused,
            Some(LastEvent::Answered(..) | LastEvent::Broken) => RequestOutcome::Failed,
            Some(LastEvent::Unreachable) => RequestOutcome::Unreachable,
            None => RequestOutcome::Unanswered,
        };
        all.push(ClientRequest { due, class: arrival.class, outcome, latency_us, repeats });
    }
    all
}

/// Computes the service of a run.
pub fn report(case: &Case) -> Service {
    let classes = &case.scenario.classes;
    let mut counts = Counts::default();
    for line in case.trace {
        match &line.seen {
            Observation::Attempt { .. } => counts.attempts += 1,
            Observation::Ended {
                outcome: hollowpaddle_scenario::record::AttemptOutcome::Rejected,
                ..
            } => {
                counts.rejected_attempts += 1;
            }
            _ => {}
        }
    }
    let seconds = case.scenario.length.as_secs_f64();
    let intervals = MAX_INTERVALS.min((seconds as usize).max(1));
    let mut overall = Sum::default();
    let mut by_second = vec![Sum::default(); seconds.ceil() as usize + 1];
    let mut over_time = vec![Sum::default(); intervals];
    let (mut served_over_time, mut unserved_over_time) = (vec![0; intervals], vec![0; intervals]);
    let mut by_class = vec![(Sum::default(), Counts::default()); classes.len()];
    let histogram = || Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3).ok();
    let mut latency: Vec<Option<Histogram<u64>>> = classes.iter().map(|_| histogram()).collect();
    for request in client_requests(case) {
        counts.repeats += request.repeats;
        let (sum, count) = &mut by_class[request.class];
        count.requests += 1;
        let counter = match request.outcome {
            RequestOutcome::Abandoned => {
                count.abandoned += 1;
                continue;
            }
            RequestOutcome::InTime => &mut count.in_time,
            RequestOutcome::Late => &mut count.late,
            RequestOutcome::Refused => &mut count.refused,
            RequestOutcome::Failed => &mut count.failed,
            RequestOutcome::Unreachable => &mut count.unreachable,
            RequestOutcome::Unanswered => &mut count.unanswered,
        };
        *counter += 1;
        if let Some(h) = latency[request.class].as_mut().filter(|_| request.is_served()) {
            h.saturating_record(request.latency_us.max(1));
        }
        let (earned, possible) = request.weights(case);
        sum.add(earned, possible);
        overall.add(earned, possible);
        let second = request.due.as_secs() as usize;
        by_second[second.min(seconds as usize)].add(earned, possible);
        let interval =
            ((request.due.as_secs_f64() / seconds * intervals as f64) as usize).min(intervals - 1);
        over_time[interval].add(earned, possible);
        let count_over_time =
            if request.is_served() { &mut served_over_time } else { &mut unserved_over_time };
        count_over_time[interval] += 1;
    }
    let (worst_window_start_s, worst_window) = worst_window(&by_second, seconds as usize);
    let percentiles = |h: &Histogram<u64>| {
        let at = |q: f64| h.value_at_quantile(q) as f64 / 1e3;
        (!h.is_empty()).then(|| [at(0.5), at(0.9), at(0.99), at(0.999), h.max() as f64 / 1e3])
    };
    let class_service = |(i, (sum, counts)): (usize, &(Sum, Counts))| ClassService {
        name: classes[i].name.clone(),
        service: sum.ratio().unwrap_or(1.0),
        counts: *counts,
        latency_ms: latency[i].as_ref().and_then(percentiles),
    };
    let by_class: Vec<ClassService> = by_class.iter().enumerate().map(class_service).collect();
    for c in &by_class {
        counts.requests += c.counts.requests;
        counts.in_time += c.counts.in_time;
        counts.late += c.counts.late;
        counts.refused += c.counts.refused;
        counts.failed += c.counts.failed;
        counts.unanswered += c.counts.unanswered;
        counts.unreachable += c.counts.unreachable;
        counts.abandoned += c.counts.abandoned;
    }
    Service {
        overall: overall.ratio().unwrap_or(1.0),
        worst_window,
        worst_window_start_s,
        worst_class: by_class.iter().map(|c| c.service).fold(1.0, f64::min),
        counts,
        classes: by_class,
        over_time: over_time.into_iter().map(Sum::ratio).collect(),
        served_over_time,
        unserved_over_time,
        interval_s: seconds / intervals as f64,
    }
}

/// Returns the begin and the service of the worst window. A run that is shorter than a window is one window.
fn worst_window(by_second: &[Sum], seconds: usize) -> (usize, f64) {
    let last = seconds.saturating_sub(WINDOW_S);
    let window = |from: usize| {
        let mut sum = Sum::default();
        for s in by_second.iter().skip(from).take(WINDOW_S) {
            sum.add(s.earned, s.possible);
        }
        (from, sum.ratio().unwrap_or(1.0))
    };
    (0..=last).map(window).min_by(|a, b| a.1.total_cmp(&b.1)).unwrap_or((0, 1.0))
}
