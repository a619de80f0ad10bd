//! User sessions: validation of their settings, and the random parts that are generated from them.

use std::collections::BTreeSet;
use std::time::Duration;

use hollowpaddle_scenario::plan::Plan;
use hollowpaddle_scenario::scenario::{Effect, Scenario};

const SCENARIO: &str = r#"name = "vans"
length_s = 20

[fleet]
zones = ["bilbao", "oviedo", "vigo"]
nodes = 30

[[fleet.kinds]]
name = "std"

[[classes]]
name = "delivery-log"
work_ms = 30
aim_ms = 500
deadline_ms = 1000
effect = "keyed"

[[classes]]
name = "alarm"
work_ms = 30
aim_ms = 500
deadline_ms = 1000
effect = "unsafe"

[load]
of_capacity = 0.4

[vans]
count = 300
move_share = 0.5
moves_at_s = 5
moves_over_s = 10
back_after_s = 3
again_share = 0.8
again_within_ms = 1000
again_after_ms = 200
"#;

fn scenario(text: &str) -> Scenario {
    Scenario::read("vans.toml", text).unwrap_or_else(|e| panic!("{e}"))
}

fn problems(text: &str) -> Vec<String> {
    let problems = Scenario::read("vans.toml", text).expect_err("it is wrong");
    problems.0.iter().map(ToString::to_string).collect()
}

#[test]
fn problems_are_reported_with_their_lines() {
    let line = |text: &str| {
        1 + SCENARIO.lines().position(|l| l.starts_with(text)).expect("the line exists")
    };
    for (from, to, at, what) in [
        ("count = 300", "count = 0", line("count"), "`vans.count`"),
        ("move_share = 0.5", "move_share = 2", line("move_share"), "`vans.move_share`"),
        ("move_share = 0.5\n", "", line("moves_at_s") - 1, "means nothing where no van moves"),
        ("moves_at_s = 5\n", "", line("[vans]"), "moves_at_s"),
        ("moves_over_s = 10", "moves_over_s = 16", line("moves_at_s"), "the day ends at 20 s"),
        (
            "[\"bilbao\", \"oviedo\", \"vigo\"]",
            "[\"bilbao\"]",
            line("move_share"),
            "nowhere to drive to",
        ),
        ("of_capacity = 0.4", "closed = 3", line("[vans]"), "a closed loop has none"),
        ("again_share", "agian_share", line("again_share"), "agian_share"),
    ] {
        let wrong = SCENARIO.replace(from, to);
        assert_ne!(wrong, SCENARIO, "{from}");
        let messages = problems(&wrong);
        let message = messages.first().expect("one");
        assert!(
            message.starts_with(&format!("vans.toml:{at}:")) && message.contains(what),
            "{to}: {message}"
        );
    }
}

#[test]
fn each_request_belongs_to_a_session_and_comes_from_its_zone() {
    let scenario = scenario(SCENARIO);
    let plan = Plan::generate(&scenario, 4);
    let moved = plan.sessions.iter().filter(|v| v.visit.is_some()).count();
    assert!((120..180).contains(&moved), "{moved} of 300 at one half");
    let session_ids: BTreeSet<u64> = plan.sessions.iter().map(|v| v.session_id).collect();
    assert_eq!(session_ids.len(), 300);
    for session in &plan.sessions {
        let Some((zone, from, to)) = session.visit else { continue };
        let moment = Duration::from_millis(1);
        assert!(
            from >= Duration::from_secs(5)
                && from <= Duration::from_secs(15)
                && zone != session.initial_zone
        );
        assert_eq!(to, Some(from + Duration::from_secs(3)));
        let zones =
            [from - moment, from, from + Duration::from_secs(3)].map(|at| session.zone_at(at));
        assert_eq!(zones, [session.initial_zone, zone, session.initial_zone]);
    }
    for arrival in &plan.arrivals[..plan.original_count as usize] {
        let (session, zone) = arrival.session.expect("it belongs to a session");
        let session = &plan.sessions[session as usize];
        assert_eq!((arrival.session_id, zone), (session.session_id, session.zone_at(arrival.at)));
    }
    assert_eq!(plan, Plan::generate(&scenario, 4));
    assert_ne!(plan.sessions, Plan::generate(&scenario, 5).sessions);
}

#[test]
fn resubmissions_are_keyed_and_come_from_the_other_zone_right_after_the_move() {
    let plan = Plan::generate(&scenario(SCENARIO), 4);
    let original_count = &plan.arrivals[..plan.original_count as usize];
    assert!(original_count.is_sorted_by_key(|a| a.at));
    let mut resubmitted = 0;
    for (place, arrival) in
        original_count.iter().enumerate().filter(|(n, a)| a.original as usize != *n)
    {
        let first = &original_count[arrival.original as usize];
        assert!(
            first.original == arrival.original && first.id != arrival.id && first.at < arrival.at,
            "{place}"
        );
        assert_eq!(
            (first.session_id, first.class, first.work_ms),
            (arrival.session_id, arrival.class, arrival.work_ms)
        );
        assert_eq!(scenario(SCENARIO).classes[arrival.class].effect, Effect::Keyed);
        assert_ne!(first.session.map(|v| v.1), arrival.session.map(|v| v.1), "another zone");
        let after = arrival.at - first.at;
        assert!(
            after >= Duration::from_millis(200) && after <= Duration::from_millis(1200),
            "{after:?}"
        );
        resubmitted += 1;
    }
    assert!(resubmitted > 20, "{resubmitted}");
    let none =
        Plan::generate(&scenario(&SCENARIO.replace("again_share = 0.8", "again_share = 0")), 4);
    assert_eq!(none.arrivals.len(), plan.arrivals.len() - resubmitted);
    // Nothing else changes: the plans are the same but for the resubmissions.
    let others = plan.arrivals.iter().enumerate().filter(|(n, a)| a.original as usize == *n);
    assert!(others.map(|(_, a)| &a.id).eq(none.arrivals.iter().map(|a| &a.id)));
}

#[test]
fn a_plan_without_sessions_keeps_its_digest() {
    let without = &SCENARIO[..SCENARIO.find("[vans]").expect("the section exists")];
    let plan = Plan::generate(&scenario(without), 4);
    let text = format!("{plan:?}");
    assert!(!text.contains("van"), "the digest would change");
    let with =
        Plan::generate(&scenario(&SCENARIO.replace("again_share = 0.8", "again_share = 0")), 4);
    let ids = |plan: &Plan| plan.arrivals.iter().map(|a| (a.at, a.id.clone())).collect::<Vec<_>>();
    assert_eq!(ids(&plan), ids(&with));
}
