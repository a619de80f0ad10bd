//! Vans: what a scenario may say of them, and that what chance decides about them is as it says.

use std::collections::BTreeSet;
use std::time::Duration;

use hollowpaddle_scenario::plan::Plan;
use hollowpaddle_scenario::scenario::{Effect, Scenario};

const DAY: &str = r#"name = "vans"
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

fn day(text: &str) -> Scenario {
    Scenario::read("vans.toml", text).unwrap_or_else(|e| panic!("{e}"))
}

fn problems(text: &str) -> Vec<String> {
    let problems = Scenario::read("vans.toml", text).expect_err("it is wrong");
    problems.0.iter().map(ToString::to_string).collect()
}

#[test]
fn mistakes_are_told_with_their_lines() {
    let line = |text: &str| 1 + DAY.lines().position(|l| l.starts_with(text)).expect("it is there");
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
        let wrong = DAY.replace(from, to);
        assert_ne!(wrong, DAY, "{from}");
        let told = problems(&wrong);
        let told = told.first().expect("one");
        assert!(
            told.starts_with(&format!("vans.toml:{at}:")) && told.contains(what),
            "{to}: {told}"
        );
    }
}

#[test]
fn each_request_is_a_vans_and_comes_from_where_it_is() {
    let scenario = day(DAY);
    let plan = Plan::generate(&scenario, 4);
    let moved = plan.sessions.iter().filter(|v| v.visit.is_some()).count();
    assert!((120..180).contains(&moved), "{moved} of 300 at one half");
    let sids: BTreeSet<u64> = plan.sessions.iter().map(|v| v.session_id).collect();
    assert_eq!(sids.len(), 300);
    for van in &plan.sessions {
        let Some((away, from, to)) = van.visit else { continue };
        let moment = Duration::from_millis(1);
        assert!(
            from >= Duration::from_secs(5)
                && from <= Duration::from_secs(15)
                && away != van.initial_zone
        );
        assert_eq!(to, Some(from + Duration::from_secs(3)));
        let sites = [from - moment, from, from + Duration::from_secs(3)].map(|at| van.zone_at(at));
        assert_eq!(sites, [van.initial_zone, away, van.initial_zone]);
    }
    for arrival in &plan.arrivals[..plan.original_count as usize] {
        let (van, site) = arrival.session.expect("a van's");
        let van = &plan.sessions[van as usize];
        assert_eq!((arrival.session_id, site), (van.session_id, van.zone_at(arrival.at)));
    }
    assert_eq!(plan, Plan::generate(&scenario, 4));
    assert_ne!(plan.sessions, Plan::generate(&scenario, 5).sessions);
}

#[test]
fn what_is_pressed_again_is_keyed_and_comes_from_the_other_site_right_after_the_move() {
    let plan = Plan::generate(&day(DAY), 4);
    let original_count = &plan.arrivals[..plan.original_count as usize];
    assert!(original_count.is_sorted_by_key(|a| a.at));
    let mut pressed = 0;
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
        assert_eq!(day(DAY).classes[arrival.class].effect, Effect::Keyed);
        assert_ne!(first.session.map(|v| v.1), arrival.session.map(|v| v.1), "another site");
        let after = arrival.at - first.at;
        assert!(
            after >= Duration::from_millis(200) && after <= Duration::from_millis(1200),
            "{after:?}"
        );
        pressed += 1;
    }
    assert!(pressed > 20, "{pressed}");
    let none = Plan::generate(&day(&DAY.replace("again_share = 0.8", "again_share = 0")), 4);
    assert_eq!(none.arrivals.len(), plan.arrivals.len() - pressed);
    // With nothing else moved: the day is the same but for them.
    let others = plan.arrivals.iter().enumerate().filter(|(n, a)| a.original as usize == *n);
    assert!(others.map(|(_, a)| &a.id).eq(none.arrivals.iter().map(|a| &a.id)));
}

#[test]
fn a_day_without_vans_is_drawn_as_it_always_was() {
    let without = &DAY[..DAY.find("[vans]").expect("there")];
    let plan = Plan::generate(&day(without), 4);
    let text = format!("{plan:?}");
    assert!(!text.contains("van"), "its digest would be another one");
    let with = Plan::generate(&day(&DAY.replace("again_share = 0.8", "again_share = 0")), 4);
    let ids = |plan: &Plan| plan.arrivals.iter().map(|a| (a.at, a.id.clone())).collect::<Vec<_>>();
    assert_eq!(ids(&plan), ids(&with));
}
