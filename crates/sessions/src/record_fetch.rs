//! Fetches the records that the other balancers of the zone have for a new owner, after a change of the ownership
//! table. A session without a local record can only be owned after all these balancers have reported their records.

use hollowpaddle_peer_transport::NodeId;

use crate::ids::{SessionId, UNKNOWN_CELL};
use crate::message::{MAX_CHUNK_BYTES, Message, RecordChunk};
use crate::session_record::SessionRecord;
use crate::state::{Context, Sessions, TRANSFER_RETRY_MS, Timer};

/// The estimated size of a record without keys in a chunk, in bytes.
const RECORD_BYTES: usize = 30;
/// The estimated size of a key in a chunk, in bytes.
const KEY_BYTES: usize = 20;
/// The size that is reserved in a chunk for the last record, in bytes.
const RESERVED_BYTES: usize = 100;

impl Sessions {
    /// Asks another balancer for its next records, repeatedly until it answers.
    pub(crate) fn retry_fetch(&mut self, from: NodeId, ctx: &mut Context) {
        let Some(fetch) = self.fetches.get(&from) else { return };
        let (started_at, offset) = (fetch.started_at, fetch.offset);
        self.send(from, Message::FetchRecords { started_at, offset }, ctx);
        self.timers.set(ctx.now.saturating_add(2 * TRANSFER_RETRY_MS), Timer::Fetch(from));
    }

    /// Answers a request for the records of another balancer's sessions, from an offset on.
    pub(crate) fn on_fetch_records(
        &mut self,
        from: NodeId,
        started_at: u64,
        offset: u32,
        ctx: &mut Context,
    ) {
        if self.table.zone_of(from) != self.zone() {
            return;
        }
        let sessions = self.outbox.get(&from).map_or(&[][..], Vec::as_slice);
        let Some(remaining) = sessions.get(offset as usize..) else { return };
        let records = self.next_records(remaining, ctx.now);
        // The receiver may still reject a transfer that began under an older table, and the record then stays here. The
        // last chunk is therefore sent only after all these transfers have ended.
        let version = self.table.version;
        let is_settled = self.outgoing.values().all(|t| t.table_version == version);
        let is_last = records.len() == remaining.len() && is_settled;
        let uncertain_until = self.lost_owners.max_uncertain_until(self.retention_ms);
        let uncertain_for = is_last.then(|| uncertain_until.saturating_sub(ctx.now));
        let chunk = RecordChunk { started_at, offset, records, uncertain_for };
        self.send(from, Message::RecordChunk(chunk), ctx);
    }

    /// Returns the records of the first of these sessions, as many as fit in a chunk.
    fn next_records(&self, sessions: &[SessionId], now: u64) -> Vec<SessionRecord> {
        let (mut records, mut bytes) = (Vec::new(), 0);
        for session in sessions {
            let record = self.known_record(*session, now);
            bytes += RECORD_BYTES + KEY_BYTES * record.keys.len();
            records.push(record);
            if bytes > MAX_CHUNK_BYTES - RESERVED_BYTES {
                break;
            }
        }
        records
    }

    /// Returns all that this balancer knows of a session as a previous owner, a sender and a replica.
    fn known_record(&self, session: SessionId, now: u64) -> SessionRecord {
        let mut record = self.store.export(now, session);
        for (key, entry) in self.replicated_keys.of_session(session) {
            let replicated = entry.to_record(key, now);
            match record.keys.iter_mut().find(|known| known.key == key) {
                Some(known) => {
                    known.expires_in = known.expires_in.max(replicated.expires_in);
                    known.first_permit_ago =
                        known.first_permit_ago.max(replicated.first_permit_ago);
                    if known.cell != replicated.cell {
                        known.cell = UNKNOWN_CELL;
                    }
                }
                None => record.keys.push(replicated),
            }
        }
        record.truncate_keys();
        record
    }

    /// Imports the records that another balancer has for this one.
    pub(crate) fn on_record_chunk(&mut self, from: NodeId, chunk: &RecordChunk, ctx: &mut Context) {
        let Some(fetch) = self.fetches.get_mut(&from) else { return };
        if (fetch.started_at, fetch.offset) != (chunk.started_at, chunk.offset) {
            return;
        }
        let count = u32::try_from(chunk.records.len()).unwrap_or(u32::MAX);
        fetch.offset = chunk.offset.saturating_add(count);
        for record in chunk.records.iter().filter(|record| record.is_informative()) {
            if !self.import(ctx.now, chunk.started_at, record) {
                // The store has no capacity for the record, so every session without a record is uncertain.
                let uncertain_until = &mut self.lost_owners.all_uncertain_until;
                *uncertain_until =
                    (*uncertain_until).max(ctx.now.saturating_add(self.retention_ms));
            }
        }
        let Some(uncertain_for) = chunk.uncertain_for else {
            if !chunk.records.is_empty() {
                self.retry_fetch(from, ctx);
            }
            return;
        };
        self.fetches.remove(&from);
        if let Some(uncertain_until) = &mut self.initial_uncertain_until {
            *uncertain_until = (*uncertain_until).min(ctx.now.saturating_add(uncertain_for));
        }
        self.finish_fetching(ctx);
    }

    /// Takes ownership of the claimed sessions, once all other balancers of the zone have reported their records.
    pub(crate) fn finish_fetching(&mut self, ctx: &mut Context) {
        if !self.fetches.is_empty() {
            return;
        }
        // A process that has just started knows of no lost owners itself, so the reports of the others apply.
        if let Some(reported) = self.initial_uncertain_until.take() {
            let uncertain_until = &mut self.lost_owners.all_uncertain_until;
            *uncertain_until = (*uncertain_until).min(reported);
        }
        let sessions: Vec<SessionId> = self.claims.keys().copied().collect();
        for session in sessions {
            self.try_own(session, ctx);
        }
    }
}
