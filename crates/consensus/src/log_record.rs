//! The records that a voter persists, and the state that results from applying them. The store writes them to a file.

use serde::{Deserialize, Serialize};

use crate::entry::Entry;
use crate::log::{Log, SnapshotBase};
use crate::message::{IncarnationCounts, View};

/// A change of a voter's durable state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// The voter promises not to take part in any view before this one.
    ViewPromise {
        /// The view.
        view: View,
        /// The last view in which the voter's status was normal.
        last_normal_view: View,
        /// The incarnation counts that the voter knows.
        incarnation_counts: IncarnationCounts,
    },
    /// Entries, which replace the log from their first number on.
    Entries {
        /// Number of the first entry.
        first: u64,
        /// Consecutive entries.
        entries: Vec<Entry>,
    },
    /// The voter enters a view, with entries that replace the log from their first number on. Both are one record, so
    /// that they are persisted atomically.
    ViewStart {
        /// As in `ViewPromise`.
        view: View,
        /// As in `ViewPromise`.
        last_normal_view: View,
        /// As in `ViewPromise`.
        incarnation_counts: IncarnationCounts,
        /// As in `Entries`.
        first: u64,
        /// As in `Entries`.
        entries: Vec<Entry>,
    },
    /// All entries up to this number are committed. Written after a change of voters, so that the voters are known at
    /// a start.
    Commit {
        /// Number of the entry.
        commit: u64,
    },
    /// A snapshot, which replaces the entries before it.
    Snapshot(SnapshotBase),
    /// The complete state, which replaces all earlier records.
    CompleteState {
        /// As in `ViewPromise`.
        view: View,
        /// As in `ViewPromise`.
        last_normal_view: View,
        /// As in `ViewPromise`.
        incarnation_counts: IncarnationCounts,
        /// As in `Commit`.
        commit: u64,
        /// The snapshot at the beginning of the log.
        base: SnapshotBase,
        /// Number of the entry before the first of `entries`.
        start: u64,
        /// All retained entries.
        entries: Vec<Entry>,
    },
}

/// The state that results from the records of a directory.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// As in [`Record::ViewPromise`].
    pub view: View,
    /// As in [`Record::ViewPromise`].
    pub last_normal_view: View,
    /// As in [`Record::ViewPromise`].
    pub incarnation_counts: IncarnationCounts,
    /// As in [`Record::Commit`].
    pub commit: u64,
    /// The log.
    pub log: Log,
}

impl State {
    fn set_view(
        &mut self,
        view: View,
        last_normal_view: View,
        incarnation_counts: IncarnationCounts,
    ) {
        self.view = view;
        self.last_normal_view = last_normal_view;
        self.incarnation_counts = incarnation_counts;
    }

    fn replace_entries(&mut self, first: u64, entries: Vec<Entry>) {
        self.log.truncate(first.saturating_sub(1));
        for entry in entries {
            self.log.push(entry);
        }
    }

    /// Returns the record of the complete state.
    pub(crate) fn to_record(&self) -> Record {
        Record::CompleteState {
            view: self.view,
            last_normal_view: self.last_normal_view,
            incarnation_counts: self.incarnation_counts.clone(),
            commit: self.commit,
            base: self.log.base().clone(),
            start: self.log.start(),
            entries: self.log.entries().to_vec(),
        }
    }
}

/// The durable state of a directory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct DurableState {
    /// Number of the directory's last record.
    pub last_number: u64,
    /// `None` if the directory is new, or not trusted.
    pub state: Option<State>,
}

impl DurableState {
    /// Applies the next record.
    pub fn apply(&mut self, number: u64, record: Record) {
        self.last_number = number;
        match record {
            Record::CompleteState {
                view,
                last_normal_view,
                incarnation_counts,
                commit,
                base,
                start,
                entries,
            } => {
                let log = Log::with_entries(base, start, entries);
                self.state =
                    Some(State { view, last_normal_view, incarnation_counts, commit, log });
            }
            change => self.apply_change(change),
        }
    }

    /// Applies a change of the state. Records before the first complete state have no effect.
    fn apply_change(&mut self, change: Record) {
        let Some(state) = &mut self.state else { return };
        match change {
            Record::ViewPromise { view, last_normal_view, incarnation_counts } => {
                state.set_view(view, last_normal_view, incarnation_counts);
            }
            Record::Entries { first, entries } => state.replace_entries(first, entries),
            Record::ViewStart { view, last_normal_view, incarnation_counts, first, entries } => {
                state.set_view(view, last_normal_view, incarnation_counts);
                state.replace_entries(first, entries);
            }
            Record::Commit { commit } => state.commit = commit,
            Record::Snapshot(base) => state.log.rebase(base),
            Record::CompleteState { .. } => {}
        }
    }

    /// Returns the state as one record, if there is any.
    pub(crate) fn to_record(&self) -> Option<Record> {
        self.state.as_ref().map(State::to_record)
    }
}
