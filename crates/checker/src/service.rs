//! How clients were served: worth answered in time over worth asked for, as a whole and where it was worst.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::Case;
use hollowpaddle_scenario::record::{At, Observation};

/// Width of the stretch that the worst one is sought among, in seconds.
const WINDOW_S: usize = 10;
/// Points of the line over time.
const MAX_INTERVALS: usize = 60;
/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// How many requests ended how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Asked for by clients. A request and its repeats are one, from the first's sending to the last's end.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// 200 within the class's aim.
    pub in_time: u64,
    /// 200 after it.
    pub late: u64,
    /// 429 or 503.
    pub refused: u64,
    /// Any other answer, or one that broke off.
    pub failed: u64,
    /// No answer.
    pub unanswered: u64,
    /// The front had nobody to send to, or nobody took the connection.
    pub unreachable: u64,
    /// The client went away first.
    #[serde(rename = "left")]
    pub abandoned: u64,
    /// Repeats that clients made, over all classes.
    pub repeats: u64,
    /// Whole requests that reached nodes.
    pub attempts: u64,
    /// Of those, turned away by their nodes.
    #[serde(rename = "turned_away")]
    pub rejected_attempts: u64,
}

/// One class's part.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassService {
    /// Its name.
    pub name: String,
    /// Worth answered over worth asked for, 0 to 1.
    pub service: f64,
    /// Its requests.
    pub counts: Counts,
    /// Latency of what was served, in milliseconds: at 50, 90, 99 and 99.9 percent, and the most.
    pub latency_ms: Option<[f64; 5]>,
}

/// How clients were served. Ratios are worth over worth, 0 to 1; what its client left counts in neither.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Service {
    /// Over the whole run.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// Over the worst 10 s, by when requests were due.
    #[serde(rename = "worst_stretch")]
    pub worst_window: f64,
    /// When those began, in seconds from the first client.
    #[serde(rename = "worst_stretch_at_s")]
    pub worst_window_start_s: usize,
    /// Over the worst class.
    pub worst_class: f64,
    /// All requests.
    pub counts: Counts,
    /// By class.
    pub classes: Vec<ClassService>,
    /// Over time, in equal parts of the run.
    pub over_time: Vec<Option<f64>>,
    /// Requests served in each of these parts, by when they were asked for.
    pub served_over_time: Vec<u64>,
    /// And not served.
    pub unserved_over_time: Vec<u64>,
    /// Seconds that one of these parts lasts.
    #[serde(rename = "part_s")]
    pub interval_s: f64,
}

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

#[derive(Clone, Copy)]
enum LastEvent {
    Answered(At, u16),
    Broken,
    ClientLeft,
    Unreachable,
}

/// How a request and its repeats came to their end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    InTime,
    Late,
    Refused,
    Failed,
    Unreachable,
    Unanswered,
    /// Its client went away; it counts on neither side.
    Abandoned,
}

/// One request of a client's, its repeats included.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClientRequest {
    /// When it was due, from the first client on.
    pub(crate) due: Duration,
    pub(crate) class: usize,
    pub(crate) outcome: RequestOutcome,
    /// From its sending to its answer, in microseconds, for one that was served.
    pub(crate) latency_us: u64,
    pub(crate) repeats: u64,
}

impl ClientRequest {
    pub(crate) fn is_served(&self) -> bool {
        matches!(self.outcome, RequestOutcome::InTime | RequestOutcome::Late)
    }

    /// What came of it, and what was asked for, in worth.
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

/// What became of every request that a client asked, in the order of the plan.
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
    let closed = case.scenario.load.closed.is_some();
    let began = sent.iter().flatten().min().copied().unwrap_or_default();
    let mut all = Vec::with_capacity(case.plan.original_count as usize);
    for (i, arrival) in arrivals[..case.plan.original_count as usize].iter().enumerate() {
        if closed && sent[i].is_none() && ended[i].is_none() {
            continue; // No client had its turn.
        }
        // What counts is how the last of a request and its repeats ended.
        let (mut last, mut repeats) = (i, 0);
        while let Some(next) = arrivals[last].next_repeat.map(|n| n as usize)
            && (sent[next].is_some() || ended[next].is_some())
        {
            last = next;
            repeats += 1;
        }
        let due = match sent[i] {
            Some(at) if closed => Duration::from_micros(at.0 - began.0),
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

/// The worst stretch: when it began, and its service. A shorter run is one stretch.
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
