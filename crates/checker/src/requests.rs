//! Rules 1 and 2: each request's story, from its client's side and from the nodes'.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

use super::{Case, Finding, Violation, micros};
use hollowpaddle_scenario::record::{At, AttemptOutcome, Line, Observation};
use hollowpaddle_scenario::scenario::{Effect, Group};

/// One attempt, as its node saw it.
#[derive(Clone, Debug)]
struct Attempt {
    number: u32,
    node: usize,
    balancer: usize,
    start: u32,
    first: At,
    ended: Option<(At, AttemptOutcome)>,
    closed: Option<At>,
}

impl Attempt {
    /// Whether its outcome proves that it never ran.
    fn never_ran(&self) -> bool {
        matches!(self.ended, Some((_, AttemptOutcome::TurnedAway)))
    }

    /// Until when it was out, on an open connection.
    fn out_until(&self) -> Option<At> {
        let ended = self.ended.map(|(at, _)| at);
        ended.into_iter().chain(self.closed).min()
    }
}

#[derive(Clone, Copy, Debug)]
enum End {
    Answered { status: u16, attempt: Option<u32> },
    Broken { begun: bool },
    Left,
    GaveUp,
}

#[derive(Clone, Debug, Default)]
struct Story {
    /// When, to which balancer and which start of it.
    sent: Option<(At, usize, u32)>,
    /// The sending before that one, if its connection closed with no answer and it was sent once more, and when.
    closed: Option<(At, usize, u32)>,
    attempts: Vec<Attempt>,
    end: Option<(At, End)>,
}

/// So long after its client has gone an attempt of a request may still begin, in microseconds: what was under way.
const LEFT: u64 = 100_000;
/// So many attempts of a run that begin later are put down to chance.
const LATE_ATTEMPTS: usize = 2;
/// A request that waited as its client left is sent on for nobody so much later, in microseconds.
const FOR_NOBODY: u64 = 300_000;
/// Fewer of them fail no run, nor do so many or fewer out of all that waited so.
const LEAST_FOR_NOBODY: usize = 5;
const SHARE_FOR_NOBODY: f64 = 0.25;
/// So long after it was thawed a balancer answers what waited meanwhile, in microseconds.
const TO_WAKE: u64 = 250_000;

/// The life of one start of a balancer.
#[derive(Clone, Debug, Default)]
struct ProcessRun {
    /// From when to when it was frozen.
    pauses: Vec<(At, Option<At>)>,
    stopping: Option<At>,
    killed: Option<At>,
    exited: Option<At>,
}

pub fn judge(case: &Case, findings: &mut Vec<Finding>) {
    let mut stories: BTreeMap<u32, Story> = BTreeMap::new();
    let mut whose: FxHashMap<u32, u32> = FxHashMap::default();
    let mut process_runs: FxHashMap<(usize, u32), ProcessRun> = FxHashMap::default();
    let mut found = Vec::new();
    for line in case.trace {
        let at = line.at;
        let mut process_run = |b: &usize, s: &u32, f: &dyn Fn(&mut ProcessRun)| {
            f(process_runs.entry((*b, *s)).or_default());
        };
        match &line.seen {
            Observation::Sent { request, balancer, start, again, .. } => {
                let story = stories.entry(*request).or_default();
                let before = story.sent.replace((at, *balancer, *start));
                if let Some((_, balancer, start)) = before.filter(|_| *again) {
                    story.closed = Some((at, balancer, start));
                }
            }
            // Sent, its connection closed, and nobody there as its client asked once more.
            Observation::Unreachable { request, .. } => {
                let story = stories.entry(*request).or_default();
                if let Some((_, balancer, start)) = story.sent {
                    story.closed = Some((at, balancer, start));
                }
            }
            Observation::Answered { request, status, attempt, .. } => {
                let end = End::Answered { status: *status, attempt: *attempt };
                stories.entry(*request).or_default().end = Some((at, end));
            }
            Observation::Broken { request, begun } => {
                stories.entry(*request).or_default().end =
                    Some((at, End::Broken { begun: *begun }));
            }
            Observation::Left { request } => {
                stories.entry(*request).or_default().end = Some((at, End::Left));
            }
            Observation::GaveUp { request } => {
                stories.entry(*request).or_default().end = Some((at, End::GaveUp));
            }
            Observation::Extra { balancer, request, bytes } => {
                let what = format!("{bytes} bytes came on a connection with no request open");
                found.push((Violation::AnsweredTwice, at, Some(*balancer), *request, what));
            }
            Observation::Stranger { node, balancer, what } => {
                let what = format!("node {node} was sent what no client sent: {what}");
                found.push((Violation::Altered, at, Some(*balancer), None, what));
            }
            Observation::Attempt { attempt, request, node, balancer, start, first, .. } => {
                whose.insert(*attempt, *request);
                stories.entry(*request).or_default().attempts.push(Attempt {
                    number: *attempt,
                    node: *node,
                    balancer: *balancer,
                    start: *start,
                    first: *first,
                    ended: None,
                    closed: None,
                });
            }
            Observation::Ended { attempt, fate } => {
                with(&mut stories, &whose, *attempt, |a| a.ended = a.ended.or(Some((at, *fate))));
            }
            Observation::Closed { attempt } => {
                with(&mut stories, &whose, *attempt, |a| a.closed = a.closed.or(Some(at)));
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
    for (request, story) in &mut stories {
        story.attempts.sort_by_key(|a| (a.first, a.number));
        let process_run = |of: Option<(At, usize, u32)>| {
            of.and_then(|(_, b, s)| process_runs.get(&(b, s)).cloned()).unwrap_or_default()
        };
        let (now, before) = (process_run(story.sent), process_run(story.closed));
        let mut judged = Judged { case, request: *request, story, found: Vec::new() };
        judged.closed_with_no_answer(before);
        judged.answer(now);
        judged.effects();
        found.append(&mut judged.found);
    }
    gone(case, &stories, &process_runs, &mut found);
    // Only what is told of is looked up again.
    for (violation, at, balancer, request, what) in found {
        let history = request.map(|r| history(case.trace, &whose, r)).unwrap_or_default();
        findings.push(Finding { violation, at, balancer, request, what, history });
    }
}

/// What was sent on for clients that had gone.
fn gone(
    case: &Case,
    stories: &BTreeMap<u32, Story>,
    process_runs: &FxHashMap<(usize, u32), ProcessRun>,
    found: &mut Vec<Found>,
) {
    let (mut late, mut waited, mut for_nobody) = (Vec::new(), 0, Vec::new());
    for (request, story) in stories {
        // Whose time was up has lost its request, which is told as that.
        let Some((left, End::Left)) = story.end else { continue };
        // Who is frozen hears of it once it is thawed.
        let heard = |a: &Attempt| {
            let pauses =
                process_runs.get(&(a.balancer, a.start)).map_or(&[][..], |l| &l.pauses[..]);
            let asleep = pauses.iter().filter(|(from, to)| {
                from.0 <= left.0 + LEFT && to.is_none_or(|to| left <= to && to <= a.first)
            });
            let thawed = asleep.filter_map(|(_, to)| to.map(|to| At(to.0 + TO_WAKE)));
            thawed.max().unwrap_or(left).max(left)
        };
        let after = |a: &&Attempt, by: u64| a.first.0 > heard(a).0 + by + case.slack;
        late.extend(story.attempts.iter().filter(|a| after(a, LEFT)).map(|a| {
            let ms = a.first.ms_since(left);
            (a.first, a.balancer, *request, format!("{ms:.1} ms after its client left"))
        }));
        if story.attempts.iter().any(|a| a.first <= left) {
            continue;
        }
        waited += 1;
        let first = story.attempts.first();
        for_nobody.extend(first.filter(|a| after(a, FOR_NOBODY)).map(|a| a.first));
    }
    late.sort();
    for (at, balancer, request, how) in late.into_iter().skip(LATE_ATTEMPTS) {
        let what = format!("an attempt began {how}; {LATE_ATTEMPTS} such cases came before it");
        found.push((Violation::SentAfterLeaving, at, Some(balancer), Some(request), what));
    }
    let so_many = for_nobody.len();
    if so_many >= LEAST_FOR_NOBODY && so_many as f64 > SHARE_FOR_NOBODY * f64::from(waited) {
        let what = format!(
            "of {waited} requests whose clients left while they waited, {so_many} were sent on over {} ms later",
            FOR_NOBODY / 1000
        );
        let at = for_nobody.into_iter().max().unwrap_or_default();
        found.push((Violation::SentForNobody, at, None, None, what));
    }
}

fn with(
    stories: &mut BTreeMap<u32, Story>,
    whose: &FxHashMap<u32, u32>,
    attempt: u32,
    f: impl FnOnce(&mut Attempt),
) {
    let story = whose.get(&attempt).and_then(|r| stories.get_mut(r));
    if let Some(a) = story.and_then(|s| s.attempts.iter_mut().find(|a| a.number == attempt)) {
        f(a);
    }
}

/// All that was seen of a request.
fn history(trace: &[Line], whose: &FxHashMap<u32, u32>, request: u32) -> Vec<Line> {
    let of = |line: &&Line| match &line.seen {
        Observation::Sent { request: r, .. }
        | Observation::Unreachable { request: r, .. }
        | Observation::Answered { request: r, .. }
        | Observation::Broken { request: r, .. }
        | Observation::Left { request: r }
        | Observation::GaveUp { request: r }
        | Observation::Attempt { request: r, .. } => *r == request,
        Observation::Extra { request: r, .. } => *r == Some(request),
        Observation::Ran { attempt }
        | Observation::Ended { attempt, .. }
        | Observation::Closed { attempt } => whose.get(attempt) == Some(&request),
        _ => false,
    };
    trace.iter().filter(of).cloned().collect()
}

type Found = (Violation, At, Option<usize>, Option<u32>, String);

struct Judged<'a> {
    case: &'a Case<'a>,
    request: u32,
    story: &'a Story,
    found: Vec<Found>,
}

impl Judged<'_> {
    fn found(&mut self, violation: Violation, at: At, balancer: usize, what: String) {
        self.found.push((violation, at, Some(balancer), Some(self.request), what));
    }

    /// Rule 1: one that was read from a connection that had rested, sent on, and left without an answer as its balancer
    /// closed that connection, is lost, though its client asked once more. One that was not read is not.
    fn closed_with_no_answer(&mut self, process_run: ProcessRun) {
        let Some((at, balancer, start)) = self.story.closed else { return };
        let again_at = self.story.sent.map(|(_, b, s)| (b, s));
        let of_it = |a: &&Attempt| {
            (a.balancer, a.start) == (balancer, start)
                && (again_at != Some((balancer, start)) || a.first <= at)
        };
        let Some(sent_on) = self.story.attempts.iter().find(of_it).cloned() else { return };
        if self.excused(process_run, at) {
            return;
        }
        let what = format!(
            "read by n{balancer} and sent on to node {}, and the connection ended with no answer",
            sent_on.node
        );
        self.found(Violation::Lost, at, balancer, what);
    }

    /// Rule 1.
    fn answer(&mut self, process_run: ProcessRun) {
        let Some((sent, balancer, _)) = self.story.sent else { return };
        let Some((at, end)) = self.story.end else { return };
        let after = at.ms_since(sent);
        match end {
            End::Left => {}
            // Begun and not finished, the client can tell: it has failed.
            End::Broken { begun: true } => {}
            End::Broken { begun: false } | End::GaveUp => {
                if self.excused(process_run, at) {
                    return;
                }
                let how = match end {
                    End::GaveUp => "nothing had come",
                    _ => "the connection ended with no answer",
                };
                let what = format!("taken by n{balancer}, and {how} {after:.1} ms after that");
                self.found(Violation::Lost, at, balancer, what);
            }
            End::Answered { status: 200, attempt } => {
                let made = |a: &&Attempt| Some(a.number) == attempt;
                let made = self.story.attempts.iter().find(made);
                let whole = |a: &Attempt| {
                    matches!(a.ended, Some((_, AttemptOutcome::Served | AttemptOutcome::Dropped)))
                };
                if !made.is_some_and(whole) {
                    let what = "answered 200 with what no node made for it".to_string();
                    self.found(Violation::ForeignAnswer, at, balancer, what);
                }
            }
            End::Answered { .. } => {}
        }
        if matches!(end, End::Answered { .. }) {
            let late = |a: &&Attempt| a.first.0 > at.0 + self.case.slack;
            let late: Vec<Attempt> = self.story.attempts.iter().filter(late).cloned().collect();
            for a in late {
                let ms = a.first.ms_since(at);
                let what = format!("sent to node {} {ms:.1} ms after its final answer", a.node);
                self.found(Violation::SentAfterAnswer, a.first, a.balancer, what);
            }
        }
    }

    /// Whether the balancer was killed before it could answer: the request is its client's to retry. Nor can one
    /// answer that is frozen; one that was thawed some time before the client gave up can.
    fn excused(&self, process_run: ProcessRun, at: At) -> bool {
        let asleep = |(from, to): &(At, Option<At>)| {
            *from <= at && to.is_none_or(|to| at.0 <= to.0 + TO_WAKE + self.case.slack)
        };
        if process_run.pauses.iter().any(asleep) {
            return true;
        }
        // The client may hear of it a moment before we do.
        let before = |then: Option<At>| then.is_some_and(|t| t.0 <= at.0 + self.case.slack);
        if !before(process_run.killed) {
            return false;
        }
        // What a kill finds unanswered once a stop had its time is lost: the longest deadline and 0.7 s after
        // SIGTERM (PROTOCOL, 'Figures'). One that comes sooner is a kill as at any time.
        let longest = self.case.scenario.classes.iter().map(|c| c.deadline).max();
        let time = micros(longest.unwrap_or_default()) + 700_000;
        match (process_run.stopping, process_run.killed) {
            (Some(stop), Some(kill)) => kill.0.saturating_sub(stop.0) < time,
            _ => true,
        }
    }

    /// Rule 2.
    fn effects(&mut self) {
        let class =
            &self.case.scenario.classes[self.case.plan.arrivals[self.request as usize].class];
        let attempts = self.story.attempts.clone();
        for (i, next) in attempts.iter().enumerate() {
            let earlier = &attempts[..i];
            let open = |a: &&Attempt| {
                a.out_until().is_none_or(|until| until.0 > next.first.0 + self.case.slack)
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
            let Some(may) = earlier.iter().find(|a| !a.never_ran()) else { continue };
            match class.effect {
                Effect::Safe => {}
                Effect::Unsafe => {
                    let what = format!(
                        "unsafe, may have run at node {}, and sent to node {} {:.1} ms after that",
                        may.node,
                        next.node,
                        next.first.ms_since(may.first)
                    );
                    self.found(Violation::ResentUnsafe, next.first, next.balancer, what);
                }
                Effect::Keyed => {
                    let since = next.first.ms_since(may.first);
                    if !self.same_group(class.group, may.node, next.node) {
                        let what = format!(
                            "keyed, may have run at node {}, and sent to node {} of another group",
                            may.node, next.node
                        );
                        self.found(Violation::ResentElsewhere, next.first, next.balancer, what);
                    } else if next.first.0 > may.first.0 + micros(class.window) + self.case.slack {
                        let what = format!(
                            "keyed, may have run at node {}, and sent again {since:.1} ms after \
                             that: its group remembers for {:.1} ms",
                            may.node,
                            class.window.as_secs_f64() * 1e3
                        );
                        self.found(Violation::ResentTooLate, next.first, next.balancer, what);
                    }
                }
            }
        }
        let Some((at, End::Answered { status: status @ (429 | 503), .. })) = self.story.end else {
            return;
        };
        let harmless = class.effect == Effect::Safe
            || (class.effect == Effect::Keyed && class.group == Group::All);
        // What came to a node after the refusal is another breach.
        let may = attempts.iter().find(|a| !a.never_ran() && a.first.0 <= at.0 + self.case.slack);
        if let Some(may) = may.filter(|_| !harmless) {
            let what = format!("answered {status}, and it may have run at node {}", may.node);
            self.found(Violation::RefusedAfterRun, at, may.balancer, what);
        }
    }

    fn same_group(&self, group: Group, a: usize, b: usize) -> bool {
        let (a, b) = (&self.case.plan.machines[a], &self.case.plan.machines[b]);
        match group {
            Group::All => true,
            Group::Zone => a.zone == b.zone,
            Group::Cell => a.cell == b.cell,
        }
    }
}
