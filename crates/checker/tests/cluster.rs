//! Contradictions, answers and times in force, on accounts written by hand.

use hollowpaddle_checker::cluster::{self, PolicyReport};
use hollowpaddle_scenario::plan::Plan;
use hollowpaddle_scenario::record::{At, CompletedRun, Line, Observation};
use hollowpaddle_scenario::scenario::{OperatorVerb, Scenario};
use serde_json::json;

/// Zones a and b alternate: nodes 0 and 2 are pod 0, 4 and 6 pod 2, 1 and 3 pod 1, 5 and 7 pod 3.
const DAY: &str = r#"
name = "by hand"
length_s = 40

[fleet]
zones = ["a", "b"]
nodes = 8
cell_size = 2

[[fleet.kinds]]
name = "std"

[balancers]
count = 3
peers = true

[[classes]]
name = "read"
work_ms = 100
aim_ms = 1000
deadline_ms = 2000
effect = "safe"

[load]
of_capacity = 0.2

[[bank]]
at_s = 5
does = "rollback"

[[faults]]
kind = "links-cut"
start_s = 20
length_s = 5
balancers = [2]
"#;

fn at(s: f64) -> At {
    At((s * 1e6) as u64)
}

struct TraceBuilder(Vec<(f64, Observation)>);

impl TraceBuilder {
    /// All run; revision 5 forbids pod 2.
    fn new() -> Self {
        let mut trace = Self(Vec::new());
        for balancer in 0..3 {
            trace.add(0.0, Observation::Started { balancer, start: 1 });
            trace.add(0.0, Observation::Ready { balancer, start: 1 });
        }
        trace.revision(0.5, (1, 0), json!({}));
        trace.revision(9.0, (1, 5), json!({"out": {"pods": [2]}}));
        trace
    }

    fn add(&mut self, s: f64, seen: Observation) -> &mut Self {
        self.0.push((s, seen));
        self
    }

    /// What a revision holds: its log, and its number there.
    fn revision(
        &mut self,
        s: f64,
        (epoch, number): (u32, u64),
        document: serde_json::Value,
    ) -> &mut Self {
        self.add(s, Observation::Revision { balancer: 0, start: 1, epoch, number, document })
    }

    fn status(
        &mut self,
        asked: f64,
        received: f64,
        balancer: usize,
        revision: u64,
        has_lease: bool,
    ) -> &mut Self {
        self.status_of(asked, received, balancer, (1, revision, None), has_lease, &[0])
    }

    fn status_of(
        &mut self,
        asked: f64,
        received: f64,
        balancer: usize,
        (epoch, revision, target): (u32, u64, Option<u64>),
        has_lease: bool,
        fallback_cells: &[u32],
    ) -> &mut Self {
        let newest = target.unwrap_or(revision).max(revision);
        let status = Observation::BalancerStatus {
            balancer,
            start: 1,
            asked: at(asked),
            revision,
            target: target,
            newest,
            has_lease: has_lease,
            unconfirmed: false,
            fallback_cells: fallback_cells.to_vec(),
            fallback_exceptions: Vec::new(),
            fallback_pending: false,
            leader: None,
            epoch,
        };
        self.add(received, status)
    }

    fn sends(&mut self, s: f64, balancer: usize, node: usize) -> &mut Self {
        let (attempt, request, start, dark, work_ms) = (0, 0, 1, false, 1.0);
        let first = at(s);
        self.add(
            s,
            Observation::Attempt { attempt, request, node, balancer, start, first, dark, work_ms },
        )
    }

    fn call(&mut self, s: f64, call: u32, verb: OperatorVerb, id: &str) -> &mut Self {
        let member = (verb == OperatorVerb::Dead).then_some(0);
        let id = Some(id.to_string());
        self.add(s, Observation::OperatorCall { call, tries: 0, balancer: 0, verb, id, member })
    }

    fn answer(&mut self, s: f64, call: u32, status: u16, number: Option<u64>) -> &mut Self {
        let (verb, in_force_everywhere) = (OperatorVerb::Revision, false);
        let (status, why, balancer) = (Some(status), None, 0);
        self.add(
            s,
            Observation::OperatorAnswer {
                call,
                balancer,
                verb,
                status,
                number,
                in_force_everywhere,
                why,
            },
        )
    }

    fn check(&mut self) -> PolicyReport {
        let scenario = Scenario::read("by-hand.toml", DAY).expect("sound");
        self.0.sort_by(|a, b| a.0.total_cmp(&b.0));
        let lines =
            self.0.iter().map(|(s, seen)| Line { at: at(*s), seen: seen.clone() }).collect();
        let plan = Plan::generate(&scenario, 1);
        let (began, resources) = (At(0), Vec::new());
        let played =
            CompletedRun { scenario, plan, trace: lines, began, resources, simulated: true };
        cluster::of(&played, 0.01).expect("there are acts")
    }
}

fn near(found: f64, expected: f64) -> bool {
    (found - expected).abs() < 1e-6
}

#[test]
fn a_send_contradicts_from_the_first_status_that_forbids_it() {
    let mut trace = TraceBuilder::new();
    trace.status(9.9, 10.0, 1, 5, true).sends(9.99, 0, 4).sends(12.0, 0, 4).sends(13.0, 0, 1);
    let report = trace.check();
    assert!(near(report.contradiction_s, 2.0), "{report:?}");
    assert_eq!((report.sends, report.contradicting, report.broken.len()), (2, 1, 0), "{report:?}");
    let report = trace.sends(13.1, 2, 6).check();
    assert!(near(report.contradiction_s, 3.1) && report.broken.len() == 1, "{report:?}");
    let longest = &report.contradictions[0];
    assert_eq!((longest.balancer, longest.node, longest.revision, longest.other), (2, 6, 5, 1));
    assert!(!longest.ahead);
}

#[test]
fn a_transition_forbids_what_either_revision_forbids() {
    let mut trace = TraceBuilder::new();
    let report =
        trace.status_of(9.9, 10.0, 1, (1, 0, Some(5)), true, &[0]).sends(10.5, 0, 4).check();
    assert!(near(report.contradiction_s, 0.5), "{report:?}");
    let mut trace = TraceBuilder::new();
    trace.revision(12.0, (1, 9), json!({})).status_of(11.9, 12.0, 1, (1, 5, Some(9)), true, &[0]);
    let report =
        trace.status_of(14.0, 14.1, 1, (1, 5, Some(9)), true, &[0]).sends(13.0, 0, 4).check();
    assert!(near(report.contradiction_s, 1.0), "{report:?}");
}

#[test]
fn a_send_contradicts_until_the_last_status_that_forbids_it() {
    let mut trace = TraceBuilder::new();
    trace.status(9.9, 10.0, 1, 5, true).status(24.0, 24.1, 1, 5, true);
    trace.call(19.9, 0, OperatorVerb::Revision, "a").answer(20.0, 0, 200, Some(9));
    trace.revision(20.2, (1, 9), json!({})).status(20.1, 20.2, 0, 9, true).sends(20.5, 0, 4);
    let report = trace.check();
    assert!(near(report.contradiction_s, 3.5) && report.contradictions[0].ahead, "{report:?}");
    // Before anybody had asked for it, it can only have stayed behind.
    let report = trace.sends(19.0, 2, 4).check();
    assert!(near(report.contradiction_s, 9.0) && !report.contradictions[0].ahead, "{report:?}");
}

#[test]
fn a_send_does_not_contradict_once_all_balancers_allow_it() {
    let mut trace = TraceBuilder::new();
    trace.status(9.9, 10.0, 1, 5, true).status(20.3, 20.4, 1, 9, true);
    trace.revision(20.2, (1, 9), json!({}));
    trace
        .call(19.9, 0, OperatorVerb::Revision, "a")
        .answer(20.0, 0, 200, Some(9))
        .sends(30.0, 0, 4);
    let report = trace.check();
    assert_eq!((report.contradicting, report.sends), (0, 1), "{report:?}");
}

#[test]
fn inconclusive_evidence_is_ignored() {
    let contradicting = |change: &dyn Fn(&mut TraceBuilder)| {
        let mut trace = TraceBuilder::new();
        change(&mut trace);
        trace.sends(15.0, 0, 4).check().contradicting
    };
    let plain = |a: &mut TraceBuilder| {
        a.status(9.9, 10.0, 1, 5, true);
    };
    assert_eq!(contradicting(&plain), 1);
    // Without a lease it acts on the charter; and what that allows no revision forbids.
    assert_eq!(
        contradicting(&|a| {
            a.status(9.9, 10.0, 1, 5, false);
        }),
        0
    );
    assert_eq!(
        contradicting(&|a| {
            a.status_of(9.9, 10.0, 1, (1, 5, None), true, &[0, 2]);
        }),
        0
    );
    // Frozen between the question and the answer: nobody knows of which moment it tells.
    let frozen = |a: &mut TraceBuilder| {
        a.add(9.95, Observation::Paused { balancer: 1, start: 1 })
            .add(9.99, Observation::Resumed { balancer: 1, start: 1 });
        plain(a);
    };
    assert_eq!(contradicting(&frozen), 0);
    // Operators said that it is dead.
    let dead = |a: &mut TraceBuilder| {
        plain(a);
        a.call(12.0, 0, OperatorVerb::Dead, "d");
    };
    assert_eq!(contradicting(&dead), 0);
    // The log was founded anew without that revision.
    let new_log = |a: &mut TraceBuilder| {
        plain(a);
        a.revision(14.0, (2, 0), json!({})).status_of(13.9, 14.0, 1, (2, 0, None), true, &[0]);
    };
    assert_eq!(contradicting(&new_log), 0);
}

#[test]
fn an_in_force_everywhere_answer_counts_for_all_balancers() {
    let mut trace = TraceBuilder::new();
    trace.call(9.0, 0, OperatorVerb::Revision, "a");
    let (verb, status, number, in_force_everywhere, why) =
        (OperatorVerb::Revision, Some(200), Some(5), true, None);
    trace.add(
        10.0,
        Observation::OperatorAnswer {
            call: 0,
            balancer: 0,
            verb,
            status,
            number,
            in_force_everywhere,
            why,
        },
    );
    trace.status(9.0, 9.1, 0, 0, true).status(10.5, 10.6, 0, 5, true).sends(14.0, 2, 4);
    let report = trace.check();
    assert!(near(report.contradiction_s, 4.0) && report.broken.len() == 1, "{report:?}");
}

#[test]
fn answers_are_unique_and_committed_revisions_are_not_lost() {
    let mut trace = TraceBuilder::new();
    trace.call(5.0, 0, OperatorVerb::Revision, "a").answer(5.1, 0, 200, Some(5));
    trace.status(6.0, 6.1, 0, 5, true);
    assert_eq!(trace.check().broken, Vec::<String>::new());
    trace.call(7.0, 1, OperatorVerb::Revision, "b").answer(7.1, 1, 200, Some(5));
    let broken = trace.check().broken;
    assert!(broken.len() == 1 && broken[0].contains("to 2 questions"), "{broken:?}");
    trace.0.retain(|(s, _)| *s < 7.0);
    trace.call(7.0, 1, OperatorVerb::Revision, "a").answer(7.1, 1, 409, None);
    let broken = trace.check().broken;
    assert!(broken.len() == 1 && broken[0].contains("in 2 ways"), "{broken:?}");
    trace.0.retain(|(s, _)| *s < 7.0);
    trace
        .call(7.0, 1, OperatorVerb::Revision, "c")
        .answer(7.1, 1, 200, Some(9))
        .status(30.0, 30.1, 0, 5, true);
    let broken = trace.check().broken;
    assert!(broken.len() == 1 && broken[0].contains("revision 9 was granted"), "{broken:?}");
    trace.0.retain(|(s, _)| *s < 7.0);
    trace.revision(8.0, (1, 5), json!({"out": {"pods": [2]}})).revision(
        9.0,
        (1, 5),
        json!({"out": {"pods": [3]}}),
    );
    let broken = trace.check().broken;
    assert!(broken.len() == 1 && broken[0].contains("two contents"), "{broken:?}");
}

#[test]
fn a_committed_revision_may_be_lost_if_no_balancer_that_knew_it_was_reachable() {
    let mut trace = TraceBuilder::new();
    trace
        .call(5.0, 0, OperatorVerb::Revision, "a")
        .answer(5.1, 0, 200, Some(5))
        .status(6.0, 6.1, 0, 5, true);
    trace.status_of(20.0, 20.1, 1, (2, 0, None), true, &[0]).status_of(
        21.0,
        21.1,
        0,
        (2, 0, None),
        true,
        &[0],
    );
    let report = trace.check();
    assert_eq!((report.broken.len(), report.unrecoverable, report.logs), (1, 0, 2), "{report:?}");
    trace.add(15.0, Observation::Killed { balancer: 0, start: 1 });
    let report = trace.check();
    assert_eq!((report.broken.len(), report.unrecoverable), (0, 1), "{report:?}");
}

#[test]
fn in_force_times_count_only_healthy_balancers() {
    let mut trace = TraceBuilder::new();
    trace.call(19.9, 0, OperatorVerb::Revision, "a").answer(20.0, 0, 200, Some(5));
    trace
        .status(20.2, 20.3, 0, 5, true)
        .status(20.2, 20.4, 1, 5, false)
        .status(20.5, 20.6, 1, 5, true);
    let report = trace.check();
    let change = &report.in_force_s.changes[0];
    assert_eq!((change.excused, change.missing, change.in_force_99_s), (0, 1, None), "{report:?}");
    assert!(near(report.in_force_s.at_all, 0.6), "{report:?}");
    // Cut off when it could have been told.
    trace
        .add(20.0, Observation::Fault { fault: 0, begins: true })
        .add(25.0, Observation::Fault { fault: 0, begins: false });
    let report = trace.status(26.0, 26.1, 2, 5, true).check();
    let change = &report.in_force_s.changes[0];
    assert_eq!((change.excused, change.missing), (1, 0), "{report:?}");
    assert!(near(report.in_force_s.at_99, 0.6), "{report:?}");
    let sample = report.over_time.iter().find(|m| near(m.at_s, 20.5)).expect("a sample");
    assert!(near(sample.newest, 1.0 / 3.0) && near(sample.leased, 1.0 / 3.0), "{sample:?}");
}
