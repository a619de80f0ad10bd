//! A book as bytes, for balancers that were away for long and for the disk; read back without trust.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::entry::CommandId;
use crate::history::{ChangeStatus, History, MAX_RESULTS, MAX_REVISIONS, Origin, ProposalResult};
use crate::node_set::MAX_NODES;
use crate::policy_state::{PolicyState, State};

/// The version of the form.
const VERSION: u8 = 1;
/// The longest image, in bytes. Contents take 4 MiB at most; 1,000 revisions of 1 kB, each another one, make
/// 1.1 MB.
pub const MAX_SNAPSHOT_BYTES: usize = 6 << 20;

#[derive(Serialize, Deserialize)]
struct Snapshot {
    version: u8,
    state: State,
    contents: Vec<Document>,
    /// Number, place of the content, origin, fate.
    revisions: Vec<(u64, u32, Origin, Option<ChangeStatus>)>,
    /// In the order in which they were asked.
    answers: Vec<(CommandId, ProposalResult)>,
}

/// Why bytes are no book.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// Too many.
    #[error("the image of a rule book takes {found} bytes; expected {MAX_SNAPSHOT_BYTES} at most")]
    TooLong {
        /// Bytes.
        found: usize,
    },
    /// Another thing's, or torn.
    #[error("{length} bytes are no image of a rule book ({cause}); learn it from another balancer")]
    Unreadable {
        /// How many.
        length: usize,
        /// What was wrong.
        cause: String,
    },
}

impl PolicyState {
    /// As bytes.
    ///
    /// # Errors
    /// If they would be too many, which the bounds on its parts exclude.
    pub fn image(&self) -> Result<Vec<u8>, SnapshotError> {
        let history = &self.history;
        let contents: Vec<&Arc<Document>> = history.contents().collect();
        let places: BTreeMap<&Arc<Document>, u32> =
            contents.iter().zip(0..).map(|(c, i)| (*c, i)).collect();
        let revisions = history.kept.iter();
        let image = Snapshot {
            version: VERSION,
            state: self.state.clone(),
            contents: contents.iter().map(|c| (***c).clone()).collect(),
            revisions: revisions
                .map(|(n, k)| {
                    (
                        *n,
                        places.get(&k.document).copied().unwrap_or(u32::MAX),
                        k.origin,
                        k.change_status,
                    )
                })
                .collect(),
            answers: history
                .asked
                .iter()
                .filter_map(|id| history.answers.get(id).map(|a| (*id, a.clone())))
                .collect(),
        };
        let bytes = postcard::to_stdvec(&image)
            .map_err(|e| SnapshotError::Unreadable { length: 0, cause: e.to_string() })?;
        let found = bytes.len();
        if found > MAX_SNAPSHOT_BYTES { Err(SnapshotError::TooLong { found }) } else { Ok(bytes) }
    }

    /// From bytes. They may be anything; whoever hands them over vouches for the council's agreement to them.
    ///
    /// # Errors
    /// If they are no book: then nothing of them counts.
    pub fn from_image(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let length = bytes.len();
        if length > MAX_SNAPSHOT_BYTES {
            return Err(SnapshotError::TooLong { found: length });
        }
        let wrong = |cause: &str| SnapshotError::Unreadable { length, cause: cause.into() };
        let (image, rest) =
            postcard::take_from_bytes::<Snapshot>(bytes).map_err(|e| wrong(&e.to_string()))?;
        let Snapshot { version, state, contents, revisions, answers } = image;
        if version != VERSION || !rest.is_empty() {
            return Err(wrong("another version, or more behind it"));
        }
        if revisions.len() > MAX_REVISIONS || answers.len() > MAX_RESULTS {
            return Err(wrong("too many revisions or answers"));
        }
        if contents.iter().any(|c| c.check().is_err()) {
            return Err(wrong("a document that can't be"));
        }
        let mut history = History::default();
        for (number, place, origin, change_status) in revisions {
            let content =
                contents.get(place as usize).ok_or_else(|| wrong("a revision without content"))?;
            history.keep(number, content.clone(), origin, change_status);
        }
        for (id, answer) in answers {
            history.answer(id, answer);
        }
        let members = 1..=MAX_NODES;
        if !members.contains(&state.members) || state.dead.iter().any(|m| *m >= state.members) {
            return Err(wrong("a bank that can't be"));
        }
        let needed = [
            Some(state.in_force),
            state.towards,
            state.next,
            Some(state.newest),
            state.canary.map(|t| t.before),
        ];
        if needed.into_iter().flatten().any(|n| !history.kept.contains_key(&n)) {
            return Err(wrong("the rules in force are not in it"));
        }
        let last = history.kept.keys().next_back().copied().unwrap_or(0);
        if state.newest != last
            || [last, state.generation, state.fallback_generation].iter().any(|n| *n > state.index)
        {
            return Err(wrong("numbers beyond the last entry"));
        }
        Ok(Self::of(state, history))
    }
}
