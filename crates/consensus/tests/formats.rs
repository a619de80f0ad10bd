//! Formats that leave a process, byte for byte as recorded in `tests/formats`: messages, a voter's log and its file
//! names, snapshots, and the texts of the admin API.

#[path = "../../peer-transport/tests/formats/hex.rs"]
mod hex;

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::time::Duration;

use hex::{assert_all_recorded, assert_recorded, recorded};
use hollowpaddle_consensus::{
    Directory, DurableState, Entry, EntryPayload, Heartbeat, IncarnationCounts, Learner,
    LearnerAction, LearnerConfig, LearnerEvent, Log, LogIndex, LogPart, MAX_CHUNK_BYTES,
    MAX_ENTRY_BYTES, MAX_FILE_BYTES, MAX_MESSAGE_BYTES, MAX_SNAPSHOT_BYTES, MAX_VOTERS, Message,
    MessageBody, ProposalId, ProposalOutcome, Record, ReplicaStatus, SnapshotBase, State, Store,
    StoreError, VERSION, View, VoterSet,
};
use hollowpaddle_failpoints::{Fault, Kind, Plan, Points};
use hollowpaddle_peer_transport::{Channel, Incarnation, NodeId, decode, encode};

const CLUSTER: u64 = 0x1122_3344_5566_7788;
const VOTER: NodeId = NodeId(300);

fn view() -> View {
    View { epoch: 2, number: 700, leader: NodeId(5) }
}

fn last_normal_view() -> View {
    View { epoch: 2, number: 600, leader: NodeId(4) }
}

fn incarnations() -> IncarnationCounts {
    IncarnationCounts::from([(NodeId(4), 1), (NodeId(300), 900)])
}

fn voters() -> VoterSet {
    let voters = BTreeSet::from([NodeId(4), NodeId(5), NodeId(300)]);
    VoterSet { voters, joining: Some(NodeId(6)), changed_at: 1000 }
}

fn proposal(number: u64) -> ProposalId {
    ProposalId { by: NodeId(7), incarnation: Incarnation(0x0102_0304), number }
}

fn command(number: u64) -> Entry {
    Entry { id: proposal(number), payload: EntryPayload::Command(b"command".to_vec()) }
}

/// Returns one entry of each kind.
fn entries() -> Vec<Entry> {
    let replace = EntryPayload::RemoveVoter { removed: NodeId(4), replacement: Some(NodeId(6)) };
    let remove = EntryPayload::RemoveVoter { removed: NodeId(5), replacement: None };
    vec![
        command(1),
        Entry { id: proposal(2), payload: replace },
        Entry { id: proposal(3), payload: EntryPayload::AddVoter(NodeId(6)) },
        Entry { id: proposal(4), payload: remove },
    ]
}

fn entries_part() -> LogPart {
    LogPart::Entries { first: 1001, entries: entries() }
}

fn snapshot_part() -> LogPart {
    LogPart::Chunk {
        op: 1000,
        total_bytes: 3000,
        checksum: 0xa1a2_a3a4,
        offset: 400,
        bytes: b"chunk".to_vec(),
    }
}

fn snapshot() -> SnapshotBase {
    let proposals = vec![(proposal(8), 999), (proposal(9), 1000)];
    SnapshotBase { op: 1000, voter_set: voters(), proposals, state: b"state".to_vec() }
}

fn heartbeat(status: ReplicaStatus) -> MessageBody {
    MessageBody::Heartbeat(Heartbeat {
        status,
        is_leader: true,
        is_leaderless: false,
        connected: BTreeSet::from([NodeId(4), NodeId(300)]),
        op: 1001,
        commit: 1002,
        persisted: 1003,
        number: 1004,
        voter_set: voters(),
    })
}

/// Returns one message of each kind, with the name of its recorded bytes.
fn messages() -> Vec<(&'static str, Message)> {
    let (nonce, index, voter_set) = (0x0102_0304_0506_0708, LogIndex::new(2, 1001), voters());
    let status_response = MessageBody::StatusResponse {
        nonce,
        requested_at_ms: 1001,
        status: ReplicaStatus::ViewChange,
        own_incarnation: 1002,
        persisted: 1003,
        commit: 1004,
        voter_set: voters(),
    };
    let update = |part| MessageBody::LearnerUpdate {
        index,
        leader: Some(NodeId(5)),
        voter_set: voters(),
        leader_age_ms: 1002,
        part,
    };
    let response =
        |outcome, leader| MessageBody::ProposalResponse { id: proposal(1), outcome, leader };
    let bodies = vec![
        ("heartbeat_without_vote", heartbeat(ReplicaStatus::NonVoter)),
        ("heartbeat_state_lost", heartbeat(ReplicaStatus::WithoutState)),
        ("heartbeat_recovering", heartbeat(ReplicaStatus::Recovering)),
        ("heartbeat_view_change", heartbeat(ReplicaStatus::ViewChange)),
        ("heartbeat_normal", heartbeat(ReplicaStatus::Normal)),
        ("heartbeat_disk_failed", heartbeat(ReplicaStatus::DiskFailed)),
        ("prepare", MessageBody::Prepare { first: 1001, entries: entries(), commit: 1000 }),
        ("prepare_ok", MessageBody::PrepareOk { op: 1001, heartbeat: 1002 }),
        (
            "start_view_change",
            MessageBody::StartViewChange { is_bootstrap: false, voter_set: None },
        ),
        (
            "start_epoch",
            MessageBody::StartViewChange { is_bootstrap: true, voter_set: Some(voter_set.clone()) },
        ),
        (
            "do_view_change",
            MessageBody::DoViewChange {
                last_normal_view: last_normal_view(),
                op: 1001,
                commit: 1000,
                state_lost: true,
            },
        ),
        ("state_transfer_request", MessageBody::GetState { first: 1001, offset: 1002 }),
        ("state_transfer_entries", MessageBody::LogPart(entries_part())),
        ("state_transfer_snapshot_chunk", MessageBody::LogPart(snapshot_part())),
        ("status_request", MessageBody::StatusRequest { nonce, requested_at_ms: 1001 }),
        ("status_response", status_response),
        ("recovery", MessageBody::Recovery { nonce }),
        ("recovery_response", MessageBody::RecoveryResponse { nonce, op: 1001, is_leader: true }),
        ("proposal", MessageBody::Propose { id: proposal(1), payload: Some(command(1).payload) }),
        ("proposal_query", MessageBody::Propose { id: proposal(1), payload: None }),
        ("learner_status_request", MessageBody::LearnerStatusRequest { nonce }),
        ("learner_status_response", MessageBody::LearnerStatusResponse { nonce, index, voter_set }),
        (
            "learner_state_transfer_request",
            MessageBody::GetLearnerState { first: 1001, offset: 1002 },
        ),
        ("learner_poll", MessageBody::LearnerPoll { index, offset: 1001, checksum: 0xa1a2_a3a4 }),
        ("learner_update_empty", update(None)),
        ("learner_update_entries", update(Some(entries_part()))),
        ("learner_update_snapshot_chunk", update(Some(snapshot_part()))),
        (
            "learner_chunk_request",
            MessageBody::SnapshotChunkRequest { offset: 1001, checksum: 0xa1a2_a3a4 },
        ),
        ("proposal_committed", response(Some(ProposalOutcome::Committed(index)), None)),
        ("proposal_rejected", response(Some(ProposalOutcome::Rejected), Some(NodeId(5)))),
        ("proposal_unknown", response(Some(ProposalOutcome::Unknown), Some(NodeId(5)))),
        ("proposal_redirected", response(None, Some(NodeId(5)))),
    ];
    let message = |body| Message { view: view(), incarnation_counts: incarnations(), body };
    bodies.into_iter().map(|(name, body)| (name, message(body))).collect()
}

#[test]
fn messages_have_their_recorded_bytes() {
    let encoded = |(name, message): (_, Message)| (name, message.encode().expect("short"));
    assert_recorded(messages().into_iter().map(encoded));
}

#[test]
fn recorded_messages_decode_to_the_same_values() {
    for (name, message) in messages() {
        assert_eq!(Message::decode(&recorded(name)), Ok(message), "{name}");
    }
}

#[test]
fn messages_go_to_the_voter_or_to_the_learner() {
    let to_learner = [
        "learner_status_request",
        "learner_state_transfer_request",
        "learner_poll",
        "learner_update_empty",
        "learner_update_entries",
        "learner_update_snapshot_chunk",
        "learner_chunk_request",
        "proposal_committed",
        "proposal_rejected",
        "proposal_unknown",
        "proposal_redirected",
    ];
    for (name, message) in messages() {
        let channel = if to_learner.contains(&name) { Channel::Log } else { Channel::Consensus };
        assert_eq!(message.body.channel(), channel, "{name}");
    }
}

/// Returns one record of each kind, with the name of its recorded bytes, in an order in which a voter may write them.
fn records() -> Vec<(&'static str, Record)> {
    let (view, last_normal_view, incarnation_counts) = (view(), last_normal_view(), incarnations());
    let complete = Record::CompleteState {
        view: last_normal_view,
        last_normal_view,
        incarnation_counts: incarnation_counts.clone(),
        commit: 997,
        base: SnapshotBase { op: 996, ..snapshot() },
        start: 996,
        entries: entries(),
    };
    let view_entries = vec![command(11), command(12)];
    vec![
        ("record_complete_state", complete),
        ("record_entries", Record::Entries { first: 1001, entries: entries() }),
        ("record_snapshot", Record::Snapshot(snapshot())),
        (
            "record_promise",
            Record::ViewPromise {
                view,
                last_normal_view,
                incarnation_counts: incarnation_counts.clone(),
            },
        ),
        (
            "record_view_start",
            Record::ViewStart {
                view,
                last_normal_view: view,
                incarnation_counts,
                first: 1003,
                entries: view_entries,
            },
        ),
        ("record_commit", Record::Commit { commit: 1004 }),
    ]
}

/// Returns the state that results from applying [`records`].
fn state() -> State {
    let log_entries = [&entries()[..], &entries()[..2], &[command(11), command(12)]].concat();
    let mut log = Log::with_entries(SnapshotBase { op: 996, ..snapshot() }, 996, log_entries);
    log.rebase(snapshot());
    State {
        view: view(),
        last_normal_view: view(),
        incarnation_counts: incarnations(),
        commit: 1004,
        log,
    }
}

#[test]
fn records_have_their_recorded_bytes() {
    assert_recorded(records().into_iter().map(|(name, record)| (name, encode(&record))));
}

#[test]
fn recorded_records_decode_to_the_same_values() {
    for (name, record) in records() {
        assert_eq!(decode(&recorded(name)), Ok(record), "{name}");
    }
}

fn open(directory: &Path, points: Points) -> Result<(Store, DurableState), StoreError> {
    let disk = Directory::open(directory).expect("a directory of its own");
    let (store, found) = Store::open(disk, points, CLUSTER, VOTER)?;
    assert!(
        found.corruption.is_none() || found.durable == DurableState::default(),
        "{:?}",
        found.corruption
    );
    Ok((store, found.durable))
}

fn files(directory: &Path) -> Vec<String> {
    let entries = fs::read_dir(directory).expect("readable");
    let name = |entry: fs::DirEntry| entry.file_name().to_string_lossy().into_owned();
    let mut names: Vec<String> = entries.map(|entry| name(entry.expect("readable"))).collect();
    names.sort();
    names
}

#[test]
fn a_voter_log_has_its_recorded_bytes() {
    let directory = tempfile::tempdir().expect("made");
    let (mut store, _) = open(directory.path(), Points::none()).expect("new");
    let read_log = || fs::read(directory.path().join("council.log")).expect("its log");
    let empty = read_log();
    for (number, (_, record)) in (41..).zip(records()) {
        store.append(number, &record).expect("written");
    }
    store.sync().expect("synced");
    assert_eq!(files(directory.path()), ["council.log"]);
    assert_recorded([("voter_log_empty", empty), ("voter_log", read_log())]);
}

#[test]
fn a_recorded_voter_log_loads_the_same_state() {
    let directory = tempfile::tempdir().expect("made");
    fs::write(directory.path().join("council.log"), recorded("voter_log")).expect("written");
    let (_, durable) = open(directory.path(), Points::none()).expect("readable");
    assert_eq!(durable, DurableState { last_number: 46, state: Some(state()) });
    let log = durable.state.expect("read").log;
    assert_eq!((log.base(), log.start(), log.op()), (&snapshot(), 996, 1004));
}

#[test]
fn rewritten_and_rejected_logs_have_their_file_names() {
    let rewritten = tempfile::tempdir().expect("made");
    let points = Points::armed(Plan::counting());
    open(tempfile::tempdir().expect("made").path(), points.clone()).expect("new");
    let passed = points.passed();
    let rename = passed.iter().find(|point| point.kind == Kind::Rename).expect("a rename");
    let failing = Points::armed(Plan::one(rename.number, Fault::Io));
    assert!(open(rewritten.path(), failing).is_err());
    assert_eq!(files(rewritten.path()), ["council.new"]);

    let damaged = tempfile::tempdir().expect("made");
    fs::write(damaged.path().join("council.log"), b"something else").expect("written");
    open(damaged.path(), Points::none()).expect("set aside");
    assert_eq!(files(damaged.path()), ["council.aside", "council.log"]);
}

#[test]
fn a_snapshot_has_its_recorded_bytes_and_decodes_to_the_same_value() {
    assert_recorded([("snapshot", encode(&snapshot()))]);
    assert_eq!(decode(&recorded("snapshot")), Ok(snapshot()));
}

fn learner(now: Duration, voter: NodeId) -> Learner {
    Learner::new(
        now,
        LearnerConfig { node_id: NodeId(7), voters: vec![voter], cluster_size: 400, seed: 1 },
    )
}

/// A learner has its copy of the log in memory, and sends it to a voter in the recorded bytes.
#[test]
fn a_learner_copy_has_its_recorded_bytes() {
    let (voter, now) = (NodeId(4), Duration::ZERO);
    let mut learner = learner(now, voter);
    let mut actions = Vec::new();
    let reset = LearnerEvent::Reset { index: LogIndex::new(2, 1000), base: snapshot() };
    learner.handle(now, reset, &mut actions);
    let index = LogIndex::new(2, 1001);
    learner.handle(now, LearnerEvent::Committed { index, entry: command(1) }, &mut actions);
    actions.clear();
    for first in [0, 1001] {
        let body = MessageBody::GetLearnerState { first, offset: 0 };
        let message = Message { view: view(), incarnation_counts: incarnations(), body };
        learner.handle(
            now,
            LearnerEvent::Message { from: voter, incarnation: Incarnation(1), message },
            &mut actions,
        );
    }
    let sent: Vec<Vec<u8>> = actions
        .into_iter()
        .filter_map(|action| match action {
            LearnerAction::Send { message, .. } => Some(message.encode().expect("short")),
            _ => None,
        })
        .collect();
    let names = ["learner_copy_snapshot", "learner_copy_entries"];
    assert_eq!(sent.len(), names.len());
    assert_recorded(names.into_iter().zip(sent));
}

#[test]
fn a_recorded_learner_copy_restores_the_same_log() {
    let (voter, now) = (NodeId(4), Duration::ZERO);
    let mut learner = learner(now, voter);
    let mut actions = Vec::new();
    learner.handle(now, LearnerEvent::Tick, &mut actions);
    for (name, op) in [("learner_copy_snapshot", 1000), ("learner_copy_entries", 1001)] {
        let Ok(Message { body: MessageBody::LogPart(part), .. }) = Message::decode(&recorded(name))
        else {
            panic!("{name} is a part of a log");
        };
        let index = LogIndex::new(2, op);
        let body = MessageBody::LearnerUpdate {
            index,
            leader: Some(voter),
            voter_set: voters(),
            leader_age_ms: 0,
            part: Some(part),
        };
        let message = Message { view: view(), incarnation_counts: incarnations(), body };
        learner.handle(
            now,
            LearnerEvent::Message { from: voter, incarnation: Incarnation(1), message },
            &mut actions,
        );
    }
    let reset = LearnerAction::Reset { index: LogIndex::new(2, 1000), state: snapshot().state };
    let committed = LearnerAction::Committed { index: LogIndex::new(2, 1001), entry: command(1) };
    assert!(actions.contains(&reset) && actions.contains(&committed), "{actions:?}");
}

#[test]
fn texts_of_the_admin_api_are_unchanged() {
    let statuses = [
        (ReplicaStatus::NonVoter, "outside"),
        (ReplicaStatus::WithoutState, "blank"),
        (ReplicaStatus::Recovering, "waking"),
        (ReplicaStatus::ViewChange, "changing"),
        (ReplicaStatus::Normal, "normal"),
        (ReplicaStatus::DiskFailed, "mute"),
    ];
    for (status, shown) in statuses {
        assert_eq!(status.to_string(), shown);
    }
    assert_eq!(LogIndex::new(2, 1001).to_string(), "2.1001");
}

#[test]
fn bounds_of_messages_and_files_are_unchanged() {
    assert_eq!((MAX_VOTERS, MAX_ENTRY_BYTES, MAX_CHUNK_BYTES), (16, 16_384, 16_384));
    assert_eq!((MAX_MESSAGE_BYTES, MAX_SNAPSHOT_BYTES), (20_480, 2_097_152));
    assert_eq!((VERSION, MAX_FILE_BYTES), (1, 67_108_864));
}

#[test]
fn every_recorded_format_is_compared() {
    let (messages, records) = (messages(), records());
    let named = messages.iter().map(|(name, _)| *name).chain(records.iter().map(|(name, _)| *name));
    let logs = ["voter_log_empty", "voter_log"];
    let copies = ["snapshot", "learner_copy_snapshot", "learner_copy_entries"];
    assert_all_recorded(named.chain(logs).chain(copies));
}
