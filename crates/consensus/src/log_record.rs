//! What a member writes down, and what a directory amounts to; where it lies is the store's matter.

use serde::{Deserialize, Serialize};

use crate::log::{Log, SnapshotBase};
use crate::message::{Entry, IncarnationCounts, View};

/// One thing that is to survive the process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// No view before this one has its part any longer.
    ViewPromise {
        /// Which.
        view: View,
        /// The last in which it took part.
        last: View,
        /// Lives that it knows of.
        counts: IncarnationCounts,
    },
    /// Entries, in place of what was there from the first on.
    Entries {
        /// Its number.
        first: u64,
        /// In their order.
        entries: Vec<Entry>,
    },
    /// It takes part in a view, with these entries in place of what was there from the first on: both or
    /// neither.
    ViewStart {
        /// As in `ViewPromise`.
        view: View,
        /// As in `ViewPromise`.
        last: View,
        /// As in `ViewPromise`.
        counts: IncarnationCounts,
        /// As in `Entries`.
        first: u64,
        /// As in `Entries`.
        entries: Vec<Entry>,
    },
    /// Everything up to here is committed. Written where a member came or went, so that a start knows who
    /// votes.
    Commit {
        /// Its number.
        commit: u64,
    },
    /// A snapshot, for what is before it.
    Snapshot(SnapshotBase),
    /// All of it, in place of all that was there.
    CompleteState {
        /// As in `ViewPromise`.
        view: View,
        /// As in `ViewPromise`.
        last: View,
        /// As in `ViewPromise`.
        counts: IncarnationCounts,
        /// As in `Commit`.
        commit: u64,
        /// What the log begins with.
        base: SnapshotBase,
        /// The number before its first entry.
        start: u64,
        /// All of them.
        entries: Vec<Entry>,
    },
}

/// What all records of a directory together say.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// As in [`Record::ViewPromise`].
    pub view: View,
    /// As in [`Record::ViewPromise`].
    pub last: View,
    /// As in [`Record::ViewPromise`].
    pub counts: IncarnationCounts,
    /// As in [`Record::Commit`].
    pub commit: u64,
    /// The log.
    pub log: Log,
}

/// What a directory held.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct DurableState {
    /// Number of its last record.
    pub written: u64,
    /// `None`: it is new, or not to be believed.
    pub state: Option<State>,
}

impl DurableState {
    /// One record more.
    pub fn apply(&mut self, number: u64, record: Record) {
        self.written = number;
        if let Record::CompleteState { view, last, counts, commit, base, start, entries } = record {
            let log = Log::with(base, start, entries);
            self.state = Some(State { view, last, counts, commit, log });
            return;
        }
        // The first record of a directory is a whole one; others before it say nothing.
        let Some(state) = &mut self.state else { return };
        match record {
            Record::ViewPromise { view, last, counts } => {
                (state.view, state.last, state.counts) = (view, last, counts);
            }
            Record::Entries { first, entries } => {
                state.log.truncate(first.saturating_sub(1));
                entries.into_iter().for_each(|e| state.log.push(e));
            }
            Record::ViewStart { view, last, counts, first, entries } => {
                (state.view, state.last, state.counts) = (view, last, counts);
                state.log.truncate(first.saturating_sub(1));
                entries.into_iter().for_each(|e| state.log.push(e));
            }
            Record::Commit { commit } => state.commit = commit,
            Record::Snapshot(base) => state.log.rebase(base),
            Record::CompleteState { .. } => {}
        }
    }

    /// All of it as one record.
    pub fn whole(&self) -> Option<Record> {
        self.state.as_ref().map(|s| Record::CompleteState {
            view: s.view,
            last: s.last,
            counts: s.counts.clone(),
            commit: s.commit,
            base: s.log.base().clone(),
            start: s.log.start(),
            entries: s.log.entries().to_vec(),
        })
    }
}
