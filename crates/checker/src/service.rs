//! How clients were served: worth answered in time over worth asked for, as a whole and where it was worst.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::Case;
use hollowpaddle_scenario::record::{At, Observation};

/// Width of the stretch that the worst one is sought among, in seconds.
const STRETCH: usize = 10;
/// Points of the line over time.
const POINTS: usize = 60;
/// Longest latency that is told apart, in microseconds.
const LONGEST: u64 = 600_000_000;

/// How many requests ended how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Asked for by clients. A request and its repeats are one, from the first's sending to the last's end.
    pub asked: u64,
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
    pub left: u64,
    /// Repeats that clients made, over all classes.
    pub repeats: u64,
    /// Whole requests that reached nodes.
    pub attempts: u64,
    /// Of those, turned away by their nodes.
    pub turned_away: u64,
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
    pub whole: f64,
    /// Over the worst 10 s, by when requests were due.
    pub worst_stretch: f64,
    /// When those began, in seconds from the first client.
    pub worst_stretch_at_s: usize,
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
    pub part_s: f64,
}

#[derive(Clone, Copy, Default)]
struct Sum {
    got: f64,
    asked: f64,
}

impl Sum {
    fn ratio(self) -> Option<f64> {
        (self.asked > 0.0).then(|| self.got / self.asked)
    }

    fn add(&mut self, got: f64, asked: f64) {
        self.got += got;
        self.asked += asked;
    }
}

#[derive(Clone, Copy)]
enum Outcome {
    Answered(At, u16),
    Broken,
    Left,
    Unreachable,
}

/// How a request and its repeats came to their end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum How {
    InTime,
    Late,
    Refused,
    Failed,
    Unreachable,
    Unanswered,
    /// Its client went away; it counts on neither side.
    Left,
}

/// One request of a client's, its repeats included.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asked {
    /// When it was due, from the first client on.
    pub(crate) due: Duration,
    pub(crate) class: usize,
    pub(crate) how: How,
    /// From its sending to its answer, in microseconds, for one that was served.
    pub(crate) took: u64,
    pub(crate) repeats: u64,
}

impl Asked {
    pub(crate) fn is_served(&self) -> bool {
        matches!(self.how, How::InTime | How::Late)
    }

    /// What came of it, and what was asked for, in worth.
    pub(crate) fn worth(&self, case: &Case) -> (f64, f64) {
        let class = &case.scenario.classes[self.class];
        match self.how {
            How::InTime => (class.worth, class.worth),
            How::Late => (class.late_worth * class.worth, class.worth),
            How::Left => (0.0, 0.0),
            _ => (0.0, class.worth),
        }
    }
}

/// What became of every request that a client asked, in the order of the plan.
pub(crate) fn asked(case: &Case) -> Vec<Asked> {
    let classes = &case.scenario.classes;
    let arrivals = &case.plan.arrivals;
    let mut sent: Vec<Option<At>> = vec![None; arrivals.len()];
    let mut ended: Vec<Option<Outcome>> = vec![None; arrivals.len()];
    for line in case.trace {
        let mut end = |request: &u32, outcome| ended[*request as usize] = Some(outcome);
        match &line.seen {
            Observation::Sent { request, .. } => {
                sent[*request as usize].get_or_insert(line.at);
            }
            Observation::Answered { request, status, .. } => {
                end(request, Outcome::Answered(line.at, *status));
            }
            Observation::Broken { request, begun: true } => end(request, Outcome::Broken),
            Observation::Left { request } => end(request, Outcome::Left),
            Observation::Unreachable { request, .. } => end(request, Outcome::Unreachable),
            _ => {}
        }
    }
    let closed = case.scenario.load.closed.is_some();
    let zero = sent.iter().flatten().min().copied().unwrap_or_default();
    let mut all = Vec::with_capacity(case.plan.firsts as usize);
    for (i, arrival) in arrivals[..case.plan.firsts as usize].iter().enumerate() {
        if closed && sent[i].is_none() && ended[i].is_none() {
            continue; // No client had its turn.
        }
        // What counts is how the last of a request and its repeats ended.
        let (mut last, mut repeats) = (i, 0);
        while let Some(next) = arrivals[last].again.map(|n| n as usize)
            && (sent[next].is_some() || ended[next].is_some())
        {
            last = next;
            repeats += 1;
        }
        let due = match sent[i] {
            Some(at) if closed => Duration::from_micros(at.0 - zero.0),
            _ => arrival.at,
        };
        let mut took = 0;
        let how = match ended[last] {
            Some(Outcome::Left) => How::Left,
            Some(Outcome::Answered(at, 200)) => {
                took = at.0 - sent[i].unwrap_or(at).0;
                let in_time = took <= super::micros(classes[arrival.class].aim);
                if in_time { How::InTime } else { How::Late }
            }
            Some(Outcome::Answered(_, 429 | 503)) => How::Refused,
            Some(Outcome::Answered(..) | Outcome::Broken) => How::Failed,
            Some(Outcome::Unreachable) => How::Unreachable,
            None => How::Unanswered,
        };
        all.push(Asked { due, class: arrival.class, how, took, repeats });
    }
    all
}

pub fn reckon(case: &Case) -> Service {
    let classes = &case.scenario.classes;
    let mut counts = Counts::default();
    for line in case.trace {
        match &line.seen {
            Observation::Attempt { .. } => counts.attempts += 1,
            Observation::Ended {
                fate: hollowpaddle_scenario::record::AttemptOutcome::TurnedAway,
                ..
            } => {
                counts.turned_away += 1;
            }
            _ => {}
        }
    }
    let seconds = case.scenario.length.as_secs_f64();
    let parts = POINTS.min((seconds as usize).max(1));
    let mut whole = Sum::default();
    let mut by_second = vec![Sum::default(); seconds.ceil() as usize + 1];
    let mut over_time = vec![Sum::default(); parts];
    let (mut served_over_time, mut unserved_over_time) = (vec![0; parts], vec![0; parts]);
    let mut by_class = vec![(Sum::default(), Counts::default()); classes.len()];
    let histogram = || Histogram::<u64>::new_with_bounds(1, LONGEST, 3).ok();
    let mut latency: Vec<Option<Histogram<u64>>> = classes.iter().map(|_| histogram()).collect();
    for one in asked(case) {
        counts.repeats += one.repeats;
        let (sum, count) = &mut by_class[one.class];
        count.asked += 1;
        let how = match one.how {
            How::Left => {
                count.left += 1;
                continue;
            }
            How::InTime => &mut count.in_time,
            How::Late => &mut count.late,
            How::Refused => &mut count.refused,
            How::Failed => &mut count.failed,
            How::Unreachable => &mut count.unreachable,
            How::Unanswered => &mut count.unanswered,
        };
        *how += 1;
        if let Some(h) = latency[one.class].as_mut().filter(|_| one.is_served()) {
            h.saturating_record(one.took.max(1));
        }
        let (got, wanted) = one.worth(case);
        sum.add(got, wanted);
        whole.add(got, wanted);
        let second = one.due.as_secs() as usize;
        by_second[second.min(seconds as usize)].add(got, wanted);
        let part = ((one.due.as_secs_f64() / seconds * parts as f64) as usize).min(parts - 1);
        over_time[part].add(got, wanted);
        let of = if one.is_served() { &mut served_over_time } else { &mut unserved_over_time };
        of[part] += 1;
    }
    let (worst_stretch_at_s, worst_stretch) = worst(&by_second, seconds as usize);
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
        counts.asked += c.counts.asked;
        counts.in_time += c.counts.in_time;
        counts.late += c.counts.late;
        counts.refused += c.counts.refused;
        counts.failed += c.counts.failed;
        counts.unanswered += c.counts.unanswered;
        counts.unreachable += c.counts.unreachable;
        counts.left += c.counts.left;
    }
    Service {
        whole: whole.ratio().unwrap_or(1.0),
        worst_stretch,
        worst_stretch_at_s,
        worst_class: by_class.iter().map(|c| c.service).fold(1.0, f64::min),
        counts,
        classes: by_class,
        over_time: over_time.into_iter().map(Sum::ratio).collect(),
        served_over_time,
        unserved_over_time,
        part_s: seconds / parts as f64,
    }
}

/// The worst stretch: when it began, and its service. A shorter run is one stretch.
fn worst(by_second: &[Sum], seconds: usize) -> (usize, f64) {
    let last = seconds.saturating_sub(STRETCH);
    let stretch = |from: usize| {
        let mut sum = Sum::default();
        for s in by_second.iter().skip(from).take(STRETCH) {
            sum.add(s.got, s.asked);
        }
        (from, sum.ratio().unwrap_or(1.0))
    };
    (0..=last).map(stretch).min_by(|a, b| a.1.total_cmp(&b.1)).unwrap_or((0, 1.0))
}
