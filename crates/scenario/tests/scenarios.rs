//! Scenario files and plans: every problem is reported with its line, and a plan is a pure function of scenario and seed.

use hollowpaddle_scenario::plan::Plan;
use hollowpaddle_scenario::policy_actions::{Call, PlannedAction, PlannedStep};
use hollowpaddle_scenario::scenario::{OperatorVerb, Scenario};
use proptest::prelude::*;

const VALID: &str = r#"name = "sound"
length_s = 20

[fleet]
zones = ["a", "b"]
nodes = 10

[[fleet.kinds]]
name = "std"

[balancers]
count = 2

[[classes]]
name = "read"
work_ms = 50
aim_ms = 500
deadline_ms = 1000
effect = "safe"

[load]
of_capacity = 0.5
shape = "wave"

[[faults]]
kind = "die"
start_s = 5
length_s = 5
share = 0.3
group = "g"

[[faults]]
kind = "slow"
start_s = 6
length_s = 5
factor = 3
share = 0.3
group = "g"

[[faults]]
kind = "replace"
start_s = 7
length_s = 2
nodes = [1, 4]
same_address = true
"#;

fn problems(text: &str) -> Vec<String> {
    let problems = Scenario::read("day.toml", text).expect_err("it is wrong");
    problems.0.iter().map(ToString::to_string).collect()
}

#[test]
fn shipped_scenarios_are_valid() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../rehearsals");
    let mut seen = 0;
    for entry in std::fs::read_dir(folder).expect("the folder") {
        let path = entry.expect("an entry").path();
        let text = std::fs::read_to_string(&path).expect("a text");
        let scenario = Scenario::read(&path.display().to_string(), &text);
        let scenario = scenario.unwrap_or_else(|e| panic!("{e}"));
        assert_eq!(Some(scenario.name.as_str()), path.file_stem().and_then(|s| s.to_str()));
        assert!(!scenario.about.is_empty());
        seen += 1;
    }
    assert!(seen >= 7, "{seen}");
}

#[test]
fn all_problems_are_reported_at_once_with_their_lines() {
    let text = VALID
        .replace("length_s = 20", "length_s = \"long\"")
        .replace("nodes = 10", "nodes = 0\ncolour = \"red\"")
        .replace("effect = \"safe\"", "effect = \"harmless\"")
        .replace("kind = \"die\"", "kind = \"dye\"")
        .replace("factor = 3\n", "")
        .replace("nodes = [1, 4]", "nodes = [1, 4.5]");
    let messages = problems(&text);
    let expected = [
        "day.toml:2:12: `length_s` is a text: expected a number from 1 to 86400",
        "day.toml:6:9: `fleet.nodes` is 0: expected a number from 1 to 10000",
        "day.toml:7:1: `fleet.colour` is not known here",
        "day.toml:20:10: `classes.effect` is \"harmless\": expected one of safe, keyed, unsafe",
        "day.toml:27:8: `faults.kind` is \"dye\": expected one of die, vanish,",
        "day.toml:33:1: `faults.factor` is missing: expected a number from 1 to 1000",
        "day.toml:44:13: `faults.nodes`: expected a list of whole numbers from 0 to",
    ];
    for (i, start) in expected.iter().enumerate() {
        let line = messages.get(i).map(String::as_str).unwrap_or("nothing");
        assert!(line.starts_with(start), "expected {start}\ngot {line}\nof {messages:#?}");
    }
    assert_eq!(messages.len(), expected.len(), "{messages:#?}");
}

#[test]
fn invalid_toml_is_reported_with_its_position() {
    let messages = problems("name = \"x\"\nlength_s = = 4\n");
    assert!(messages[0].starts_with("day.toml:2:12: this is not TOML"), "{messages:?}");
}

#[test]
fn missing_main_parts_are_reported() {
    let messages = problems("");
    for part in ["no class", "no fleet", "`name` is missing", "`length_s` is missing"] {
        assert!(messages.iter().any(|t| t.contains(part)), "{part}: {messages:?}");
    }
}

#[test]
fn a_fault_without_targets_and_an_objective_past_the_deadline_are_rejected() {
    let messages = problems(&VALID.replace(
        "share = 0.3\ngroup = \"g\"\n\n[[faults]]\nkind = \"slow\"",
        "[[faults]]\nkind = \"slow\"",
    ));
    assert!(messages.iter().any(|t| t.contains("strikes no node")), "{messages:?}");
    let messages = problems(&VALID.replace("aim_ms = 500", "aim_ms = 5000"));
    assert!(messages.iter().any(|t| t.contains("later than the deadline")), "{messages:?}");
}

#[test]
fn a_closed_loop_has_no_shape_and_a_limited_size() {
    let closed = VALID.replace("of_capacity = 0.5\nshape = \"wave\"", "closed = 8\npause_ms = 20");
    let scenario = Scenario::read("day.toml", &closed).expect("valid");
    let plan = Plan::generate(&scenario, 7);
    // No client sends more than one request per pause.
    assert_eq!(plan.arrivals.len(), 8 * (20_000 / 20 + 1));
    let messages = problems(&VALID.replace("of_capacity = 0.5", "closed = 8"));
    assert!(
        messages.iter().any(|t| t.contains("`shape` means nothing for a closed loop")),
        "{messages:?}"
    );
    let messages =
        problems(&closed.replace("closed = 8\npause_ms = 20", "closed = 9000\npause_ms = 1"));
    assert!(messages.iter().any(|t| t.contains("5000000 are the most")), "{messages:?}");
}

#[test]
fn repeats_follow_their_originals_and_change_nothing_else() {
    let with = VALID.to_string() + "\n[clients]\nrepeat_share = 0.5\nrepeats = 2\n";
    let generate =
        |text: &str| Plan::generate(&Scenario::read("day.toml", text).expect("valid"), 7);
    let (with, without) = (generate(&with), generate(VALID));
    let original_count = with.original_count as usize;
    assert_eq!(original_count, without.arrivals.len());
    let repeats = with.arrivals.len() - original_count;
    assert!(
        (repeats as f64 / original_count as f64 - 1.0).abs() < 0.1,
        "{repeats} of {original_count}"
    );
    for (i, (a, b)) in with.arrivals.iter().zip(&without.arrivals).enumerate() {
        assert_eq!(
            (a.at, &a.id, a.balancer_sample, a.original),
            (b.at, &b.id, b.balancer_sample, i as u32)
        );
        if let Some(next) = a.next_repeat.map(|n| &with.arrivals[n as usize]) {
            assert_eq!(
                (next.original, next.class, next.session_id, next.work_ms),
                (a.original, a.class, a.session_id, a.work_ms)
            );
            assert!(next.id != a.id && next.next_repeat.is_some());
        }
    }
}

#[test]
fn a_plan_is_a_pure_function_of_scenario_and_seed() {
    let scenario = Scenario::read("day.toml", VALID).expect("valid");
    let (a, b, c) =
        (Plan::generate(&scenario, 7), Plan::generate(&scenario, 7), Plan::generate(&scenario, 8));
    assert_eq!((&a, a.digest()), (&b, b.digest()));
    assert_ne!(a.digest(), c.digest());
    assert!(a.arrivals.is_sorted_by_key(|r| r.at) && a.fault_events.is_sorted_by_key(|x| x.at));
    // Half of the capacity of ten cores of speed 1, in requests of 50 ms, for 20 s.
    let requests = a.arrivals.len() as f64;
    assert!((requests - 2000.0).abs() < 400.0, "{requests}");
}

#[test]
fn faults_of_one_group_select_the_same_nodes() {
    let scenario = Scenario::read("day.toml", VALID).expect("valid");
    for seed in 0..20 {
        let plan = Plan::generate(&scenario, seed);
        let of = |fault| plan.fault_events.iter().find(|a| a.fault == fault).expect("it strikes");
        assert_eq!(of(0).nodes, of(1).nodes);
        assert_eq!(of(0).nodes.len(), 3);
        let replaced = of(2);
        assert_eq!((&replaced.nodes, replaced.replacements.len()), (&vec![1, 4], 2));
        for (old, new) in replaced.nodes.iter().zip(&replaced.replacements) {
            assert_eq!(plan.machines[*new].replaces, Some((*old, true)));
            assert_eq!(plan.machines[*new].cell, plan.machines[*old].cell);
            assert_ne!(plan.machines[*new].id, plan.machines[*old].id);
        }
    }
}

#[test]
fn the_samples_of_one_fault_change_nothing_else() {
    let with = Scenario::read("day.toml", VALID).expect("valid");
    let mut without = with.clone();
    without.faults.clear();
    let (a, b) = (Plan::generate(&with, 3), Plan::generate(&without, 3));
    assert_eq!(a.arrivals, b.arrivals);
    assert_eq!(a.machines[..10], b.machines[..]);
}

#[test]
fn faults_of_balancers_select_the_configured_balancers_at_the_configured_times() {
    let cluster = VALID.replace("count = 2", "count = 10\npeers = true\nkeeps_state = true");
    let fault =
        |kind: &str, more: &str| format!("\n[[faults]]\nkind = \"{kind}\"\nstart_s = 4\n{more}\n");
    let events = |faults: &str| {
        let scenario = Scenario::read("day.toml", &format!("{cluster}{faults}")).expect("valid");
        let of = |a: &hollowpaddle_scenario::plan::FaultEvent| a.fault >= 3;
        Plan::generate(&scenario, 7).fault_events.into_iter().filter(of).collect::<Vec<_>>()
    };
    let zone = events(&fault("balancer-pause", "length_s = 2\nzone = \"b\""));
    assert_eq!((zone.len(), &zone[0].balancers), (2, &vec![1, 3, 5, 7, 9]));
    // One after another, each down for the same time.
    let spread =
        events(&fault("balancer-kill", "length_s = 1\nspread_s = 2\nbalancers = [2, 4, 6]"));
    let of = |begins| -> Vec<(u128, usize)> {
        let events = spread.iter().filter(|a| a.begins == begins);
        events.map(|a| (a.at.as_millis(), a.balancers[0])).collect()
    };
    assert_eq!(of(true), [(4000, 2), (5000, 4), (6000, 6)]);
    assert_eq!(of(false), [(5000, 2), (6000, 4), (7000, 6)]);
    // Repeated kills, and up at the end.
    let again =
        events(&fault("balancer-kill", "length_s = 3\ndown_s = 0.5\nup_s = 1\nbalancer = 1"));
    let times: Vec<(u128, bool)> = again.iter().map(|a| (a.at.as_millis(), a.begins)).collect();
    assert_eq!(times, [(4000, true), (4500, false), (5500, true), (6000, false)]);
    // Faults of one group select the same balancers, and take their samples from a stream of their own.
    let both = fault("list-cut", "length_s = 2\nshare = 0.3\ngroup = \"deaf\"")
        + &fault("links-cut", "length_s = 2\nshare = 0.3\ngroup = \"deaf\"\nway = \"in\"");
    let both = events(&both);
    assert_eq!(both[0].balancers.len(), 3);
    assert!(both.iter().all(|a| a.balancers == both[0].balancers));
    let alone = Plan::generate(&Scenario::read("day.toml", VALID).expect("valid"), 7);
    let with =
        Scenario::read("day.toml", &format!("{VALID}{}", fault("balancer-restart", "share = 1.0")));
    let with = Plan::generate(&with.expect("valid"), 7);
    assert_eq!(
        (alone.arrivals, &alone.fault_events[0].nodes),
        (with.arrivals, &with.fault_events[1].nodes)
    );
}

#[test]
fn a_fault_of_balancers_without_targets_or_required_settings_is_rejected() {
    let messages = |kind: &str, more: &str| {
        problems(&format!("{VALID}\n[[faults]]\nkind = \"{kind}\"\nstart_s = 4\n{more}\n"))
    };
    for (kind, more, what) in [
        ("balancer-kill", "length_s = 1", "strikes no balancer"),
        ("balancer-kill", "length_s = 1\nbalancer = 2", "`faults.balancer` is 2: expected"),
        ("balancer-pause", "length_s = 1\nbalancer = 1\nbalancers = [0]", "names one already"),
        ("links-cut", "length_s = 1\nshare = 0.5", "expected `peers = true`"),
        ("links-bad", "length_s = 1\nloss = 0.5", "expected `peers = true`"),
        ("state-lost", "share = 0.5", "expected `keeps_state = true`"),
        ("state-full", "length_s = 1\nshare = 0.5", "expected `keeps_state = true`"),
        ("state-slow", "length_s = 1\nshare = 0.5", "`faults.by_s` is missing"),
        ("state-old", "share = 0.5", "`faults.age_s` is missing"),
        ("clock-step", "share = 0.5", "`faults.by_s` is missing"),
        ("balancer-pause", "share = 0.5", "`faults.length_s` is missing"),
    ] {
        let messages = messages(kind, more);
        assert!(messages.iter().any(|t| t.contains(what)), "{what}: {messages:#?}");
    }
    let messages = problems(&format!("{VALID}\n[expect]\nfull_service_s = \"soon\"\nspeed = 1\n"));
    assert!(
        messages[0].contains("`expect.full_service_s`") && messages[1].contains("`expect.speed`"),
        "{messages:#?}"
    );
}

proptest! {
    #[test]
    fn no_text_causes_a_panic(text in "\\PC{0,300}") {
        let _ = Scenario::read("any.toml", &text);
    }

    #[test]
    fn no_change_of_a_valid_file_causes_a_panic(at in 0usize..VALID.len(), cut in 0usize..30, new in "[ -~\n]{0,8}") {
        let end = (at + cut).min(VALID.len());
        let text = format!("{}{new}{}", &VALID[..at], &VALID[end..]);
        match Scenario::read("any.toml", &text) {
            Ok(scenario) => drop(Plan::generate(&scenario, 1).digest()),
            Err(problems) => {
                prop_assert!(!problems.0.is_empty());
                for problem in problems.0 {
                    prop_assert!(problem.line <= text.lines().count() + 1 && problem.column > 0);
                }
            }
        }
    }
}

const POLICY_ACTIONS: &str = r#"
[[bank]]
at_s = 4
doors = [0, 1]
does = "revision"
document = { out = { nodes = [3], pods = [1], sites = ["b"] }, kept = [{ class = "read", pods = [0] }], attempts = 2 }
wait_all = true

[[bank]]
at_s = 3
does = "cordon"
share = 0.2

[[bank]]
at_s = 6
does = "leader-killed"
length_s = 2
"#;

fn with_policy_actions(events: &str) -> String {
    format!("{}{events}", VALID.replace("count = 2", "count = 2\npeers = true"))
}

#[test]
fn policy_actions_are_planned_ahead_and_a_control_run_has_no_leader_faults() {
    let scenario = Scenario::read("day.toml", &with_policy_actions(POLICY_ACTIONS)).expect("valid");
    let plan = Plan::generate(&scenario, 3);
    assert_eq!(plan, Plan::generate(&scenario, 3));
    assert_ne!(plan.digest(), Plan::generate(&scenario, 4).digest());
    let calls: Vec<&Call> = plan.policy_actions.iter().filter_map(call).collect();
    // Two of ten nodes are cordoned, each by a call. Then the revision is sent to both balancers, each with an id of its own.
    let verbs: Vec<OperatorVerb> = calls.iter().map(|c| c.verb).collect();
    assert_eq!(
        verbs,
        [
            OperatorVerb::Cordon,
            OperatorVerb::Cordon,
            OperatorVerb::Revision,
            OperatorVerb::Revision
        ]
    );
    assert!(calls[2].id.is_some() && calls[2].id != calls[3].id && calls[0].id.is_none());
    let out = &calls[2].body["document"]["out"];
    assert_eq!(out["upstreams"], serde_json::json!([plan.machines[3].id]));
    assert_eq!((&out["pods"], &out["sites"]), (&serde_json::json!([1]), &serde_json::json!(["b"])));
    assert_eq!(calls[2].body["document"]["kept"], serde_json::json!({"read": [0]}));
    assert_eq!(calls[2].body["wait"], "all");
    assert_eq!((plan.policy_actions.len(), plan.control_run().policy_actions.len()), (5, 4));
    assert_eq!(
        Plan::generate(&scenario, 3).arrivals,
        Plan::generate(&valid_scenario(), 3).arrivals,
        "nothing else changed"
    );
}

fn call(planned: &PlannedAction) -> Option<&Call> {
    match &planned.step {
        PlannedStep::Call(call) => Some(call),
        PlannedStep::Leader(..) => None,
    }
}

fn valid_scenario() -> Scenario {
    Scenario::read("day.toml", VALID).expect("valid")
}

#[test]
fn problems_of_policy_actions_are_reported_with_their_positions() {
    let messages = |text: &str| problems(text).join("\n");
    let alone = messages(&format!("{VALID}{POLICY_ACTIONS}"));
    assert!(alone.contains("these balancers agree on nothing"), "{alone}");
    let wrong = [
        ("doors = [0, 1]", "doors = [0, 2]", "from 0 to 1"),
        ("doors = [0, 1]", "door = 1\nall_doors = true", "`bank.door` says already which doors"),
        ("sites = [\"b\"]", "sites = [\"c\"]", "`out.sites` names \"c\": expected one of a, b"),
        ("class = \"read\"", "class = \"write\"", "expected one of read"),
        ("nodes = [3]", "nodes = [10]", "from 0 to 9"),
        ("does = \"cordon\"\nshare = 0.2", "does = \"cordon\"", "strikes no node"),
        ("does = \"cordon\"", "does = \"forget\"", "bank.does"),
        ("does = \"cordon\"\nshare = 0.2", "does = \"revision\"", "`bank.document` is missing"),
        ("length_s = 2\n", "length_s = 2\ndoor = 1\n", "means nothing where nobody is called"),
        ("at_s = 6", "at_s = 6\nhow = 1", "bank.how"),
    ];
    for (from, to, what) in wrong {
        let changed = POLICY_ACTIONS.replacen(from, to, 1);
        assert_ne!(changed, POLICY_ACTIONS, "{from}");
        let messages = messages(&with_policy_actions(&changed));
        assert!(messages.contains(what) && messages.starts_with("day.toml:"), "{to}: {messages}");
    }
    let charter = VALID.replace("count = 2", "count = 2\ncharter = [0]");
    assert!(
        messages(&charter).contains("`balancers.charter` means nothing"),
        "{}",
        messages(&charter)
    );
}
