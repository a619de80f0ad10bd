//! Retained revisions and the results of commands, both bounded in number. Revisions with equal contents share them.
//! The module [`policy_state`](crate::policy_state) decides the effect of a command.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::canary::RollbackCause;
use crate::document::Document;
use crate::entry::CommandId;
use crate::rejection::Rejection;

/// Maximum number of retained revisions. Beyond it the oldest revisions are dropped and cannot be rolled back to.
pub const MAX_REVISIONS: usize = 1000;
/// Maximum total length of all contents, in bytes, with equal contents counted once. Beyond it the oldest revisions are
/// dropped, too.
pub const MAX_CONTENT_BYTES: usize = 4 << 20;
/// Maximum number of retained results. Beyond it the result of the oldest command is dropped.
pub const MAX_RESULTS: usize = 4096;

/// The origin of a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Origin {
    /// The cluster started with the revision.
    Bootstrap,
    /// This command proposed the revision.
    Proposed(CommandId),
    /// This command rolled back to the revision with this number.
    Rollback(CommandId, u64),
    /// The canary with this revision number was rolled back.
    AutomaticRollback(u64, RollbackCause),
}

/// Writes the text that the admin API and the reports of rehearsals print.
impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bootstrap => write!(f, "founding"),
            Self::Proposed(CommandId(id)) => write!(f, "proposed(id({id:032x}))"),
            Self::Rollback(CommandId(id), to) => write!(f, "rollback(id({id:032x}), {to})"),
            Self::AutomaticRollback(revision, RollbackCause::NotConfirmed) => {
                write!(f, "takenback({revision}, notconfirmed)")
            }
            Self::AutomaticRollback(revision, RollbackCause::ServedWeightFell(by)) => {
                write!(f, "takenback({revision}, worthfell({by}))")
            }
        }
    }
}

/// The status of a revision on its way into force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ChangeStatus {
    /// The revision is the next to come into force.
    Pending,
    /// The restrict phase of the change to the revision is running: whatever the revision forbids is forbidden.
    Restricting,
    /// The revision is in force.
    InForce,
    /// The revision was in force, starting with the generation of this index.
    Superseded(u64),
    /// The revision never came into force, because the revision with this number replaced it while it was pending.
    Skipped(u64),
}

/// Writes the text that the admin API prints.
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

/// A revision that can be rolled back to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RetainedRevision {
    /// The content, shared with other revisions of equal content.
    pub document: Arc<Document>,
    /// The origin of the revision.
    pub origin: Origin,
    /// The status of the revision whenever it is not in force; `None` while it may still come into force.
    pub(crate) final_status: Option<ChangeStatus>,
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProposalResult {
    /// The index of the command's entry.
    pub index: u64,
    /// The number of the new or confirmed revision, or the index of the entry for other commands; or the reason for the
    /// rejection.
    pub outcome: Result<u64, Rejection>,
}

/// Retained revisions and the results of commands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct History {
    revisions: BTreeMap<u64, RetainedRevision>,
    contents: BTreeSet<Arc<Document>>,
    /// Encoded length of all contents, in bytes.
    content_bytes: usize,
    results: BTreeMap<CommandId, ProposalResult>,
    /// The ids in `results`, in the order of the log entries.
    result_order: VecDeque<CommandId>,
}

impl History {
    /// Retains a revision, which shares its content with retained revisions of equal content.
    pub(crate) fn retain(
        &mut self,
        number: u64,
        document: Document,
        origin: Origin,
        final_status: Option<ChangeStatus>,
    ) {
        let shared = self.contents.get(&document).cloned();
        let document = shared.unwrap_or_else(|| {
            let new = Arc::new(document);
            self.content_bytes += new.length();
            self.contents.insert(new.clone());
            new
        });
        self.revisions.insert(number, RetainedRevision { document, origin, final_status });
    }

    /// Sets the status of a revision for whenever it is not in force.
    pub(crate) fn set_final_status(&mut self, number: u64, status: ChangeStatus) {
        if let Some(revision) = self.revisions.get_mut(&number) {
            revision.final_status = Some(status);
        }
    }

    /// Drops the oldest revisions beyond the bounds, except those in `referenced`.
    pub(crate) fn compact(&mut self, referenced: &BTreeSet<u64>) {
        while self.revisions.len() > MAX_REVISIONS || self.content_bytes > MAX_CONTENT_BYTES {
            let mut numbers = self.revisions.keys().copied();
            let Some(oldest) = numbers.find(|number| !referenced.contains(number)) else { return };
            let Some(dropped) = self.revisions.remove(&oldest) else { return };
            let is_shared =
                self.revisions.values().any(|r| Arc::ptr_eq(&r.document, &dropped.document));
            if !is_shared {
                self.contents.remove(&dropped.document);
                self.content_bytes = self.content_bytes.saturating_sub(dropped.document.length());
            }
        }
    }

    /// Records the result of a command and drops the oldest results beyond [`MAX_RESULTS`].
    pub(crate) fn record_result(&mut self, id: CommandId, result: ProposalResult) {
        if self.results.insert(id, result).is_none() {
            self.result_order.push_back(id);
        }
        while self.result_order.len() > MAX_RESULTS {
            if let Some(oldest) = self.result_order.pop_front() {
                self.results.remove(&oldest);
            }
        }
    }

    /// Returns the retained revision with this number.
    pub(crate) fn get(&self, number: u64) -> Option<&RetainedRevision> {
        self.revisions.get(&number)
    }

    /// Returns the number of the first retained revision after this number.
    pub(crate) fn first_after(&self, number: u64) -> Option<u64> {
        self.revisions.range(number.saturating_add(1)..).next().map(|(number, _)| *number)
    }

    /// Returns all retained revisions, oldest first.
    pub(crate) fn revisions(&self) -> impl DoubleEndedIterator<Item = (u64, &RetainedRevision)> {
        self.revisions.iter().map(|(number, revision)| (*number, revision))
    }

    /// Returns the distinct contents of all retained revisions, in the order of [`Document`].
    pub(crate) fn contents(&self) -> impl Iterator<Item = &Arc<Document>> {
        self.contents.iter()
    }

    /// Returns the result of a command, if it is retained.
    pub(crate) fn result(&self, id: CommandId) -> Option<&ProposalResult> {
        self.results.get(&id)
    }

    /// Returns all results, in the order of the log entries.
    pub(crate) fn results(&self) -> impl Iterator<Item = (CommandId, &ProposalResult)> {
        self.result_order.iter().filter_map(|id| self.results.get(id).map(|result| (*id, result)))
    }
}
