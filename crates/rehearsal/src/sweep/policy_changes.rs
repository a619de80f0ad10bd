//! Scenarios in which operators change the routing policy during faults of links and balancers. The
//! rest is the seed's own scenario, of which at most two faults of nodes remain.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{base_scenario, ms};
use crate::scenario::{
    Fault, FaultKind, LeaderFault, LinkDirection, PolicyAction, PolicyActionKind, RevisionDocument,
    Scenario, Selection, Trouble,
};

/// The random number stream of these scenarios.
const RNG_STREAM: u64 = 95;
/// Earliest time of an action, in milliseconds: a newly started cluster first agrees on its first
/// fallback policy.
const FIRST_ACTION_MS: u32 = 4_000;

/// Returns the scenario of a seed with policy changes during faults: a share of all datagrams lost
/// (none, 10 % or 30 %), two to four cuts, pauses, kills and restarts, and three to eight operator
/// actions. Up to two of the seed's own faults of nodes stay.
pub fn policy_change_scenario(seed: u64) -> Scenario {
    let about = "operators change a bank's rules while it breaks";
    let (mut scenario, mut rng, _) = base_scenario(seed, RNG_STREAM, "bank", about);
    let length = rng.random_range(28..40u32);
    scenario.length = ms(length * 1000);
    scenario.cluster.count = rng.random_range(3..=12);
    scenario.cluster.peers = true;
    scenario.fleet.nodes = rng.random_range(24..=36);
    scenario.fleet.cell_size = 3;
    scenario.load.of_capacity = 0.3 + 0.3 * rng.random::<f64>();
    scenario.list.is_polled = rng.random::<f64>() < 0.5;
    scenario.faults.retain(|f| f.kind.targets_nodes() && f.selection.places.is_none());
    scenario.faults.truncate(2);
    let cells = scenario.fleet.cells() as u32;
    if rng.random::<f64>() < 0.4 {
        // The first cells of each zone are mandatory, and the others can be excluded.
        scenario.cluster.policy.fallback_cells = Some(vec![0, 1, 2]);
        scenario.cluster.policy.mandatory_fallback_cells = Some(vec![0, 1]);
    }
    let loss = [0.0, 0.1, 0.3][rng.random_range(0..3)];
    if loss > 0.0 {
        let trouble = Trouble { loss, jitter: ms(rng.random_range(0..60)), ..Trouble::default() };
        let kind = FaultKind::LinksBad { direction: LinkDirection::Both, trouble };
        let (start, length) = (ms(0), ms(length * 1000));
        let selection = Selection::default();
        scenario.faults.push(Fault { kind, start, length, selection, group: None, line: 0 });
    }
    for _ in 0..rng.random_range(2..=4) {
        let fault = fault(&mut rng, length, scenario.cluster.count);
        scenario.faults.push(fault);
    }
    for _ in 0..rng.random_range(3..=8) {
        let policy_action =
            policy_action(&mut rng, length, scenario.cluster.count, cells, &scenario);
        scenario.policy_actions.push(policy_action);
    }
    scenario
}

fn fault(rng: &mut ChaCha8Rng, length: u32, count: usize) -> Fault {
    let direction =
        [LinkDirection::Both, LinkDirection::Both, LinkDirection::Out, LinkDirection::In]
            [rng.random_range(0..4)];
    let kind = match rng.random_range(0..7) {
        0 | 1 => FaultKind::BalancerPause,
        2 => FaultKind::BalancerKill { spread: ms(rng.random_range(0..1_500)), cycle: None },
        3 => FaultKind::BalancerRestart { spread: ms(rng.random_range(0..3_000)) },
        4 => FaultKind::LinksCut { direction, open_share: [0.0, 0.3][rng.random_range(0..2)] },
        _ => FaultKind::LinksCut { direction, open_share: 0.0 },
    };
    let selection = match rng.random_range(0..4) {
        0 => Selection { zone: Some(rng.random_range(0..2)), ..Selection::default() },
        1 => Selection { places: Some(vec![rng.random_range(0..count)]), ..Selection::default() },
        // A third, or a random share.
        2 => Selection { share: Some(1.0 / 3.0), ..Selection::default() },
        _ => Selection { share: Some(rng.random()), ..Selection::default() },
    };
    Fault {
        start: ms(rng.random_range(FIRST_ACTION_MS..length * 1000 - 10_000)),
        length: ms(rng.random_range(500..9_000)),
        selection,
        group: None,
        kind,
        line: 0,
    }
}

fn policy_action(
    rng: &mut ChaCha8Rng,
    length: u32,
    count: usize,
    cell_count: u32,
    scenario: &Scenario,
) -> PolicyAction {
    let balancer = rng.random_range(0..count);
    let mut cells: Vec<u32> =
        (0..rng.random_range(1..=3)).map(|_| rng.random_range(0..cell_count)).collect();
    cells.sort_unstable();
    cells.dedup();
    let action = match rng.random_range(0..12) {
        0..=4 => {
            let many = rng.random_range(0..3);
            let nodes = (0..many).map(|_| rng.random_range(0..scenario.fleet.nodes)).collect();
            let class = &scenario.classes[rng.random_range(0..scenario.classes.len())].name;
            let has_exclusion = rng.random::<f64>() < 0.3;
            let cells = if rng.random::<f64>() < 0.8 { cells } else { Vec::new() };
            let excluded = if has_exclusion {
                vec![(class.clone(), vec![rng.random_range(3..cell_count)])]
            } else {
                vec![]
            };
            let document = RevisionDocument {
                nodes,
                cells,
                excluded_cells: excluded,
                ..RevisionDocument::default()
            };
            PolicyActionKind::Revise { document, force: true, canary_s: None }
        }
        5 => PolicyActionKind::Revise {
            document: RevisionDocument::default(),
            force: true,
            canary_s: None,
        },
        6 | 7 => PolicyActionKind::Rollback { steps: rng.random_range(1..=3) },
        8 => {
            let places = Some(vec![rng.random_range(0..scenario.fleet.nodes)]);
            PolicyActionKind::Cordon(Selection { places, ..Selection::default() })
        }
        9 => {
            // The mandatory cells, and others.
            let mut fallback_cells = vec![0, 1];
            fallback_cells.extend(cells.into_iter().filter(|p| *p > 1));
            PolicyActionKind::FallbackPolicy { cells: fallback_cells }
        }
        _ => {
            let leader_fault = [LeaderFault::Killed, LeaderFault::Paused, LeaderFault::CutOff]
                [rng.random_range(0..3)];
            PolicyActionKind::Leader(leader_fault, ms(rng.random_range(500..8_000)))
        }
    };
    PolicyAction {
        at: ms(rng.random_range(FIRST_ACTION_MS..length * 1000 - 5_000)),
        balancers: vec![balancer],
        kind: action,
        wait_for_all: rng.random(),
        retry_for: ms(8_000),
        line: 0,
    }
}
