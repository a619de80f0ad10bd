//! User sessions with the stand-ins: the cost of an unknown session for a cell, deduplication of
//! repeats, and whole scenarios with a scripted cluster.

mod scripted;

use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_rehearsal::node::Node;
use hollowpaddle_rehearsal::plan::Plan;
use hollowpaddle_rehearsal::record::{AttemptOutcome, Observation};
use hollowpaddle_rehearsal::report::Report;
use hollowpaddle_rehearsal::run::run_plan_virtual;
use hollowpaddle_rehearsal::run_context::{Host, RunContext, Testbed};
use hollowpaddle_rehearsal::scenario::Scenario;
use hollowpaddle_rehearsal::wire::{Direction, Exchange};
use scripted::{Fault, Scripted};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

const SCENARIO: &str = r#"
name = "vans"
length_s = 12

[fleet]
zones = ["bilbao", "oviedo"]
nodes = 8
cell_size = 2
same_zone_ms = 0
cross_zone_ms = 3

[[fleet.kinds]]
name = "std"
speed_cv = 0.0
cores = 2
slots = 40
queue = 20
handshake_ms = 0
connections = 400

[balancers]
count = 4

[[classes]]
name = "delivery-log"
work_ms = 40
work_cv = 0.0
aim_ms = 900
deadline_ms = 1500
effect = "keyed"
window_ms = 3000

[load]
of_capacity = 0.3

[vans]
count = 80
stranger_work_ms = 25
forgotten_s = 5
move_share = 0.5
moves_at_s = 3
moves_over_s = 6
again_share = 1
again_within_ms = 2000
again_after_ms = 200

[expect]
ran_twice = 0
"#;

fn scenario(text: &str) -> Scenario {
    Scenario::read("vans.toml", text).unwrap_or_else(|e| panic!("{e}"))
}

fn run_scenario(text: &str) -> Report {
    let scenario = scenario(text);
    let plan = Plan::generate(&scenario, 2);
    let of = |plan| {
        run_plan_virtual(&scenario, plan, Rc::new(Scripted(Fault::None)))
            .expect("the run completes")
    };
    Report::with_control(&of(plan.clone()), &of(plan.control_run()))
}

#[test]
fn a_cell_works_more_for_an_unknown_session_and_drops_repeats() {
    let scenario = scenario(SCENARIO);
    let plan = Plan::generate(&scenario, 1);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let testbed = Testbed::simulated(&scenario, &plan);
        let context = RunContext::new(scenario, plan, testbed);
        let nodes: Vec<_> = (0..8).map(|n| Node::new(&context, n)).collect();
        nodes.iter().for_each(|n| n.start(false, None).expect("it listens"));
        let arrivals = &context.plan.arrivals;
        let repeat = (0..arrivals.len() as u32).find(|n| arrivals[*n as usize].original != *n);
        let repeat = repeat.expect("one request is repeated");
        let first = arrivals[repeat as usize].original;
        let other = (0..arrivals.len() as u32).find(|n| {
            ![first, repeat].contains(n)
                && context.arrival(*n).session == context.arrival(first).session
        });
        let other = other.expect("the session sends more requests");
        let ask = async |node: usize, request| {
            let network = context.testbed.network(Host::Balancer(node % 2));
            let mut exchange =
                Exchange::new(network.connect(nodes[node].address(0)).await.expect("it listens"));
            let text = context.request_text(request, Duration::from_secs(1));
            exchange.write(text.as_bytes()).await.expect("open");
            let from = Instant::now();
            assert_eq!(
                exchange.message(Direction::Responses).await.expect("an answer").status(),
                200
            );
            // Both directions stay within one zone.
            from.elapsed().as_millis()
        };
        let near = |took: u128, ms: u128| (ms..ms + 3).contains(&took);
        // Nodes 0 and 2 are in one cell.
        let (unknown, known) = (ask(0, first).await, ask(2, other).await);
        assert!(near(unknown, 65) && near(known, 40), "{unknown} and {known} ms");
        let dropped = ask(2, repeat).await;
        assert!(dropped < 3, "the same key: {dropped} ms");
        let elsewhere = ask(4, repeat).await;
        assert!(near(elsewhere, 65), "another cell knows neither session nor key: {elsewhere} ms");
        sleep(Duration::from_secs(5)).await;
        let forgotten = ask(0, first).await;
        assert!(near(forgotten, 65), "window and memory are over: {forgotten} ms");
        let outcomes = context.record.take().into_iter().filter_map(|l| match l.seen {
            Observation::Ended { outcome, .. } => Some(outcome),
            _ => None,
        });
        use AttemptOutcome::{Dropped, Served};
        assert_eq!(outcomes.collect::<Vec<_>>(), [Served, Served, Dropped, Served, Served]);
    });
}

#[test]
fn sessions_reach_the_balancers_of_their_zone() {
    let scenario = scenario(SCENARIO);
    let plan = Plan::generate(&scenario, 2);
    let played = run_plan_virtual(&scenario, plan, Rc::new(Scripted(Fault::None)))
        .expect("the run completes");
    let mut sent = 0;
    for line in &played.trace {
        let Observation::Sent { request, balancer, .. } = line.seen else { continue };
        let zone =
            played.plan.arrivals[request as usize].session.expect("a request of a user session").1;
        assert_eq!(scenario.cluster.zone_of(balancer, &scenario.fleet), zone);
        sent += 1;
    }
    assert!(sent > 500, "{sent}");
}

#[test]
fn repeats_in_another_zone_run_twice_unless_all_cells_share_keys() {
    let report = run_scenario(SCENARIO);
    let sessions = report.sessions.as_ref().expect("there are user sessions");
    // A cluster without session affinity: a repeat reaches the first request's cell by chance only.
    assert!(sessions.ran_twice > 3 && sessions.in_previous_cell < 0.6, "{}", report.text());
    assert!(sessions.in_unknown_cells > 80, "{}", report.text());
    let missed = report.missed_expectations();
    assert!(
        missed.len() == 1 && missed[0].contains("ran in more than one pod; at most 0"),
        "{missed:#?}"
    );
    assert!(report.text().contains("keyed effects ran in more than one pod"));
    let json = serde_json::to_value(&report).expect("JSON");
    assert_eq!(json["sessions"]["ran_twice"], sessions.ran_twice);
    assert_eq!(json["sessions"]["at_their_pod"], sessions.in_previous_cell);

    let shared = run_scenario(&SCENARIO.replace("window_ms", "group = \"all\"\nwindow_ms"));
    let sessions = shared.sessions.as_ref().expect("there are user sessions");
    assert_eq!(sessions.ran_twice, 0, "{}", shared.text());
    assert!(shared.missed_expectations().is_empty() && sessions.effects > 500, "{}", shared.text());
}
