//! The store with every fault at every failpoint, alone and in a cluster.

mod simulation;

use std::collections::BTreeSet;

use hollowpaddle_consensus::{
    Corruption, DurableState, Entry, EntryPayload, IncarnationCounts, ProposalId, Record,
    SnapshotBase, Store, StoreError, View,
};
use hollowpaddle_failpoints::{Fault, Kind, Plan, Points};
use hollowpaddle_peer_transport::{Incarnation, NodeId};
use simulation::{SimulatedDisk, Simulation, ms};

fn entry(number: u64, length: usize) -> Entry {
    let id = ProposalId { by: NodeId(1), incarnation: Incarnation(1), number };
    Entry { id, payload: EntryPayload::Command(vec![number as u8; length]) }
}

/// Returns records in an order in which a voter issues them.
fn records() -> Vec<Record> {
    let view = |number| View { epoch: 1, number, leader: NodeId(0) };
    let complete_state = Record::CompleteState {
        view: view(1),
        last_normal_view: view(1),
        incarnation_counts: IncarnationCounts::new(),
        commit: 0,
        base: SnapshotBase::default(),
        start: 0,
        entries: Vec::new(),
    };
    let promise = |n| Record::ViewPromise {
        view: view(n),
        last_normal_view: view(1),
        incarnation_counts: IncarnationCounts::new(),
    };
    let entries = |first| Record::Entries { first, entries: vec![entry(first, 300_000)] };
    let base = SnapshotBase { op: 3, state: vec![1; 1000], ..SnapshotBase::default() };
    let view_start = Record::ViewStart {
        view: view(3),
        last_normal_view: view(3),
        incarnation_counts: IncarnationCounts::new(),
        first: 4,
        entries: vec![entry(9, 10)],
    };
    vec![
        complete_state.clone(),
        entries(1),
        entries(2),
        entries(3),
        entries(4),
        Record::Snapshot(base),
        promise(2),
        view_start,
        Record::Commit { commit: 4 },
        complete_state,
        entries(1),
    ]
}

/// Writes all records, two for each sync. Returns the number of the last acknowledged record and the result.
fn write(disk: &SimulatedDisk, points: &Points) -> (u64, Result<(), StoreError>) {
    let mut acknowledged = 0;
    let mut run = || {
        let (mut store, found) = Store::open(disk.clone(), points.clone(), 7, NodeId(1))?;
        let from = found.durable.last_number;
        for (number, record) in (1..).zip(records()).skip(from as usize) {
            store.append(number, &record)?;
            if number % 2 == 0 {
                acknowledged = acknowledged.max(store.sync()?);
            }
        }
        acknowledged = acknowledged.max(store.sync()?);
        Ok(())
    };
    let done = run();
    (acknowledged, done)
}

fn expected_state(through: u64) -> DurableState {
    let mut durable = DurableState::default();
    (1..=through).zip(records()).for_each(|(n, r)| durable.apply(n, r));
    durable
}

fn passed_failpoints() -> Vec<(Kind, &'static str)> {
    let points = Points::armed(Plan::counting());
    write(&SimulatedDisk::default(), &points).1.expect("no fault is injected");
    points.passed().iter().map(|p| (p.kind, p.name)).collect()
}

#[test]
fn acknowledged_records_survive_a_fault_at_any_failpoint() {
    let steps = passed_failpoints();
    let names: BTreeSet<&str> = steps.iter().map(|s| s.1).collect();
    println!("{} points: {names:?}", steps.len());
    let mut runs = 0;
    for (number, (kind, name)) in (1..).zip(&steps) {
        for fault in kind.faults() {
            for randomness in 0..3 {
                runs += 1;
                let disk = SimulatedDisk::default();
                let (acknowledged, done) = write(&disk, &Points::armed(Plan::one(number, *fault)));
                let succeeds = matches!(fault, Fault::Lie | Fault::Pause);
                assert_eq!(done.is_ok(), succeeds, "{fault:?} at {name}");
                disk.crash(randomness * 77_777 + randomness);
                let (mut store, found) = Store::open(disk.clone(), Points::none(), 7, NodeId(1))
                    .expect("the disk works again");
                let what = format!("{fault:?} at point {number}, {name}, randomness {randomness}");
                let written = found.durable.last_number;
                // A record that a lying sync lost is detected by the responses of the peers: see the tests with a cluster.
                assert!(
                    written >= acknowledged || *fault == Fault::Lie,
                    "{what}: {written} of {acknowledged}"
                );
                let known = expected_state(written);
                assert_eq!(found.durable.state, known.state, "{what}");
                // Writing continues from the last record.
                for (number, record) in (1..).zip(records()).skip(written as usize) {
                    store.append(number, &record).expect("the disk works");
                }
                store.sync().expect("the disk works");
                let (_, last) =
                    Store::open(disk, Points::none(), 7, NodeId(1)).expect("the disk works");
                assert_eq!(
                    last.durable.state,
                    expected_state(records().len() as u64).state,
                    "{what}"
                );
            }
        }
    }
    println!("{runs} runs");
}

#[test]
fn foreign_or_damaged_files_are_rejected_and_renamed() {
    let disk = SimulatedDisk::default();
    write(&disk, &Points::none()).1.expect("written");
    let bytes = disk.contents();
    let open = |bytes: Vec<u8>, cluster, node_id| {
        let disk = SimulatedDisk::default();
        disk.replace_contents(bytes);
        Store::open(disk, Points::none(), cluster, NodeId(node_id)).expect("readable").1
    };
    assert!(matches!(
        open(bytes.clone(), 7, 2).corruption,
        Some(Corruption::Foreign { node_id: 1, .. })
    ));
    assert!(matches!(
        open(bytes.clone(), 8, 1).corruption,
        Some(Corruption::Foreign { cluster: 7, .. })
    ));
    assert!(matches!(
        open(b"something else".to_vec(), 7, 1).corruption,
        Some(Corruption::InvalidHeader)
    ));
    let mut changed = bytes.clone();
    changed[50] ^= 1;
    let found = open(changed, 7, 1);
    assert!(matches!(found.corruption, Some(Corruption::Damaged { .. })), "{:?}", found.corruption);
    assert_eq!(found.durable, DurableState::default());
    for cut in (30..bytes.len()).step_by(997) {
        let found = open(bytes[..cut].to_vec(), 7, 1);
        assert!(found.corruption.is_none(), "a torn tail is cut off: {cut}");
        assert!(found.durable.last_number < records().len() as u64);
    }
}

#[test]
fn a_failed_sync_is_not_masked_by_a_later_one() {
    let points = passed_failpoints();
    let sync = points.iter().enumerate().filter(|(_, p)| p.0 == Kind::Sync).nth(3).expect("four").0
        as u64
        + 1;
    let disk = SimulatedDisk::default();
    let armed = Points::armed(Plan::one(sync, Fault::Io));
    let (mut store, _) = Store::open(disk, armed, 7, NodeId(1)).expect("opens");
    let mut failed = false;
    for (number, record) in (1..).zip(records()) {
        let done = store.append(number, &record).and_then(|()| store.sync());
        if failed {
            assert!(matches!(done, Err(StoreError::Inconsistent { .. })));
        }
        failed |= done.is_err();
    }
    store.reset().expect("the store accepts records again");
    store.append(1, &records()[0]).expect("the disk works");
}

#[test]
fn a_fault_at_a_start_loses_no_records() {
    let written = SimulatedDisk::default();
    write(&written, &Points::none()).1.expect("written");
    let torn = written.contents()[..written.contents().len() - 9].to_vec();
    let foreign = [b"something else".as_slice(), &torn].concat();
    for (bytes, intact_records) in
        [(torn, records().len() as u64 - 1), (foreign, 0), (Vec::new(), 0)]
    {
        let open = |plan: Plan| {
            let disk = SimulatedDisk::default();
            disk.replace_contents(bytes.clone());
            let points = Points::armed(plan);
            let opened = Store::open(disk.clone(), points.clone(), 7, NodeId(1));
            (disk, points, opened.map(|(_, found)| found.durable.last_number))
        };
        for passed in open(Plan::counting()).1.passed() {
            for fault in passed.kind.faults() {
                let (disk, _, _) = open(Plan::one(passed.number, *fault));
                disk.crash(passed.number);
                let (_, found) =
                    Store::open(disk, Points::none(), 7, NodeId(1)).expect("the disk works again");
                let what = format!("{fault:?} at {}", passed.name);
                assert_eq!(found.durable.state, expected_state(intact_records).state, "{what}");
            }
        }
    }
}

/// Runs a cluster on simulated disks: bootstrap, entries, a restart of one voter, entries.
fn scenario(points: &Points) -> Simulation {
    let mut simulation = Simulation::at_points(11, 3, &[0, 1, 2], true, false, points.clone());
    simulation.run(ms(2200));
    for round in 0..6u16 {
        simulation.propose(simulation.leader().unwrap_or(0), vec![round as u8; 20]);
        simulation.run_for_ms(120);
        if round == 3 {
            let node_id = (simulation.leader().unwrap_or(0) + 1) % 3;
            simulation.crash(node_id);
            simulation.start_after(node_id, ms(50));
        }
    }
    simulation.run_for_ms(300);
    simulation
}

#[test]
fn a_cluster_survives_every_fault_at_every_failpoint() {
    let points = Points::armed(Plan::counting());
    scenario(&points).heal_and_assert_consistent(0);
    let passed = points.passed();
    let cases: Vec<(u64, Fault)> =
        passed.iter().flat_map(|p| p.kind.faults().iter().map(|f| (p.number, *f))).collect();
    println!("{} points, {} runs", passed.len(), cases.len());
    std::thread::scope(|scope| {
        for third in 0..3 {
            let cases = &cases;
            scope.spawn(move || {
                for (number, fault) in cases.iter().skip(third).step_by(3) {
                    let run = || scenario(&Points::armed(Plan::one(*number, *fault)));
                    let found =
                        std::panic::catch_unwind(|| run().heal_and_assert_consistent(*number));
                    assert!(found.is_ok(), "{fault:?} at point {number}");
                }
            });
        }
    });
}

#[test]
fn a_restored_old_copy_is_detected() {
    let mut simulation = Simulation::new(5, 3, &[0, 1, 2], true);
    simulation.run(ms(2200));
    assert!(simulation.leader().is_some());
    let old = simulation.nodes[1].disk.contents();
    for round in 0..10 {
        simulation.propose(simulation.leader().unwrap_or(0), vec![round]);
        simulation.run_for_ms(100);
    }
    // All voters restart at once, one of them with an old copy of its directory, which lacks acknowledged entries.
    (0..3).for_each(|m| simulation.crash(m));
    simulation.nodes[1].disk.replace_contents(old.clone());
    simulation.start(0);
    simulation.start(1);
    simulation.run_for_ms(3000);
    // No running voter knows of later records, so the old copy is not detected. It is detected if a voter kept running.
    let mut simulation = Simulation::new(5, 3, &[0, 1, 2], true);
    simulation.run(ms(2200));
    for round in 0..10 {
        simulation.propose(simulation.leader().unwrap_or(0), vec![round]);
        simulation.run_for_ms(100);
    }
    let leader = simulation.leader().expect("leads");
    let (restored, running) = ((leader + 1) % 3, (leader + 2) % 3);
    simulation.isolate(leader);
    simulation.crash(restored);
    simulation.nodes[restored as usize].disk.replace_contents(old);
    simulation.start(restored);
    simulation.run_for_ms(3000);
    assert!(
        simulation.state_losses.iter().any(|reason| reason.contains("old copy")),
        "{:?}",
        simulation.state_losses
    );
    assert_eq!(
        simulation.leader(),
        None,
        "only voter {running} has the committed entries, which is no majority"
    );
    simulation.heal_and_assert_consistent(5);
}
