//! Reads what a process before has saved, as far as it applies to this start.

use std::time::Duration;

use hollowpaddle_recovery::StartMode;
use hollowpaddle_snapshot::{SetAsideFile, Snapshot};

use super::payload::Payload;
use super::{StateSaver, StoredState};
use crate::members::List;
use crate::restored_list::{RestoredList, restored_list};

/// What was found at a start, as far as it applies.
pub struct Restored {
    pub(super) saver: Box<dyn StateSaver>,
    pub(super) now: Duration,
    pub(super) payload: Payload,
    pub(super) mode: StartMode,
    pub(super) list_age_s: Option<f64>,
    /// Files that are not used, and why.
    pub(super) set_aside: Vec<String>,
}

impl Restored {
    /// Reads what was found at `now` (Unix time) under settings of this
    /// [meaning](hollowpaddle_policy::settings::Facts::numbering_hash), and records this start. Returns with it what applies of the
    /// stored endpoint list, over the list `known` to the configuration.
    pub fn read(
        stored: StoredState,
        now: Duration,
        known: &List,
        meaning: u64,
    ) -> (Self, Option<RestoredList>) {
        let StoredState { saver, found } = stored;
        let mut set_aside: Vec<String> = found.aside.iter().map(report_set_aside).collect();
        let mut payload = match found.snapshot.as_ref().map(read_payload) {
            None => Payload::default(),
            Some(Ok(payload)) => payload,
            Some(Err(reason)) => {
                set_aside.push(reason);
                Payload::default()
            }
        };
        let mode = payload.starts.begin(now);
        if mode > StartMode::Normal {
            let crashes = payload.starts.crash_count();
            tracing::error!(crashes, mode = mode.name(), "crash loop detected");
            payload.forget_fleet();
        }
        discard_other_settings(&mut payload, meaning);
        if !payload.has_known_learned_age(now) {
            payload.learned = None;
        }
        let list_age = payload.list_age(now);
        let stored_list = payload.list.as_ref();
        let list = stored_list.and_then(|list| restored_list(list, known, list_age, now));
        let list_age_s = list.is_some().then_some(list_age.as_secs_f64());
        if list.is_none() {
            payload.list = None;
        }
        (Self { saver, now, payload, mode, list_age_s, set_aside }, list)
    }
}

/// Discards what was saved under settings of another meaning. Numbers of classes, zones and cells mean something else there,
/// and a list of another deployment would take out every upstream of this one.
fn discard_other_settings(payload: &mut Payload, meaning: u64) {
    if std::mem::replace(&mut payload.meaning, meaning) == meaning {
        return;
    }
    if payload.learned.is_some() || payload.list.is_some() {
        tracing::warn!("stored state discarded: saved under other classes, zones or machine types");
    }
    payload.forget_fleet();
}

/// Logs a file that is not used; the file and the reason as text.
fn report_set_aside(aside: &SetAsideFile) -> String {
    let SetAsideFile { file, reason, moved_to } = aside;
    tracing::error!(file, %reason, moved_to, "snapshot set aside");
    format!("{file}: {reason}")
}

/// Reads the payload of a snapshot.
///
/// # Errors
/// The payload is something else; the text says which snapshot's, and what was expected.
fn read_payload(snapshot: &Snapshot) -> Result<Payload, String> {
    serde_json::from_slice(&snapshot.payload).map_err(|cause| {
        tracing::error!(%cause, "snapshot payload unreadable");
        format!("snapshot {}: {cause}", snapshot.generation)
    })
}
