//! Days on which operators change a bank's rules while it breaks: acts on the rule book on top of faults of links and
//! balancers. The rest of such a day is the seed's own, without its own faults of nodes.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{bank_day, ms};
use crate::scenario::{
    Fault, FaultKind, LeaderFault, LinkDirection, PolicyAction, PolicyActionKind, RevisionDocument,
    Scenario, Selection, Trouble,
};

/// Chance of such days is a stream of its own.
const STREAM: u64 = 95;
/// The first act comes after this: a bank that has just started agrees on its first charter.
const FIRST_MS: u32 = 4_000;

/// A day of a bank whose rules are changed while it breaks: a part of all datagrams lost (none, 10 % or 30 %), two to four of
/// cuts, pauses, kills and restarts, and three to eight acts. Half of the seed's own faults of nodes and lists stay.
pub fn bank_scenario(seed: u64) -> Scenario {
    let about = "operators change a bank's rules while it breaks";
    let (mut day, mut rng, _) = bank_day(seed, STREAM, "bank", about);
    let length = rng.random_range(28..40u32);
    day.length = ms(length * 1000);
    day.cluster.count = rng.random_range(3..=12);
    day.cluster.peers = true;
    day.fleet.nodes = rng.random_range(24..=36);
    day.fleet.cell_size = 3;
    day.load.of_capacity = 0.3 + 0.3 * rng.random::<f64>();
    day.list.asked = rng.random::<f64>() < 0.5;
    day.faults.retain(|f| f.kind.targets_nodes() && f.selection.places.is_none());
    day.faults.truncate(2);
    let cells = day.fleet.cells() as u32;
    if rng.random::<f64>() < 0.4 {
        // The first of each site are firm, and the rest can be put out.
        day.cluster.policy.fallback_cells = Some(vec![0, 1, 2]);
        day.cluster.policy.mandatory_fallback_cells = Some(vec![0, 1]);
    }
    let loss = [0.0, 0.1, 0.3][rng.random_range(0..3)];
    if loss > 0.0 {
        let trouble = Trouble { loss, jitter: ms(rng.random_range(0..60)), ..Trouble::default() };
        let kind = FaultKind::LinksBad { direction: LinkDirection::Both, trouble };
        let (start, length) = (ms(0), ms(length * 1000));
        let selection = Selection::default();
        day.faults.push(Fault { kind, start, length, selection, group: None, line: 0 });
    }
    for _ in 0..rng.random_range(2..=4) {
        let fault = fault(&mut rng, length, day.cluster.count);
        day.faults.push(fault);
    }
    for _ in 0..rng.random_range(3..=8) {
        let act = act(&mut rng, length, day.cluster.count, cells, &day);
        day.policy_actions.push(act);
    }
    day
}

fn fault(rng: &mut ChaCha8Rng, length: u32, count: usize) -> Fault {
    let way = [LinkDirection::Both, LinkDirection::Both, LinkDirection::Out, LinkDirection::In]
        [rng.random_range(0..4)];
    let kind = match rng.random_range(0..7) {
        0 | 1 => FaultKind::BalancerPause,
        2 => FaultKind::BalancerKill { spread: ms(rng.random_range(0..1_500)), cycle: None },
        3 => FaultKind::BalancerRestart { spread: ms(rng.random_range(0..3_000)) },
        4 => FaultKind::LinksCut { direction: way, open_share: [0.0, 0.3][rng.random_range(0..2)] },
        _ => FaultKind::LinksCut { direction: way, open_share: 0.0 },
    };
    let selection = match rng.random_range(0..4) {
        0 => Selection { zone: Some(rng.random_range(0..2)), ..Selection::default() },
        1 => Selection { places: Some(vec![rng.random_range(0..count)]), ..Selection::default() },
        // A third, or up to all.
        2 => Selection { share: Some(1.0 / 3.0), ..Selection::default() },
        _ => Selection { share: Some(rng.random()), ..Selection::default() },
    };
    Fault {
        start: ms(rng.random_range(FIRST_MS..length * 1000 - 10_000)),
        length: ms(rng.random_range(500..9_000)),
        selection,
        group: None,
        kind,
        line: 0,
    }
}

fn act(
    rng: &mut ChaCha8Rng,
    length: u32,
    count: usize,
    cells: u32,
    day: &Scenario,
) -> PolicyAction {
    let door = rng.random_range(0..count);
    let mut pods: Vec<u32> =
        (0..rng.random_range(1..=3)).map(|_| rng.random_range(0..cells)).collect();
    pods.sort_unstable();
    pods.dedup();
    let does = match rng.random_range(0..12) {
        0..=4 => {
            let many = rng.random_range(0..3);
            let nodes = (0..many).map(|_| rng.random_range(0..day.fleet.nodes)).collect();
            let class = &day.classes[rng.random_range(0..day.classes.len())].name;
            let kept = rng.random::<f64>() < 0.3;
            let pods = if rng.random::<f64>() < 0.8 { pods } else { Vec::new() };
            let kept =
                if kept { vec![(class.clone(), vec![rng.random_range(3..cells)])] } else { vec![] };
            let says = RevisionDocument {
                nodes,
                cells: pods,
                excluded_cells: kept,
                ..RevisionDocument::default()
            };
            PolicyActionKind::Revise { document: says, force: true, canary_s: None }
        }
        5 => PolicyActionKind::Revise {
            document: RevisionDocument::default(),
            force: true,
            canary_s: None,
        },
        6 | 7 => PolicyActionKind::Rollback { steps: rng.random_range(1..=3) },
        8 => {
            let places = Some(vec![rng.random_range(0..day.fleet.nodes)]);
            PolicyActionKind::Cordon(Selection { places, ..Selection::default() })
        }
        9 => {
            // The firm ones, and others.
            let mut charter = vec![0, 1];
            charter.extend(pods.into_iter().filter(|p| *p > 1));
            PolicyActionKind::FallbackPolicy { cells: charter }
        }
        _ => {
            let strike = [LeaderFault::Killed, LeaderFault::Paused, LeaderFault::CutOff]
                [rng.random_range(0..3)];
            PolicyActionKind::Leader(strike, ms(rng.random_range(500..8_000)))
        }
    };
    PolicyAction {
        at: ms(rng.random_range(FIRST_MS..length * 1000 - 5_000)),
        balancers: vec![door],
        kind: does,
        wait_for_all: rng.random(),
        retry_for: ms(8_000),
        line: 0,
    }
}
