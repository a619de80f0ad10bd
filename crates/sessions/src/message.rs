//! Messages between balancers about sessions, and their encoding with `postcard`. Each encoded message begins with the
//! version of the ownership table that the sender uses.

use serde::{Deserialize, Serialize};

use crate::ids::{Cell, Epoch, IdempotencyKey, SessionId};
use crate::session_record::{KeyRecord, MAX_RECORD_KEYS, SessionRecord};

/// The largest size of a message, in bytes. All messages fit in a datagram, except those that are sent after a change
/// of the ownership table and records with more than eight keys.
pub const MAX_MESSAGE_BYTES: usize = 1600;
/// The largest size of the records in a chunk, in bytes.
pub(crate) const MAX_CHUNK_BYTES: usize = 900;
/// The largest number of records in a chunk.
const MAX_CHUNK_RECORDS: usize = 128;
/// The upper bound to which spans in messages are clamped, in ms, so that a wrong span from a faulty peer does not
/// block a key for longer.
const MAX_SPAN_MS: u64 = 120_000;

/// Asks the owner in the same zone for the route of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct RouteRequest {
    /// The number of the request at the sender.
    pub number: u32,
    pub session: SessionId,
    /// The idempotency key of the request, if it has one.
    pub key: Option<IdempotencyKey>,
    /// Whether the key was never sent before.
    pub is_first: bool,
}

/// The owner's answer to a [`RouteRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) enum RouteOutcome {
    /// Send the request to this cell under this epoch. The record may be cached for `cache_ms`.
    Permit { cell: Cell, epoch: Epoch, cache_ms: u32 },
    /// Do not send the request before this time has passed.
    Wait { ms: u64 },
    /// The record store has no capacity for another key.
    Full,
}

/// Asks the owner in another zone for the ownership of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct ClaimRequest {
    /// The number of the claim at the sender.
    pub claim: u32,
    pub session: SessionId,
    /// The epoch of the new ownership has to be above this one.
    pub min_epoch: Epoch,
    /// Whether the sender has already received the record and only lacks answers from other zones.
    pub has_record: bool,
}

/// The records that a previous owner has for a new one, from an offset on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct RecordChunk {
    /// The `started_at` of the [`Message::FetchRecords`] that the chunk answers.
    pub started_at: u64,
    /// The `offset` of the [`Message::FetchRecords`] that the chunk answers.
    pub offset: u32,
    pub records: Vec<SessionRecord>,
    /// In the last chunk, for how long, in ms, keys that were lost together with their owners may still be inside their
    /// windows. `None` in all other chunks.
    pub uncertain_for: Option<u64>,
}

/// A message between balancers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Asks the owner in the same zone for the route of a request.
    RouteRequest(RouteRequest),
    /// Answers the route request of this number.
    RouteResponse { number: u32, outcome: RouteOutcome },
    /// Notifies the owner that the attempt that was permitted for this request was not executed.
    AttemptNotRun { number: u32, session: SessionId, key: IdempotencyKey },
    /// Asks another balancer of the zone to store a key, before the owner itself sends the keyed request.
    Replicate { number: u32, session: SessionId, key: KeyRecord },
    /// Confirms that the key is stored.
    ReplicateAck { number: u32 },
    /// Revokes the permits and cached records of a holder.
    Revoke { session: SessionId, epoch: Epoch },
    /// Confirms that the revoked permits and records are not used any more, and that no request that was routed by them
    /// is still to be sent.
    RevokeAck { session: SessionId, epoch: Epoch },
    /// Claims the ownership of a session from the owner in another zone.
    ClaimRequest(ClaimRequest),
    /// Answers a claim of a session that the receiver of the claim does not own, with the receiver's knowledge of the
    /// session. The epoch of the new ownership has to be above `min_epoch`.
    NoRecord { claim: u32, min_epoch: Epoch, record: SessionRecord },
    /// Transfers a session that the receiver of the claim owned to the claimant, under the record's epoch.
    Transfer { claim: u32, record: SessionRecord },
    /// Accepts a transfer, or rejects it, so that the session has to be claimed again.
    TransferAck { session: SessionId, epoch: Epoch, is_accepted: bool },
    /// Asks all balancers of the zone, after a change of the ownership table, for the records that they have for the
    /// sender, from this offset on. `started_at` is the moment at which the fetch began, by the sender's clock.
    FetchRecords { started_at: u64, offset: u32 },
    /// Answers a request for records.
    RecordChunk(RecordChunk),
}

/// The reason why a message cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The message has this many bytes, more than [`MAX_MESSAGE_BYTES`].
    #[error(
        "session message of {0} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes; message dropped"
    )]
    TooLong(usize),
    /// The message is truncated, of another version, or followed by this many bytes.
    #[error(
        "session message is truncated, of another version, or has {0} trailing bytes; message dropped"
    )]
    Malformed(usize),
    /// A list in the message has this many entries, more than any balancer writes.
    #[error("session message lists {0} records or keys, which exceeds the limit; message dropped")]
    TooMany(usize),
}

/// Encodes a message, preceded by the version of the sender's ownership table.
pub(crate) fn encode(version: u64, message: &Message) -> Vec<u8> {
    postcard::to_allocvec(&(version, message))
        .expect("messages hold nothing that postcard cannot encode")
}

/// Decodes a message and the version of the sender's ownership table, and clamps the message's spans to
/// [`MAX_SPAN_MS`].
///
/// # Errors
///
/// Returns an error if the message or a list in it is too long, or if the bytes are not exactly one message.
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
