//! Tests the bounds of the store and the order of eviction.

use super::*;
use crate::time::to_ticks_rounded_up;

fn key_entry(expires_at: u64) -> KeyEntry {
    KeyEntry {
        first_permit_at: 0,
        expires_at: to_ticks_rounded_up(expires_at),
        request: 1,
        requester: NodeId(1),
        cell: Cell(1),
    }
}

#[test]
fn records_are_evicted_in_order_and_never_inside_a_window() {
    let mut store = RecordStore::new(5, 5);
    let put_record = |store: &mut RecordStore, now, session, state, cell, hash| {
        store.update(now, SessionId(session), Some(Cell(hash)), |record| {
            (record.ownership, record.cell) = (state, Cell(cell))
        })
    };
    // The records in the order of use: one with a key, one with the cell of the hash, one with another cell, two
    // tombstones.
    put_record(&mut store, 10, 1, Ownership::Owned, 1, 1).expect("the store has capacity");
    store
        .add_key(10, SessionId(1), IdempotencyKey(1), key_entry(1000))
        .expect("the store has capacity");
    put_record(&mut store, 20, 2, Ownership::Owned, 1, 1).expect("the store has capacity");
    put_record(&mut store, 30, 3, Ownership::Owned, 1, 2).expect("the store has capacity");
    put_record(&mut store, 40, 4, Ownership::Tombstone, 1, 1).expect("the store has capacity");
    put_record(&mut store, 50, 5, Ownership::Tombstone, 1, 1).expect("the store has capacity");
    let mut evicted = Vec::new();
    for session in 10..14 {
        let before: BTreeSet<SessionId> = store.records.keys().copied().collect();
        put_record(&mut store, 100, session, Ownership::Owned, 1, 2)
            .expect("the store has capacity");
        // Retains the new record inside a window, so that the next round does not evict it.
        store.retain_until(100, SessionId(session), 2000);
        evicted.extend(before.into_iter().filter(|s| store.get(*s).is_none()));
    }
    assert_eq!(
        evicted,
        [SessionId(4), SessionId(5), SessionId(2), SessionId(3)],
        "tombstones, records that match the hash, others; within each class the oldest use first"
    );
    assert_eq!(
        put_record(&mut store, 500, 20, Ownership::Owned, 1, 1),
        Err(StoreFull),
        "all records are inside a window"
    );
    assert!(store.key(SessionId(1), IdempotencyKey(1)).is_some());
    put_record(&mut store, 1000, 20, Ownership::Owned, 1, 1)
        .expect("the window of the first record has ended");
    assert_eq!((store.get(SessionId(1)), store.key_count()), (None, 0));
}

#[test]
fn keys_are_bounded_in_total_and_per_session() {
    let mut store = RecordStore::new(100, 20);
    for session in [1, 2] {
        store.update(0, SessionId(session), None, |_| ()).expect("the store has capacity");
    }
    let fill = |store: &mut RecordStore, session, n| {
        (0..n)
            .map(|k| store.add_key(0, SessionId(session), IdempotencyKey(k), key_entry(500)))
            .collect::<Vec<_>>()
    };
    let first = fill(&mut store, 1, MAX_SESSION_KEYS as u64 + 1);
    assert!(
        first[..MAX_SESSION_KEYS].iter().all(Result::is_ok) && first[MAX_SESSION_KEYS].is_err()
    );
    let second = fill(&mut store, 2, 5);
    assert!(second[..4].iter().all(Result::is_ok) && second[4].is_err());
    assert!(
        store.add_key(500, SessionId(2), IdempotencyKey(9), key_entry(900)).is_ok(),
        "the windows of the stored keys have ended"
    );
}
