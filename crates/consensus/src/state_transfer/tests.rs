//! Bounds on the memory that a source of a state transfer can make a node use.

use hollowpaddle_peer_transport::NodeId;

use super::StateTransfer;
use crate::entry::{Entry, EntryPayload, MAX_ENTRY_BYTES, ProposalId};
use crate::log::{MAX_LOG_BYTES, MAX_LOG_ENTRIES};
use crate::message::{LogPart, View};

fn entry(bytes: usize) -> Entry {
    Entry { id: ProposalId::default(), payload: EntryPayload::Command(vec![0; bytes]) }
}

/// Adds entries of this size, one in each part, until one is rejected. Returns the number and the total bytes of the
/// accepted entries.
fn taken(bytes: usize) -> (usize, usize) {
    let mut transfer = StateTransfer::new(NodeId(1), View::default(), 1, u64::MAX);
    let mut number = 0;
    while transfer.add(LogPart::Entries { first: number as u64 + 1, entries: vec![entry(bytes)] }) {
        number += 1;
    }
    (number, number * bytes)
}

// Guards against a source that sends the largest number of entries at their largest size, which is 128 MiB.
#[test]
fn entries_of_a_transfer_are_bounded_in_bytes_and_in_number() {
    let (number, bytes) = taken(MAX_ENTRY_BYTES);
    assert!(bytes <= MAX_LOG_BYTES + MAX_ENTRY_BYTES, "{bytes} bytes in {number} entries");
    assert!(
        bytes >= MAX_LOG_BYTES - MAX_ENTRY_BYTES,
        "a log of the largest size is accepted: {bytes} bytes"
    );
    assert_eq!(taken(1).0, MAX_LOG_ENTRIES);
}
