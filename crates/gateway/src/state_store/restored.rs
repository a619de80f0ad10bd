//! Reads the state that the previous process saved, and discards the parts that don't apply to this start.

use std::time::Duration;

use hollowpaddle_recovery::StartMode;
use hollowpaddle_snapshot::{SetAsideFile, Snapshot};

use super::payload::Payload;
use super::{StateSaver, StoredState};
use crate::members::List;
use crate::restored_list::{RestoredList, restored_list};

/// The stored state that applies to this start.
pub struct Restored {
    pub(super) saver: Box<dyn StateSaver>,
    pub(super) now: Duration,
    pub(super) payload: Payload,
    pub(super) mode: StartMode,
    pub(super) list_age_s: Option<f64>,
    /// Files that are not used, with the reasons.
    pub(super) set_aside: Vec<String>,
}

impl Restored {
    /// Reads the stored state at `now` (Unix time), and records this start. `meaning` is the
    /// [meaning](hollowpaddle_policy::settings::Facts::numbering_hash) of the current settings, and `initial_list` the
    /// configuration's list. Also returns the usable part of the stored endpoint list.
    pub fn read(
        stored: StoredState,
        now: Duration,
        initial_list: &List,
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
            payload.discard_estimates_and_list();
        }
        discard_other_settings(&mut payload, meaning);
        if !payload.has_known_learned_age(now) {
            payload.learned = None;
        }
        let list_age = payload.list_age(now);
        let stored_list = payload.list.as_ref();
        let list = stored_list.and_then(|list| restored_list(list, initial_list, list_age, now));
        let list_age_s = list.is_some().then_some(list_age.as_secs_f64());
        if list.is_none() {
            payload.list = None;
        }
        (Self { saver, now, payload, mode, list_age_s, set_aside }, list)
    }
}

/// Discards state that was saved under settings with another meaning, in which the numbers of classes, zones and cells
/// differ. The list of another deployment would remove every upstream of this one.
fn discard_other_settings(payload: &mut Payload, meaning: u64) {
    if std::mem::replace(&mut payload.meaning, meaning) == meaning {
        return;
    }
    if payload.learned.is_some() || payload.list.is_some() {
        tracing::warn!("stored state discarded: saved under other classes, zones or machine types");
    }
    payload.discard_estimates_and_list();
}

/// Logs a file that is not used, and returns its name and the reason as text.
fn report_set_aside(aside: &SetAsideFile) -> String {
    let SetAsideFile { file, reason, moved_to } = aside;
    tracing::error!(file, %reason, moved_to, "snapshot set aside");
    format!("{file}: {reason}")
}

/// Parses the payload of a snapshot.
///
/// # Errors
/// Returns an error if the payload has another format. The text names the snapshot's generation and the expected content.
fn read_payload(snapshot: &Snapshot) -> Result<Payload, String> {
    serde_json::from_slice(&snapshot.payload).map_err(|cause| {
        tracing::error!(%cause, "snapshot payload unreadable");
        format!("snapshot {}: {cause}", snapshot.generation)
    })
}
