//! Messages between balancers about sessions, and their encoding: `postcard`, each message after the version of the
//! ownership table that its sender acts on.

use serde::{Deserialize, Serialize};

use crate::ids::{Cell, Epoch, IdempotencyKey, SessionId};
use crate::session_record::{KeyRecord, MAX_RECORD_KEYS, SessionRecord};

/// The longest message, in bytes. All messages but those of a change of the ownership table, and records with more than
/// eight keys, fit a datagram.
pub const MAX_MESSAGE_BYTES: usize = 1600;
/// The bytes of a chunk that its records take.
pub(crate) const MAX_CHUNK_BYTES: usize = 900;
/// The most records in a chunk.
const MAX_CHUNK_RECORDS: usize = 128;
/// Spans in messages are cut to this, in ms: a wrong one from a faulty peer blocks a key for so long, not for ever.
const MAX_SPAN_MS: u64 = 120_000;

/// Asks the owner in the same zone where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct RouteRequest {
    /// The number of the request at the sender.
    pub number: u32,
    pub session: SessionId,
    /// Its idempotency key, if it has one.
    pub key: Option<IdempotencyKey>,
    /// Whether the key was never sent before.
    pub is_first: bool,
}

/// The owner's answer to a [`RouteRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) enum RouteOutcome {
    /// Send it to this cell under this ownership. The record may be cached for so long, in ms.
    Permit { cell: Cell, epoch: Epoch, cache_ms: u32 },
    /// Do not send it before this time has passed.
    Wait { ms: u64 },
    /// There is no room for another key.
    Full,
}

/// Asks the owner in another zone for the ownership of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct ClaimRequest {
    /// The number of the claim at the sender.
    pub claim: u32,
    pub session: SessionId,
    /// The new ownership has to be above this epoch.
    pub min_epoch: Epoch,
    /// The sender has received the record already and lacks only this answer.
    pub has_record: bool,
}

/// The records that a former owner has for a new one, from an offset on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct RecordChunk {
    /// As in [`Message::FetchRecords`].
    pub started_at: u64,
    /// As in [`Message::FetchRecords`].
    pub offset: u32,
    pub records: Vec<SessionRecord>,
    /// In the last chunk: for how long, in ms, keys may matter that were lost together with their owners.
    pub uncertain_for: Option<u64>,
}

/// A message between balancers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) enum Message {
    /// To the owner in the same zone: where does this request go?
    RouteRequest(RouteRequest),
    /// The owner's answer to the request of this number.
    RouteResponse { number: u32, outcome: RouteOutcome },
    /// To the owner: the attempt that was permitted for this request was not executed.
    AttemptNotRun { number: u32, session: SessionId, key: IdempotencyKey },
    /// To another balancer of the zone, before the owner itself sends a keyed request: remember the key.
    Replicate { number: u32, session: SessionId, key: KeyRecord },
    /// The key is remembered.
    ReplicateAck { number: u32 },
    /// To holders of permits and cached records: use them no more.
    Revoke { session: SessionId, epoch: Epoch },
    /// They are not used any more, and nothing that was routed under them is still to be sent.
    RevokeAck { session: SessionId, epoch: Epoch },
    /// To the owners in all other zones: the session is here now.
    ClaimRequest(ClaimRequest),
    /// The receiver of the claim does not own the session; what it knows of it. The new ownership has to be above
    /// `min_epoch`.
    NoRecord { claim: u32, min_epoch: Epoch, record: SessionRecord },
    /// The receiver of the claim owned the session, which now belongs to the claimant under the record's epoch.
    Transfer { claim: u32, record: SessionRecord },
    /// The transfer is accepted, or rejected and to be claimed anew.
    TransferAck { session: SessionId, epoch: Epoch, is_accepted: bool },
    /// To all balancers of the zone after a change of the ownership table: which records do you have for me, from this
    /// offset on?
    FetchRecords { started_at: u64, offset: u32 },
    /// The answer.
    RecordChunk(RecordChunk),
}

/// Why a message cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// It is longer than any message.
    #[error(
        "a word about vans of {0} bytes was to be read; the longest has {MAX_MESSAGE_BYTES}: it is dropped"
    )]
    TooLong(usize),
    /// It is no message of this version, is cut short, or has so many bytes behind it.
    #[error(
        "a word about vans is torn, of another version, or has {0} bytes behind it: it is dropped"
    )]
    Malformed(usize),
    /// A list in it is longer than any balancer writes.
    #[error(
        "a word about vans names {0} records or keys; no balancer names as many: it is dropped"
    )]
    TooMany(usize),
}

/// Encodes a message under a version of the ownership table.
pub(crate) fn encode(version: u64, message: &Message) -> Vec<u8> {
    postcard::to_allocvec(&(version, message))
        .expect("messages hold nothing that postcard cannot encode")
}

/// Decodes a message and the version of its sender's ownership table, and cuts its spans to [`MAX_SPAN_MS`].
pub(crate) fn decode(bytes: &[u8]) -> Result<(u64, Message), MessageError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(MessageError::TooLong(bytes.len()));
    }
    let ((version, mut message), rest) = postcard::take_from_bytes::<(u64, Message)>(bytes)
        .map_err(|_| MessageError::Malformed(0))?;
    if !rest.is_empty() {
        return Err(MessageError::Malformed(rest.len()));
    }
    check_bounds(&mut message)?;
    Ok((version, message))
}

fn check_bounds(message: &mut Message) -> Result<(), MessageError> {
    match message {
        Message::NoRecord { record, .. } | Message::Transfer { record, .. } => check_record(record),
        Message::RecordChunk(chunk) => {
            if chunk.records.len() > MAX_CHUNK_RECORDS {
                return Err(MessageError::TooMany(chunk.records.len()));
            }
            chunk.records.iter_mut().try_for_each(check_record)?;
            chunk.uncertain_for.iter_mut().for_each(clamp_span);
            Ok(())
        }
        Message::RouteResponse { outcome: RouteOutcome::Wait { ms }, .. } => {
            clamp_span(ms);
            Ok(())
        }
        Message::Replicate { key, .. } => {
            clamp_span(&mut key.expires_in);
            Ok(())
        }
        _ => Ok(()),
    }
}

fn check_record(record: &mut SessionRecord) -> Result<(), MessageError> {
    clamp_span(&mut record.uncertain_for);
    record.keys.iter_mut().for_each(|key| clamp_span(&mut key.expires_in));
    if record.keys.len() > MAX_RECORD_KEYS {
        return Err(MessageError::TooMany(record.keys.len()));
    }
    Ok(())
}

fn clamp_span(span: &mut u64) {
    *span = (*span).min(MAX_SPAN_MS);
}

#[cfg(test)]
mod formats;
#[cfg(test)]
mod tests;
