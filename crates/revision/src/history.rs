//! Revisions that are kept, their contents shared, and answers by the names of their questions. What an entry
//! means is the book's to say.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::canary::RollbackCause;
use crate::document::Document;
use crate::entry::CommandId;
use crate::policy_state::Refusal;

/// Revisions that are kept. Beyond, the oldest can't be gone back to.
pub const MAX_REVISIONS: usize = 1000;
/// Bytes of all their contents together, shared ones once: what a snapshot takes at most, less a bit. Beyond,
/// the oldest can't be gone back to either.
pub const MAX_CONTENT_BYTES: usize = 4 << 20;
/// Answers that are kept. Whoever asks later than that many others is told that nobody remembers.
pub const MAX_RESULTS: usize = 4096;

/// How a revision came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Origin {
    /// The bank began with it.
    Bootstrap,
    /// Somebody wrote it.
    Proposed(CommandId),
    /// Somebody went back to another.
    Rollback(CommandId, u64),
    /// Another was taken back from its trial.
    AutomaticRollback(u64, RollbackCause),
}

/// As the admin API and the rehearsals' reports print it.
impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bootstrap => write!(f, "founding"),
            Self::Proposed(CommandId(id)) => write!(f, "proposed(id({id}))"),
            Self::Rollback(CommandId(id), to) => write!(f, "rollback(id({id}), {to})"),
            Self::AutomaticRollback(revision, RollbackCause::NotConfirmed) => {
                write!(f, "takenback({revision}, notconfirmed)")
            }
            Self::AutomaticRollback(revision, RollbackCause::ServedWorthFell(by)) => {
                write!(f, "takenback({revision}, worthfell({by}))")
            }
        }
    }
}

/// What became of a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ChangeStatus {
    /// It is the next.
    Pending,
    /// The step to it is under way: what it forbids is forbidden.
    Restricting,
    /// It is in force.
    InForce,
    /// It was in force, from this stage on.
    Superseded(u64),
    /// It never came into force: this later one took its place.
    Skipped(u64),
}

/// As the admin API prints it.
impl fmt::Display for ChangeStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Pending => write!(f, "waits"),
            Self::Restricting => write!(f, "narrow"),
            Self::InForce => write!(f, "inforce"),
            Self::Superseded(index) => write!(f, "was({index})"),
            Self::Skipped(by) => write!(f, "never({by})"),
        }
    }
}

/// A revision that is kept.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RetainedRevision {
    /// Its content.
    pub document: Arc<Document>,
    /// How it came about.
    pub origin: Origin,
    /// As long as it neither was in force nor can never be: `None`.
    pub(crate) change_status: Option<ChangeStatus>,
}

/// What was answered.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProposalResult {
    /// The entry that it was about.
    pub index: u64,
    /// The number of the new revision, or of the entry's effect; or why nothing was done.
    pub outcome: Result<u64, Refusal>,
}

/// Revisions and answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct History {
    pub(crate) kept: BTreeMap<u64, RetainedRevision>,
    contents: BTreeSet<Arc<Document>>,
    /// Bytes of all contents.
    pub(crate) bytes: usize,
    pub(crate) answers: BTreeMap<CommandId, ProposalResult>,
    pub(crate) asked: VecDeque<CommandId>,
}

impl History {
    /// Keeps a revision; a content that is there already is shared.
    pub(crate) fn keep(
        &mut self,
        number: u64,
        document: Document,
        origin: Origin,
        change_status: Option<ChangeStatus>,
    ) {
        let known = self.contents.get(&document).cloned();
        let document = known.unwrap_or_else(|| {
            let new = Arc::new(document);
            self.bytes += new.length();
            self.contents.insert(new.clone());
            new
        });
        self.kept.insert(number, RetainedRevision { document, origin, change_status });
    }

    /// Drops the oldest revisions beyond the bounds, but none of those that are needed still.
    pub(crate) fn compact(&mut self, needed: &BTreeSet<u64>) {
        while self.kept.len() > MAX_REVISIONS || self.bytes > MAX_CONTENT_BYTES {
            let Some(oldest) = self.kept.keys().copied().find(|n| !needed.contains(n)) else {
                return;
            };
            let Some(gone) = self.kept.remove(&oldest) else { return };
            if !self.kept.values().any(|k| Arc::ptr_eq(&k.document, &gone.document)) {
                self.contents.remove(&gone.document);
                self.bytes = self.bytes.saturating_sub(gone.document.length());
            }
        }
    }

    /// Keeps an answer.
    pub(crate) fn answer(&mut self, id: CommandId, answer: ProposalResult) {
        if self.answers.insert(id, answer).is_none() {
            self.asked.push_back(id);
        }
        while self.asked.len() > MAX_RESULTS {
            if let Some(oldest) = self.asked.pop_front() {
                self.answers.remove(&oldest);
            }
        }
    }

    /// The contents, each once.
    pub(crate) fn contents(&self) -> impl Iterator<Item = &Arc<Document>> {
        self.contents.iter()
    }
}
