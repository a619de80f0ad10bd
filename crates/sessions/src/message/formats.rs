//! Pins the messages byte for byte. The expected bytes are data under `tests/formats/`, one case a line, never computed: a
//! rename in the code must leave them as they are.

use super::{Estate, KeyWord, Message, Said, read, write};
use crate::{Epoch, Key, Pod, Sid};

/// The version of the ownership table in each case.
const TABLE: u64 = 300;
const SESSION: Sid = Sid(0x1_0000);
const KEY: Key = Key(0x2_0000);

fn key_record() -> KeyWord {
    KeyWord { key: KEY, pod: Pod(301), first_ago: 9_000, free_in: 13_000 }
}

fn session_record(keys: Vec<KeyWord>) -> Estate {
    Estate { sid: SESSION, epoch: Epoch(7 << 32), pod: Pod(302), blind_in: 12_000, keys }
}

fn cases() -> Vec<(&'static str, Message)> {
    let (n, ask, sid, key, epoch) = (1000, 1001, SESSION, KEY, Epoch(7 << 32));
    let (stamp, at) = (1002, 128);
    let answer = |said| Message::Answer { n, said };
    let empty = || session_record(vec![]);
    let with_key = || session_record(vec![key_record()]);
    vec![
        ("route_request", Message::Ask { n, sid, key: None, first: false }),
        ("route_request_first_with_key", Message::Ask { n, sid, key: Some(key), first: true }),
        ("route_to_pod", answer(Said::Go { pod: Pod(302), epoch, copy: 500 })),
        ("route_busy", answer(Said::Busy { ms: 400 })),
        ("route_full", answer(Said::Full)),
        ("attempt_not_run", Message::Unran { n, sid, key }),
        ("replicate", Message::Keep { n, sid, note: key_record() }),
        ("replicate_ack", Message::Kept { n }),
        ("revoke", Message::Withdraw { sid, epoch }),
        ("revoke_ack", Message::Withdrawn { sid, epoch }),
        ("claim_request", Message::Want { ask, sid, floor: epoch, arrived: false }),
        ("claim_request_with_record", Message::Want { ask, sid, floor: epoch, arrived: true }),
        ("no_record", Message::Nothing { ask, floor: Epoch(8 << 32), estate: empty() }),
        ("transfer", Message::Hand { ask, estate: with_key() }),
        ("transfer_accepted", Message::Got { sid, epoch, taken: true }),
        ("transfer_rejected", Message::Got { sid, epoch, taken: false }),
        ("fetch_records", Message::Pull { stamp, at }),
        ("record_chunk", Message::Chunk { stamp, at, estates: vec![with_key()], worst_in: None }),
        ("last_chunk", Message::Chunk { stamp, at, estates: vec![], worst_in: Some(11_000) }),
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
