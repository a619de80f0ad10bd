//! What has to hold of what the peers saw. It knows the plan, and nothing of how the balancer works.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::peers::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Each time limit is so much longer on sockets (PROTOCOL, 'The rules on sockets').
const SLACK: Duration = ms(50);
/// Timers are as coarse as this.
const GRAIN: Duration = ms(2);
/// After a client's close no attempt begins later than this (STANDING, with the terms that go beyond it).
const LEFT: Duration = ms(100);

/// How often what is to be tested came to pass.
#[derive(Default)]
pub struct Sums(BTreeMap<&'static str, usize>);

impl Sums {
    pub fn add(&mut self, plan: &Plan, seen: &Seen) {
        let mut count = |what: &'static str, n: usize| *self.0.entry(what).or_default() += n;
        let tries = |id: &str| seen.attempts.iter().filter(|a| a.id == id).count();
        count("answers", seen.requests.iter().filter(|r| r.answer.is_some()).count());
        count("repeats", seen.requests.iter().filter(|r| tries(&r.id) > 1).count());
        if plan.clients.iter().any(|c| c.leaves.is_some()) {
            count("clients that left", seen.requests.iter().filter(|r| r.left.is_some()).count());
        }
        if let Some(stop) = plan.stop {
            let open = |r: &&Request| {
                let came = r.whole.is_some_and(|at| at <= ms(stop.ms));
                came && r.answer.as_ref().is_some_and(|(at, ..)| *at > ms(stop.ms))
            };
            count("requests open at the stop", seen.requests.iter().filter(open).count());
        }
        if !plan.discovery.is_empty() {
            let told = seen.told.iter().flatten();
            count("words of the list", told.clone().filter(|t| t.written.is_some()).count());
            let late = |t: &&Told| t.written.is_none_or(|at| at > t.had + LEFT);
            count("words that came late", told.filter(late).count());
            let after = |a: &&Attempt| {
                seen.told[a.upstream].is_some_and(|t| t.written.is_some_and(|at| a.began > at))
            };
            count("sends in a grace", seen.attempts.iter().filter(after).count());
        }
    }

    pub fn all_came_to_pass(&self) {
        assert!(self.0.values().all(|n| *n >= 10), "too few of something: {:?}", self.0);
    }
}

/// What does not hold, if anything.
pub fn judge(plan: &Plan, seen: &Seen) -> Result<(), String> {
    for request in &seen.requests {
        let attempts: Vec<&Attempt> = seen.attempts.iter().filter(|a| a.id == request.id).collect();
        answered(plan, seen, request, &attempts)
            .and_then(|()| once(plan, request, &attempts))
            .and_then(|()| left(plan, request, &attempts))
            .map_err(|what| format!("{what}\n{request:?}\n{attempts:?}\n{:?}", seen.stopped))?;
    }
    for attempt in &seen.attempts {
        drained(plan, seen, attempt)?;
    }
    let stray = seen.stray.first();
    stray.map_or(Ok(()), |text| Err(format!("bytes that nobody asked for: {text}")))
}

fn check(holds: bool, what: &str) -> Result<(), String> {
    if holds { Ok(()) } else { Err(what.to_string()) }
}

/// One final answer, in time, and nothing after it.
fn answered(
    plan: &Plan,
    seen: &Seen,
    request: &Request,
    attempts: &[&Attempt],
) -> Result<(), String> {
    let far = ms(2 * plan.site.delay_ms);
    let Some(whole) = request.whole else { return Ok(()) };
    let Some((at, status, body)) = &request.answer else {
        if request.left.is_some() {
            return Ok(());
        }
        check(request.closed.is_some(), "never answered")?;
        check(attempts.is_empty(), "sent on, and lost")?;
        // Only what crosses with the end may be left unread.
        let ends = seen.stopped.is_some_and(|stop| whole + far >= stop);
        return check(ends, "lost while the balancer served");
    };
    // What was written behind another request has its time from that one's answer on.
    let due = whole.max(request.turn.unwrap_or_default()) + ms(plan.site.deadline_ms);
    check(*at <= due + SLACK + far, "answered too late")?;
    let began = |a: &&Attempt| a.began <= *at + GRAIN + far;
    check(attempts.iter().all(began), "sent on after its answer")?;
    let ran = attempts.iter().any(|a| a.whole.is_some() && a.never_ran.is_none());
    match status {
        200 => {
            let made =
                |a: &&Attempt| a.whole.is_some() && *body == format!("{}@{}", a.id, a.upstream);
            check(attempts.iter().any(made), "served with what nobody made for it")
        }
        429 | 503 => check(request.class == Class::Safe || !ran, "refused, and may have run"),
        502 | 504 => Ok(()),
        _ => Err(format!("answered {status}")),
    }
}

/// No effect twice, and no more attempts than the settings allow.
fn once(plan: &Plan, request: &Request, attempts: &[&Attempt]) -> Result<(), String> {
    let site = &plan.site;
    let whole: Vec<&&Attempt> = attempts.iter().filter(|a| a.whole.is_some()).collect();
    check(whole.len() <= site.max_attempts, "too many attempts")?;
    for (n, next) in whole.iter().enumerate() {
        let sent = next.whole.unwrap_or_default();
        for before in &whole[..n] {
            let out = before.over.is_none_or(|over| over > sent + GRAIN);
            check(site.hedging || !out, "two attempts at once")?;
            // What was turned away never ran; known only once that was written.
            if before.never_ran.is_some_and(|at| at <= sent + GRAIN) {
                continue;
            }
            match request.class {
                Class::Safe => {}
                Class::Unsafe => check(false, "sent again, and may have run")?,
                Class::Keyed => {
                    let cell = |a: &Attempt| plan.upstreams[a.upstream].cell;
                    check(cell(before) == cell(next), "sent again to another group")?;
                    let window = ms(site.window_ms) + SLACK + ms(2 * site.delay_ms);
                    let within = next.began <= before.began + window;
                    check(within, "sent again behind the window")?;
                }
            }
        }
    }
    Ok(())
}

/// Nothing begins for a client that has left.
fn left(plan: &Plan, request: &Request, attempts: &[&Attempt]) -> Result<(), String> {
    let Some(left) = request.left else { return Ok(()) };
    let last = left + LEFT + ms(2 * plan.site.delay_ms) + GRAIN;
    check(attempts.iter().all(|a| a.began <= last), "begun after its client left")
}

/// Nothing new goes to what drains or is gone, past the grace.
fn drained(plan: &Plan, seen: &Seen, attempt: &Attempt) -> Result<(), String> {
    let Some(told) = seen.told[attempt.upstream] else { return Ok(()) };
    let last = told.counts() + ms(plan.site.grace_ms) + SLACK + ms(2 * plan.site.delay_ms);
    check(attempt.began <= last, &format!("sent past the grace: {attempt:?} {told:?}"))
}
