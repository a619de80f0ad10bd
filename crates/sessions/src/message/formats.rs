//! Pins the messages byte for byte. The expected bytes are data under `tests/formats/`, one case a line, never computed: a
//! rename in the code must leave them as they are.

use super::{KeyRecord, Message, RouteOutcome, SessionRecord, read, write};
use crate::{Cell, Epoch, IdempotencyKey, SessionId};

/// The version of the ownership table in each case.
const TABLE: u64 = 300;
const SESSION: SessionId = SessionId(0x1_0000);
const KEY: IdempotencyKey = IdempotencyKey(0x2_0000);

fn key_record() -> KeyRecord {
    KeyRecord { key: KEY, cell: Cell(301), first_permit_ago: 9_000, expires_in: 13_000 }
}

fn session_record(keys: Vec<KeyRecord>) -> SessionRecord {
    SessionRecord {
        session: SESSION,
        epoch: Epoch(7 << 32),
        cell: Cell(302),
        uncertain_for: 12_000,
        keys,
    }
}

fn cases() -> Vec<(&'static str, Message)> {
    let (n, ask, session, key, epoch) = (1000, 1001, SESSION, KEY, Epoch(7 << 32));
    let (stamp, at) = (1002, 128);
    let answer = |outcome| Message::RouteResponse { n, outcome };
    let empty = || session_record(vec![]);
    let with_key = || session_record(vec![key_record()]);
    vec![
        ("route_request", Message::RouteRequest { n, session, key: None, first: false }),
        (
            "route_request_first_with_key",
            Message::RouteRequest { n, session, key: Some(key), first: true },
        ),
        ("route_to_pod", answer(RouteOutcome::Send { cell: Cell(302), epoch, copy: 500 })),
        ("route_busy", answer(RouteOutcome::Busy { ms: 400 })),
        ("route_full", answer(RouteOutcome::Full)),
        ("attempt_not_run", Message::AttemptNotRun { n, session, key }),
        ("replicate", Message::Replicate { n, session, note: key_record() }),
        ("replicate_ack", Message::ReplicateAck { n }),
        ("revoke", Message::Revoke { session, epoch }),
        ("revoke_ack", Message::RevokeAck { session, epoch }),
        ("claim_request", Message::ClaimRequest { ask, session, floor: epoch, arrived: false }),
        (
            "claim_request_with_record",
            Message::ClaimRequest { ask, session, floor: epoch, arrived: true },
        ),
        ("no_record", Message::NoRecord { ask, floor: Epoch(8 << 32), session_record: empty() }),
        ("transfer", Message::Transfer { ask, session_record: with_key() }),
        ("transfer_accepted", Message::TransferAck { session, epoch, taken: true }),
        ("transfer_rejected", Message::TransferAck { session, epoch, taken: false }),
        ("fetch_records", Message::FetchRecords { stamp, at }),
        (
            "record_chunk",
            Message::RecordChunk { stamp, at, session_records: vec![with_key()], worst_in: None },
        ),
        (
            "last_chunk",
            Message::RecordChunk { stamp, at, session_records: vec![], worst_in: Some(11_000) },
        ),
    ]
}

fn bytes_of(digits: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&digits[at..at + 2], 16).expect("two digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

#[test]
fn messages_keep_their_bytes() {
    let data: Vec<&str> = include_str!("../../tests/formats/messages.txt").lines().collect();
    let hex = |bytes: Vec<u8>| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    let written = cases().into_iter().map(|(case, m)| format!("{case}: {}", hex(write(TABLE, &m))));
    assert_eq!(written.collect::<Vec<_>>(), data);
    for (line, (case, message)) in data.into_iter().zip(cases()) {
        let (_, digits) = line.split_once(": ").expect("`case: hex`");
        assert_eq!(read(&bytes_of(digits)), Ok((TABLE, message)), "{case}");
    }
}
