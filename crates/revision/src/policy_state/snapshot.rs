//! Snapshots of the policy state as bytes, for balancers that are far behind and for the disk. Decoding checks the
//! content and does not trust it.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::PolicyState;
use super::replicated::ReplicatedState;
use crate::document::Document;
use crate::entry::CommandId;
use crate::history::{ChangeStatus, History, MAX_RESULTS, MAX_REVISIONS, Origin, ProposalResult};
use crate::node_set::MAX_NODES;

/// Version of the snapshot format.
const VERSION: u8 = 1;
/// Maximum length of a snapshot, in bytes. The contents of revisions take 4 MiB at most.
pub const MAX_SNAPSHOT_BYTES: usize = 6 << 20;

/// A snapshot as it is encoded.
#[derive(Serialize, Deserialize)]
struct Snapshot {
    version: u8,
    state: ReplicatedState,
    /// The contents of all revisions, each once.
    contents: Vec<Document>,
    revisions: Vec<StoredRevision>,
    /// The results, in the order in which the commands were applied.
    results: Vec<StoredResult>,
}

#[derive(Serialize, Deserialize)]
struct StoredRevision {
    number: u64,
    /// Index of the revision's content in [`Snapshot::contents`].
    content: u32,
    origin: Origin,
    final_status: Option<ChangeStatus>,
}

#[derive(Serialize, Deserialize)]
struct StoredResult {
    id: CommandId,
    result: ProposalResult,
}

/// An error while encoding or decoding a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The snapshot is too long.
    #[error("the image of a rule book takes {found} bytes; expected {MAX_SNAPSHOT_BYTES} at most")]
    TooLong {
        /// Length of the snapshot, in bytes.
        found: usize,
    },
    /// The bytes hold no snapshot, or an invalid one.
    #[error("{length} bytes are no image of a rule book ({cause}); learn it from another balancer")]
    Unreadable {
        /// Number of bytes.
        length: usize,
        /// The error of the decoder or encoder.
        cause: String,
    },
}

impl PolicyState {
    /// Encodes the state.
    ///
    /// # Errors
    /// If the encoded state takes more than [`MAX_SNAPSHOT_BYTES`], which the bounds of its parts rule out.
    pub fn to_snapshot(&self) -> Result<Vec<u8>, SnapshotError> {
        let contents: Vec<&Arc<Document>> = self.history.contents().collect();
        let snapshot = Snapshot {
            version: VERSION,
            state: self.state.clone(),
            contents: contents.iter().map(|content| (***content).clone()).collect(),
            revisions: stored_revisions(&self.history, &contents),
            results: self
                .history
                .results()
                .map(|(id, result)| StoredResult { id, result: result.clone() })
                .collect(),
        };
        let bytes = postcard::to_stdvec(&snapshot)
            .map_err(|e| SnapshotError::Unreadable { length: 0, cause: e.to_string() })?;
        let found = bytes.len();
        if found > MAX_SNAPSHOT_BYTES { Err(SnapshotError::TooLong { found }) } else { Ok(bytes) }
    }

    /// Decodes a state from arbitrary bytes. The caller vouches that the cluster agreed on this state.
    ///
    /// # Errors
    /// If the bytes hold no valid state.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let length = bytes.len();
        if length > MAX_SNAPSHOT_BYTES {
            return Err(SnapshotError::TooLong { found: length });
        }
        decode(bytes).map_err(|cause| SnapshotError::Unreadable { length, cause })
    }
}

fn stored_revisions(history: &History, contents: &[&Arc<Document>]) -> Vec<StoredRevision> {
    let indices: BTreeMap<&Arc<Document>, u32> =
        contents.iter().zip(0..).map(|(content, index)| (*content, index)).collect();
    let stored = history.revisions().map(|(number, revision)| StoredRevision {
        number,
        content: indices.get(&revision.document).copied().unwrap_or(u32::MAX),
        origin: revision.origin,
        final_status: revision.final_status,
    });
    stored.collect()
}

/// Decodes and checks a snapshot; the error describes the cause.
fn decode(bytes: &[u8]) -> Result<PolicyState, String> {
    let (snapshot, rest) =
        postcard::take_from_bytes::<Snapshot>(bytes).map_err(|error| error.to_string())?;
    if snapshot.version != VERSION || !rest.is_empty() {
        return Err("another version, or more behind it".into());
    }
    let Snapshot { state, contents, revisions, results, .. } = snapshot;
    let history = decode_history(&contents, revisions, results)?;
    check_state(&state, &history)?;
    Ok(PolicyState::from_parts(state, history))
}

fn decode_history(
    contents: &[Document],
    revisions: Vec<StoredRevision>,
    results: Vec<StoredResult>,
) -> Result<History, String> {
    if revisions.len() > MAX_REVISIONS || results.len() > MAX_RESULTS {
        return Err("too many revisions or answers".into());
    }
    if contents.iter().any(|content| content.check().is_err()) {
        return Err("a document that can't be".into());
    }
    let mut history = History::default();
    for StoredRevision { number, content, origin, final_status } in revisions {
        let content = contents.get(content as usize).ok_or("a revision without content")?;
        history.retain(number, content.clone(), origin, final_status);
    }
    for StoredResult { id, result } in results {
        history.record_result(id, result);
    }
    Ok(history)
}

fn check_state(state: &ReplicatedState, history: &History) -> Result<(), String> {
    let is_valid_size = (1..=MAX_NODES).contains(&state.members);
    if !is_valid_size || state.dead.iter().any(|node| *node >= state.members) {
        return Err("a bank that can't be".into());
    }
    if state.referenced_revisions().any(|number| history.get(number).is_none()) {
        return Err("the rules in force are not in it".into());
    }
    let last = history.revisions().next_back().map_or(0, |(number, _)| number);
    let numbers = [last, state.generation, state.fallback_generation];
    if state.newest != last || numbers.iter().any(|number| *number > state.index) {
        return Err("numbers beyond the last entry".into());
    }
    Ok(())
}
