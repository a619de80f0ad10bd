//! The report on a run: a table for readers, and JSON for programs.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use crate::cluster::{self, PolicyReport};
use crate::recovery::{RecoveryReport, compare_with_control};
use crate::{
    CheckResult, Finding, Floor, Service, SessionReport, TimingTolerance, Violation, check,
};
use hollowpaddle_scenario::record::{CompletedRun, Line, Observation, Resources, digest};
use hollowpaddle_scenario::scenario::Expect;

/// Version of the JSON form. It changes when a field changes its name or meaning, and not when a field is added.
pub const VERSION: u32 = 1;
/// Largest number of findings, and of other items, in the table. JSON has all of them.
const MAX_PRINTED: usize = 10;
/// Largest number of history lines of a finding in the table.
const MAX_HISTORY_LINES: usize = 24;

/// Report on one run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// [`VERSION`].
    pub version: u32,
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the plan.
    pub seed: u64,
    /// `live` or `virtual`.
    pub mode: &'static str,
    /// SHA-256 of the plan. It is the same for the same scenario and seed, in either mode.
    pub plan_digest: String,
    /// SHA-256 of the trace. In virtual time it is the same for the same build, scenario and seed.
    pub trace_digest: String,
    /// Length of the scenario, in seconds.
    pub length_s: f64,
    /// Number of balancers and of nodes at the start.
    pub size: (usize, usize),
    /// Tolerance of time limits, in milliseconds.
    pub slack_ms: f64,
    /// Service of clients.
    pub service: Service,
    /// Number of violations, by the name of the violation.
    #[serde(rename = "breaches")]
    pub violations: BTreeMap<&'static str, usize>,
    /// All violations, each with its whole history.
    pub findings: Vec<Finding>,
    /// Peak resource usage of each balancer, where it is known.
    pub resources: Vec<Option<Resources>>,
    /// Nodes that failed under too much work while they were warming up, whatever the cause.
    #[serde(rename = "tipped")]
    pub overloaded_nodes: Vec<usize>,
    /// Floors of the service, met or missed.
    pub floors: Vec<Floor>,
    /// Figures of user sessions, for scenarios with sessions.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub sessions: Option<SessionReport>,
    /// Figures of the routing policy, for scenarios with policy actions.
    #[serde(rename = "bank", skip_serializing_if = "Option::is_none")]
    pub policy: Option<PolicyReport>,
    /// Comparison with the control run; `None` without one.
    #[serde(rename = "account")]
    pub recovery: Option<RecoveryReport>,
}

impl Report {
    /// Checks a run, and reports on it.
    pub fn of(played: &CompletedRun) -> Self {
        let scenario = &played.scenario;
        let tolerance = if played.simulated {
            TimingTolerance::simulated(scenario)
        } else {
            TimingTolerance::LIVE
        };
        let CheckResult { findings, service, floors, sessions } =
            check(scenario, &played.plan, &played.trace, tolerance);
        let mut violations = BTreeMap::new();
        for finding in &findings {
            *violations.entry(finding.violation.name()).or_insert(0) += 1;
        }
        let overloaded = |l: &Line| match l.seen {
            Observation::Overloaded { node } => Some(node),
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
            size: (scenario.cluster.count, scenario.fleet.nodes),
            slack_ms: tolerance.slack.as_secs_f64() * 1e3,
            service,
            violations,
            findings,
            resources: played.resources.clone(),
            overloaded_nodes: played.trace.iter().filter_map(overloaded).collect(),
            floors,
            sessions,
            policy: cluster::of(played, tolerance.slack.as_secs_f64()),
            recovery: None,
        }
    }

    /// Checks a run, and reports on it with a comparison with its control run, which has the same plan without faults.
    pub fn with_control(played: &CompletedRun, control_run: &CompletedRun) -> Self {
        let report = Self::of(played);
        let control_service = Self::of(control_run).service.overall;
        let mut recovery =
            compare_with_control(played, control_run, report.service.overall, control_service);
        if let Some(sessions) = &report.sessions {
            recovery
                .missed_expectations
                .extend(missed_session_expectations(&played.scenario.expect, sessions));
        }
        if let Some(policy) = &report.policy {
            recovery
                .missed_expectations
                .extend(cluster::missed_expectations(&played.scenario.expect, policy));
        }
        Self { recovery: Some(recovery), ..report }
    }

    /// Returns the expectations of the scenario that the run missed.
    pub fn missed_expectations(&self) -> &[String] {
        self.recovery.as_ref().map_or(&[], |a| &a.missed_expectations)
    }

    /// Returns the floors that were missed.
    pub fn missed_floors(&self) -> impl Iterator<Item = &Floor> {
        self.floors.iter().filter(|f| f.is_missed())
    }

    /// Returns whether the run has no violations.
    pub fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns whether the cluster kept the guarantees of its routing policy.
    pub fn policy_is_clean(&self) -> bool {
        self.policy.as_ref().is_none_or(|policy| policy.broken.is_empty())
    }

    /// Returns whether the run has a violation of this kind.
    pub fn has(&self, violation: Violation) -> bool {
        self.violations.contains_key(violation.name())
    }

    /// Formats the report as a table for readers.
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
            s.overall, s.worst_window, s.worst_window_start_s, s.worst_class
        )?;
        writeln!(
            out,
            "{}  {:.1} s a mark, ▁ none to █ all",
            sparkline(&s.over_time),
            s.interval_s
        )?;
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
                n.requests,
                n.in_time,
                n.late,
                n.refused,
                n.failed,
                n.unanswered + n.unreachable,
                n.abandoned,
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
            n.attempts as f64 / (n.requests.max(1)) as f64,
            n.rejected_attempts,
            self.overloaded_nodes.len()
        )?;
        for floor in self.missed_floors() {
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
        if let Some(policy) = &self.policy {
            write_policy(policy, out)?;
        }
        if let Some(recovery) = &self.recovery {
            write_recovery(recovery, out)?;
        }
        if self.is_clean() {
            return writeln!(out, "\nno rule broken");
        }
        let kinds: Vec<String> = self.violations.iter().map(|(n, c)| format!("{n} {c}")).collect();
        writeln!(out, "\nRULES BROKEN: {}", kinds.join(", "))?;
        for finding in self.findings.iter().take(MAX_PRINTED) {
            writeln!(
                out,
                "\nrule {} {} at {:.3} s: {}",
                finding.violation.rule(),
                finding.violation.name(),
                finding.at.0 as f64 / 1e6,
                finding.what
            )?;
            for line in finding.history.iter().take(MAX_HISTORY_LINES) {
                let seen = serde_json::to_string(&line.seen).unwrap_or_default();
                writeln!(out, "  {:>10.3}  {seen}", line.at.0 as f64 / 1e6)?;
            }
            if finding.history.len() > MAX_HISTORY_LINES {
                writeln!(out, "  ... and {} more", finding.history.len() - MAX_HISTORY_LINES)?;
            }
        }
        if self.findings.len() > MAX_PRINTED {
            writeln!(out, "\n... and {} more; --json has all", self.findings.len() - MAX_PRINTED)?;
        }
        Ok(())
    }
}

/// Returns a message for each expectation about user sessions that was missed.
fn missed_session_expectations(expect: &Expect, sessions: &SessionReport) -> Vec<String> {
    let mut missed_expectations = Vec::new();
    if let Some(most) = expect.ran_twice.filter(|most| sessions.ran_twice > *most) {
        let (twice, all) = (sessions.ran_twice, sessions.effects);
        missed_expectations.push(format!(
            "{twice} of {all} keyed effects ran in more than one pod; at most {most} expected"
        ));
    }
    if let Some(least) = expect.in_previous_cell.filter(|least| sessions.in_previous_cell < *least)
    {
        let share = sessions.in_previous_cell;
        missed_expectations
            .push(format!("vans at their pod: {share:.3} of runs; at least {least:.3} expected"));
    }
    missed_expectations
}

/// Writes the figures of user sessions.
fn write_sessions(s: &SessionReport, out: &mut String) -> std::fmt::Result {
    writeln!(
        out,
        "\nvans: {} moved; {} of {} keyed effects ran in more than one pod; at their pod {:.3} of {} runs, as \
         strangers {}",
        s.moved, s.ran_twice, s.effects, s.in_previous_cell, s.runs, s.in_unknown_cells
    )?;
    for duplicate in s.duplicates.iter().take(MAX_PRINTED) {
        let run = |r: &crate::EffectRun| {
            format!(
                "node {} of pod {} by n{} at {:.3} s",
                r.node,
                r.cell,
                r.balancer,
                r.at.0 as f64 / 1e6
            )
        };
        let runs: Vec<String> = duplicate.runs.iter().map(run).collect();
        writeln!(out, "  the effect of request {}: {}", duplicate.original, runs.join("; "))?;
    }
    Ok(())
}

/// Writes the figures of the routing policy.
fn write_policy(p: &PolicyReport, out: &mut String) -> std::fmt::Result {
    let f = &p.in_force_s;
    writeln!(
        out,
        "\nrule book: {} revisions granted, {} questions refused, {} unanswered, {} calls",
        p.changes, p.refused, p.unanswered, p.calls
    )?;
    writeln!(
        out,
        "longest contradiction {:.3} s ({:.1} s at most); {} of {} sends to what a revision forbids contradict",
        p.contradiction_s, p.bound_s, p.contradicting, p.sends
    )?;
    for contradiction in p.contradictions.iter().take(3) {
        writeln!(out, "  {:.3} s: {contradiction}", contradiction.duration_s)?;
    }
    writeln!(
        out,
        "from yes to in force: 99 % {:.3} s, all {:.3} s at most, {:.3} s in the middle",
        f.at_99, f.at_all, f.median
    )?;
    for c in f.changes.iter().take(MAX_PRINTED) {
        let s = |s: Option<f64>| s.map_or("-".to_string(), |s| format!("{s:.3}"));
        let over = if c.superseded { ", a newer one came first" } else { "" };
        writeln!(
            out,
            "  revision {} at {:.3} s: 99 % {} s, all {} s, {} excused, {} not seen{over}",
            c.revision,
            c.at_s,
            s(c.in_force_99_s),
            s(c.in_force_all_s),
            c.excused,
            c.missing
        )?;
    }
    if p.logs > 1 {
        writeln!(
            out,
            "{} logs: a majority of the council had forgotten; {} yeses gone, which nobody could be asked for",
            p.logs, p.unrecoverable
        )?;
    }
    for broken in &p.broken {
        writeln!(out, "PROMISE BROKEN: {broken}")?;
    }
    Ok(())
}

/// Writes the comparison with the control run.
fn write_recovery(recovery: &RecoveryReport, out: &mut String) -> std::fmt::Result {
    let seconds = |s: Option<f64>| s.map_or("-".to_string(), |s| format!("{s:.1}"));
    writeln!(
        out,
        "\nagainst the same day without its faults: service {:.3}",
        recovery.control_service
    )?;
    for e in &recovery.episodes {
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
    for r in &recovery.stampede {
        write!(out, "{:<12}{:>9}{:>9.1}", r.kind, r.all.peak, r.all.at_s)?;
        write!(out, "{:>9}{:>9.1}", r.all.control_p99, r.all.times)?;
        match r.busiest {
            Some(b) => writeln!(out, "{:>12}{:>9}{:>9.1}", b.peak, b.control_p99, b.times)?,
            None => writeln!(out)?,
        }
    }
    let (run, control) = (recovery.contention, recovery.control_contention);
    writeln!(
        out,
        "crowd: {} of {} refusals beside an idle node, {:.3} of what was sent (twin {:.3})",
        run.beside_idle, run.refused, run.share, control.share
    )?;
    let stale = |s: crate::recovery::StaleSends| {
        format!("{} by {} balancers, oldest {:.0} ms", s.sends, s.balancers, s.oldest_ms)
    };
    writeln!(
        out,
        "stale sends: {}; to what only the list knew: {}",
        stale(recovery.stale.informed),
        stale(recovery.stale.uninformed)
    )?;
    for missed in &recovery.missed_expectations {
        writeln!(out, "EXPECTED: {missed}")?;
    }
    Ok(())
}

/// Draws values from 0 to 1 as a row of bars.
fn sparkline(points: &[Option<f64>]) -> String {
    const BARS: [char; 8] = ['▁', '▂', '▃', '▄', '▅', '▆', '▇', '█'];
    let bar = |p: &Option<f64>| p.map_or(' ', |x| BARS[((x * 8.0) as usize).min(BARS.len() - 1)]);
    points.iter().map(bar).collect()
}
