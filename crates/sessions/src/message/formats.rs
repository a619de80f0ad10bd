//! Compares the encoded messages byte for byte with the pinned ones in `tests/formats/messages.txt`, one case per line.
//! The pinned bytes are data and never computed. A rename in the code must leave them unchanged.

use super::{ClaimRequest, Message, RecordChunk, RouteOutcome, RouteRequest, decode, encode};
use crate::ids::{Cell, Epoch, IdempotencyKey, SessionId};
use crate::session_record::{KeyRecord, SessionRecord};

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
    let (number, claim, session, key, epoch) = (1000, 1001, SESSION, KEY, Epoch(7 << 32));
    let (started_at, offset) = (1002, 128);
    let route =
        |key, is_first| Message::RouteRequest(RouteRequest { number, session, key, is_first });
    let response = |outcome| Message::RouteResponse { number, outcome };
    let claim_request = |has_record| {
        Message::ClaimRequest(ClaimRequest { claim, session, min_epoch: epoch, has_record })
    };
    let chunk = |records, uncertain_for| {
        Message::RecordChunk(RecordChunk { started_at, offset, records, uncertain_for })
    };
    let empty = || session_record(vec![]);
    let with_key = || session_record(vec![key_record()]);
    vec![
        ("route_request", route(None, false)),
        ("route_request_first_with_key", route(Some(key), true)),
        ("route_to_pod", response(RouteOutcome::Permit { cell: Cell(302), epoch, cache_ms: 500 })),
        ("route_busy", response(RouteOutcome::Wait { ms: 400 })),
        ("route_full", response(RouteOutcome::Full)),
        ("attempt_not_run", Message::AttemptNotRun { number, session, key }),
        ("replicate", Message::Replicate { number, session, key: key_record() }),
        ("replicate_ack", Message::ReplicateAck { number }),
        ("revoke", Message::Revoke { session, epoch }),
        ("revoke_ack", Message::RevokeAck { session, epoch }),
        ("claim_request", claim_request(false)),
        ("claim_request_with_record", claim_request(true)),
        ("no_record", Message::NoRecord { claim, min_epoch: Epoch(8 << 32), record: empty() }),
        ("transfer", Message::Transfer { claim, record: with_key() }),
        ("transfer_accepted", Message::TransferAck { session, epoch, is_accepted: true }),
        ("transfer_rejected", Message::TransferAck { session, epoch, is_accepted: false }),
        ("fetch_records", Message::FetchRecords { started_at, offset }),
        ("record_chunk", chunk(vec![with_key()], None)),
        ("last_chunk", chunk(vec![], Some(11_000))),
    ]
}

fn bytes_of(digits: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&digits[at..at + 2], 16).expect("two digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

#[test]
fn encoded_messages_equal_the_pinned_bytes() {
    let data: Vec<&str> = include_str!("../../tests/formats/messages.txt").lines().collect();
    let hex = |bytes: Vec<u8>| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    let written =
        cases().into_iter().map(|(case, m)| format!("{case}: {}", hex(encode(TABLE, &m))));
    assert_eq!(written.collect::<Vec<_>>(), data);
    for (line, (case, message)) in data.into_iter().zip(cases()) {
        let (_, digits) = line.split_once(": ").expect("`case: hex`");
        assert_eq!(decode(&bytes_of(digits)), Ok((TABLE, message)), "{case}");
    }
}
