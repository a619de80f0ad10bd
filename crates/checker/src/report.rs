//! What is told of a run: a table for people, and JSON for machines.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use crate::cluster::{self, Bank};
use crate::fleet::{RecoveryReport, account};
use crate::{Exactness, Finding, Floor, Service, Sessions, Verdict, Violation, judge};
use hollowpaddle_scenario::record::{Line, Observation, Played, Resources, digest};
use hollowpaddle_scenario::scenario::Expect;

/// Version of the JSON form. It changes when a field changes its name or meaning, not when one is added.
pub const VERSION: u32 = 1;
/// Broken rules that are told in full on paper; JSON has all of them.
const TOLD: usize = 10;
/// Lines of a history that are told on paper.
const HISTORY: usize = 24;

/// All that is told of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// [`VERSION`].
    pub version: u32,
    /// The scenario's name.
    pub scenario: String,
    /// What the plan was drawn from.
    pub seed: u64,
    /// `live` or `virtual`.
    pub mode: &'static str,
    /// SHA-256 of the plan: the same scenario and seed have the same, in either mode.
    pub plan_digest: String,
    /// SHA-256 of the account: in virtual time the same build has the same.
    pub trace_digest: String,
    /// Length of the run, in seconds.
    pub length_s: f64,
    /// Balancers and nodes at the start.
    pub size: (usize, usize),
    /// Limits of time were taken so much longer, in milliseconds.
    pub slack_ms: f64,
    /// How clients were served.
    pub service: Service,
    /// How often each rule was broken, by name.
    pub breaches: BTreeMap<&'static str, usize>,
    /// Every broken rule with its whole history.
    pub findings: Vec<Finding>,
    /// The most that each balancer used, where that is known.
    pub resources: Vec<Option<Resources>>,
    /// Cold nodes that fell over, whoever pushed them.
    pub tipped: Vec<usize>,
    /// What had to be served at least, and was or was not.
    pub floors: Vec<Floor>,
    /// How vans fared, on a day that has some.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub sessions: Option<Sessions>,
    /// What came of the bank's rule book, on a day with acts on it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub bank: Option<Bank>,
    /// How the bank came through its faults, where its twin was played too.
    pub account: Option<RecoveryReport>,
}

impl Report {
    /// Judges a run, and sums it up.
    pub fn of(played: &Played) -> Self {
        let scenario = &played.scenario;
        let exact = if played.simulated { Exactness::simulated(scenario) } else { Exactness::LIVE };
        let Verdict { findings, service, floors, sessions } =
            judge(scenario, &played.plan, &played.trace, exact);
        let mut breaches = BTreeMap::new();
        for finding in &findings {
            *breaches.entry(finding.violation.name()).or_insert(0) += 1;
        }
        let tipped = |l: &Line| match l.seen {
            Observation::Tipped { node } => Some(node),
            _ => None,
        };
        Self {
            version: VERSION,
            scenario: scenario.name.clone(),
            seed: played.plan.seed,
            mode: if played.simulated { "virtual" } else { "live" },
            plan_digest: played.plan.digest(),
            trace_digest: digest(&played.trace),
            length_s: scenario.length.as_secs_f64(),
            size: (scenario.bank.count, scenario.fleet.nodes),
            slack_ms: exact.slack.as_secs_f64() * 1e3,
            service,
            breaches,
            findings,
            resources: played.resources.clone(),
            tipped: played.trace.iter().filter_map(tipped).collect(),
            floors,
            sessions,
            bank: cluster::of(played, exact.slack.as_secs_f64()),
            account: None,
        }
    }

    /// The same, and how the bank came through its faults: against the same plan played without them.
    pub fn with_control(played: &Played, control_run: &Played) -> Self {
        let report = Self::of(played);
        let control_service = Self::of(control_run).service.whole;
        let mut account = account(played, control_run, report.service.whole, control_service);
        if let Some(sessions) = &report.sessions {
            account.missed.extend(missed_of_vans(&played.scenario.expect, sessions));
        }
        if let Some(bank) = &report.bank {
            account.missed.extend(cluster::missed(&played.scenario.expect, bank));
        }
        Self { account: Some(account), ..report }
    }

    /// What the scenario expects and the run did not show.
    pub fn missed(&self) -> &[String] {
        self.account.as_ref().map_or(&[], |a| &a.missed)
    }

    /// The floors that were missed.
    pub fn under(&self) -> impl Iterator<Item = &Floor> {
        self.floors.iter().filter(|f| f.is_missed())
    }

    /// Whether no rule was broken.
    pub fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }

    /// Whether the bank kept what it promises of its rule book.
    pub fn bank_is_clean(&self) -> bool {
        self.bank.as_ref().is_none_or(|bank| bank.broken.is_empty())
    }

    /// Whether this one was broken.
    pub fn has(&self, violation: Violation) -> bool {
        self.breaches.contains_key(violation.name())
    }

    /// For people.
    pub fn text(&self) -> String {
        let mut out = String::new();
        // Writing to a string cannot fail.
        let _ = self.write(&mut out);
        out
    }

    fn write(&self, out: &mut String) -> std::fmt::Result {
        let (balancers, nodes) = self.size;
        let s = &self.service;
        writeln!(
            out,
            "{}, seed {}, {}: {} balancers, {} nodes, {:.0} s",
            self.scenario, self.seed, self.mode, balancers, nodes, self.length_s
        )?;
        writeln!(out, "plan {}  trace {}", &self.plan_digest[..16], &self.trace_digest[..16])?;
        writeln!(
            out,
            "\nservice {:.3}   worst 10 s {:.3} (from {} s)   worst class {:.3}",
            s.whole, s.worst_stretch, s.worst_stretch_at_s, s.worst_class
        )?;
        writeln!(out, "{}  {:.1} s a mark, ▁ none to █ all", sparkline(&s.over_time), s.part_s)?;
        writeln!(
            out,
            "\n{:<16}{:>8}{:>8}{:>7}{:>8}{:>7}{:>6}{:>7}{:>9}{:>8}{:>8}{:>8}",
            "class",
            "asked",
            "in time",
            "late",
            "refused",
            "failed",
            "none",
            "left",
            "service",
            "p50 ms",
            "p99",
            "most"
        )?;
        for c in &s.classes {
            let n = &c.counts;
            let ms = |i: usize| c.latency_ms.map_or("-".to_string(), |l| format!("{:.0}", l[i]));
            writeln!(
                out,
                "{:<16}{:>8}{:>8}{:>7}{:>8}{:>7}{:>6}{:>7}{:>9.3}{:>8}{:>8}{:>8}",
                c.name,
                n.asked,
                n.in_time,
                n.late,
                n.refused,
                n.failed,
                n.unanswered + n.unreachable,
                n.left,
                c.service,
                ms(0),
                ms(2),
                ms(4)
            )?;
        }
        let n = &s.counts;
        writeln!(
            out,
            "repeats {}, attempts {} ({:.3} a request), turned away {}, cold nodes fallen over {}",
            n.repeats,
            n.attempts,
            n.attempts as f64 / (n.asked.max(1)) as f64,
            n.turned_away,
            self.tipped.len()
        )?;
        for floor in self.under() {
            writeln!(out, "UNDER ITS FLOOR {}", floor.text())?;
        }
        for (i, used) in self.resources.iter().enumerate() {
            if let Some(r) = used {
                let (mib, cpu) = (r.memory_kib as f64 / 1024.0, r.cpu_ms as f64 / 1e3);
                let fds = r.descriptors;
                writeln!(out, "n{i}: memory {mib:.1} MiB, descriptors {fds}, cpu {cpu:.2} s")?;
            }
        }
        if let Some(sessions) = &self.sessions {
            write_sessions(sessions, out)?;
        }
        if let Some(bank) = &self.bank {
            write_bank(bank, out)?;
        }
        if let Some(account) = &self.account {
            write_account(account, out)?;
        }
        if self.is_clean() {
            return writeln!(out, "\nno rule broken");
        }
        let kinds: Vec<String> = self.breaches.iter().map(|(n, c)| format!("{n} {c}")).collect();
        writeln!(out, "\nRULES BROKEN: {}", kinds.join(", "))?;
        for finding in self.findings.iter().take(TOLD) {
            writeln!(
                out,
                "\nrule {} {} at {:.3} s: {}",
                finding.violation.rule(),
                finding.violation.name(),
                finding.at.0 as f64 / 1e6,
                finding.what
            )?;
            for line in finding.history.iter().take(HISTORY) {
                let seen = serde_json::to_string(&line.seen).unwrap_or_default();
                writeln!(out, "  {:>10.3}  {seen}", line.at.0 as f64 / 1e6)?;
            }
            if finding.history.len() > HISTORY {
                writeln!(out, "  ... and {} more", finding.history.len() - HISTORY)?;
            }
        }
        if self.findings.len() > TOLD {
            writeln!(out, "\n... and {} more; --json has all", self.findings.len() - TOLD)?;
        }
        Ok(())
    }
}

/// What was expected of vans and not shown, a line each.
fn missed_of_vans(expect: &Expect, sessions: &Sessions) -> Vec<String> {
    let mut missed = Vec::new();
    if let Some(most) = expect.ran_twice.filter(|most| sessions.ran_twice > *most) {
        let (twice, all) = (sessions.ran_twice, sessions.effects);
        missed.push(format!(
            "{twice} of {all} keyed effects ran in more than one pod; at most {most} expected"
        ));
    }
    if let Some(least) = expect.at_their_pod.filter(|least| sessions.at_their_pod < *least) {
        let share = sessions.at_their_pod;
        missed.push(format!("vans at their pod: {share:.3} of runs; at least {least:.3} expected"));
    }
    missed
}

fn write_sessions(s: &Sessions, out: &mut String) -> std::fmt::Result {
    writeln!(
        out,
        "\nvans: {} moved; {} of {} keyed effects ran in more than one pod; at their pod {:.3} of {} runs, as \
         strangers {}",
        s.moved, s.ran_twice, s.effects, s.at_their_pod, s.runs, s.as_strangers
    )?;
    for twice in s.twice.iter().take(TOLD) {
        let run = |r: &crate::Run| {
            format!(
                "node {} of pod {} by n{} at {:.3} s",
                r.node,
                r.pod,
                r.balancer,
                r.at.0 as f64 / 1e6
            )
        };
        let runs: Vec<String> = twice.runs.iter().map(run).collect();
        writeln!(out, "  the effect of request {}: {}", twice.first, runs.join("; "))?;
    }
    Ok(())
}

fn write_bank(b: &Bank, out: &mut String) -> std::fmt::Result {
    let f = &b.in_force_s;
    writeln!(
        out,
        "\nrule book: {} revisions granted, {} questions refused, {} unanswered, {} calls",
        b.changes, b.refused, b.unanswered, b.calls
    )?;
    writeln!(
        out,
        "longest contradiction {:.3} s ({:.1} s at most); {} of {} sends to what a revision forbids contradict",
        b.contradiction_s, b.bound_s, b.contradicting, b.sends
    )?;
    for contradiction in b.contradictions.iter().take(3) {
        writeln!(out, "  {:.3} s: {contradiction}", contradiction.for_s)?;
    }
    writeln!(
        out,
        "from yes to in force: 99 % {:.3} s, all {:.3} s at most, {:.3} s in the middle",
        f.at_99, f.at_all, f.median
    )?;
    for c in f.changes.iter().take(TOLD) {
        let s = |s: Option<f64>| s.map_or("-".to_string(), |s| format!("{s:.3}"));
        let over = if c.superseded { ", a newer one came first" } else { "" };
        writeln!(
            out,
            "  revision {} at {:.3} s: 99 % {} s, all {} s, {} excused, {} not seen{over}",
            c.revision,
            c.at_s,
            s(c.most_s),
            s(c.all_s),
            c.excused,
            c.missing
        )?;
    }
    if b.logs > 1 {
        writeln!(
            out,
            "{} logs: a majority of the council had forgotten; {} yeses gone, which nobody could be asked for",
            b.logs, b.forgotten
        )?;
    }
    for broken in &b.broken {
        writeln!(out, "PROMISE BROKEN: {broken}")?;
    }
    Ok(())
}

fn write_account(account: &RecoveryReport, out: &mut String) -> std::fmt::Result {
    let seconds = |s: Option<f64>| s.map_or("-".to_string(), |s| format!("{s:.1}"));
    writeln!(
        out,
        "\nagainst the same day without its faults: service {:.3}",
        account.control_service
    )?;
    for e in &account.episodes {
        let full = match e.full_service_s {
            Some(s) => format!("full service {s:.1} s after that"),
            None => format!("no full service in {:.1} s", e.watched_s),
        };
        writeln!(
            out,
            "{} from {:.1} s: all up at {} s, {full}; lowest {:.3} against {:.3}, {:.2} s of full load lost",
            e.faults.join(", "),
            e.from_s,
            seconds(e.up_s),
            e.lowest,
            e.lowest_of_control,
            e.lost_s
        )?;
    }
    writeln!(
        out,
        "{:<12}{:>9}{:>9}{:>9}{:>9}{:>12}{:>9}{:>9}",
        "stampede", "worst 1 s", "at s", "twin p99", "times", "busiest one", "twin p99", "times"
    )?;
    for r in &account.stampede {
        write!(out, "{:<12}{:>9}{:>9.1}", r.what, r.all.peak, r.all.at_s)?;
        write!(out, "{:>9}{:>9.1}", r.all.control_run, r.all.times)?;
        match r.busiest {
            Some(b) => writeln!(out, "{:>12}{:>9}{:>9.1}", b.peak, b.control_run, b.times)?,
            None => writeln!(out)?,
        }
    }
    let (c, t) = (account.contention, account.control_contention);
    writeln!(
        out,
        "crowd: {} of {} refusals beside an idle node, {:.3} of what was sent (twin {:.3})",
        c.beside_idle, c.refused, c.share, t.share
    )?;
    let stale = |s: crate::fleet::StaleSends| {
        format!("{} by {} balancers, oldest {:.0} ms", s.sends, s.balancers, s.oldest_ms)
    };
    writeln!(
        out,
        "stale sends: {}; to what only the list knew: {}",
        stale(account.stale.told),
        stale(account.stale.untold)
    )?;
    for missed in &account.missed {
        writeln!(out, "EXPECTED: {missed}")?;
    }
    Ok(())
}

fn sparkline(points: &[Option<f64>]) -> String {
    const BARS: [char; 8] = ['▁', '▂', '▃', '▄', '▅', '▆', '▇', '█'];
    let bar = |p: &Option<f64>| p.map_or(' ', |x| BARS[((x * 8.0) as usize).min(BARS.len() - 1)]);
    points.iter().map(bar).collect()
}
