//! Saves a balancer's state for its next start, and restores the state of the previous process.
//!
//! The package `hollowpaddle_recovery` decides how far restored state is trusted, and `hollowpaddle_snapshot` manages the
//! files. This module connects both to the engine.

mod payload;
mod restored;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hollowpaddle_operator_commands::{OperatorStateCopy, RecoveredCopy};
use hollowpaddle_recovery::{SETTLED_AFTER, StartMode};
use hollowpaddle_snapshot::{Found, Saver, Status};
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::engine::AdminHandle;
use crate::members::List;
use payload::Payload;

pub use restored::Restored;

/// Time between two saves. If the process is killed, the estimates learned since the last save are lost.
const SAVE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum wait of an ending process for its last save. A slow disk must not delay a restart.
const LAST_SAVE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of checks whether the last save is complete.
const LAST_SAVE_POLL: Duration = Duration::from_millis(5);

/// Saves state for the next start without blocking the caller.
pub trait StateSaver {
    /// Saves the payload that `make_payload` returns, as of `now` (Unix time). Replaces an earlier save that has not begun
    /// yet. The function may be called later and on another thread.
    fn save(&self, now: Duration, make_payload: Box<dyn FnOnce() -> Vec<u8> + Send>);
    /// Returns whether no save is waiting or in progress.
    fn is_idle(&self) -> bool;
    /// Returns the status of saving.
    fn status(&self) -> Status;
}

impl StateSaver for Saver {
    fn save(&self, now: Duration, make_payload: Box<dyn FnOnce() -> Vec<u8> + Send>) {
        Saver::save(self, now, make_payload);
    }
    fn is_idle(&self) -> bool {
        Saver::is_idle(self)
    }
    fn status(&self) -> Status {
        Saver::status(self)
    }
}

/// State of the previous process, and the saver for the state of this process.
pub struct StoredState {
    /// Saves the state of this process.
    pub saver: Box<dyn StateSaver>,
    /// Stored state of the previous process.
    pub found: Found,
}

/// Report of the start, as shown by `GET /admin/start`.
#[derive(Serialize)]
struct StartReport {
    /// Mode of the start: `usual`, `without-snapshot` or `bare`.
    #[serde(rename = "way")]
    mode: &'static str,
    /// `snapshot` if learned estimates were restored, otherwise `nothing`.
    from: &'static str,
    /// Age of the restored estimates, in seconds; `None` if none were restored.
    age_s: Option<f64>,
    /// Age of the restored endpoint list, in seconds; `None` if the configuration's list applies.
    list_age_s: Option<f64>,
    /// Number of starts so far.
    starts: u64,
    /// Number of starts directly before this one that ended in a crash.
    crashes: usize,
    /// Files that are not used, with the reasons.
    set_aside: Vec<String>,
}

/// Saves the state of this process while it serves.
pub struct StateStore {
    saver: Box<dyn StateSaver>,
    engine: AdminHandle,
    /// Unix time at the start.
    started_unix: Duration,
    started_at: Instant,
    payload: RefCell<Payload>,
    mode: StartMode,
    start_report: StartReport,
    recovered_copy: RecoveredCopy,
    /// The engine's number of the endpoint list in the payload.
    list_number: Cell<u64>,
}

impl StateStore {
    /// Restores the stored state into the engine, and saves a record of this start.
    pub fn start(restored: Restored, engine: AdminHandle) -> Rc<Self> {
        let Restored { saver, now, mut payload, mode, list_age_s, set_aside } = restored;
        let learned_age = now.saturating_sub(Duration::from_millis(payload.learned_ms));
        let learned = payload.take_trusted_estimates(learned_age);
        let is_restored = learned.is_some();
        if let Some(learned) = learned {
            engine.import_learned(learned);
        }
        let recovered_copy = payload.recovered_copy(&set_aside);
        let start_report = StartReport {
            mode: mode.name(),
            from: if is_restored { "snapshot" } else { "nothing" },
            age_s: is_restored.then_some(learned_age.as_secs_f64()),
            list_age_s,
            starts: payload.starts.count(),
            crashes: payload.starts.crash_count(),
            set_aside,
        };
        start_report.log();
        let store = Rc::new(Self {
            saver,
            engine,
            started_unix: now,
            started_at: Instant::now(),
            payload: RefCell::new(payload),
            mode,
            start_report,
            recovered_copy,
            list_number: Cell::new(0),
        });
        // The record of this start is saved first, so that the next start knows about it even if this process crashes early.
        store.save();
        store
    }

    /// Returns the report of this start and the status of saving, for `GET /admin/start`.
    pub fn start_status(&self) -> serde_json::Value {
        let Status { saved, failure, is_writing, superseded } = self.saver.status();
        let now = self.now();
        serde_json::json!({
            "ok": true,
            "keeps": true,
            "start": self.start_report,
            "saving": {
                "generation": saved.map(|(generation, _)| generation),
                "age_s": saved.map(|(_, at)| now.saturating_sub(at).as_secs_f64()),
                "failing": failure,
                "writing": is_writing,
                "passed_over": superseded,
            },
        })
    }

    /// Returns the copy of operator commands that was found at the start.
    pub fn recovered_copy(&self) -> RecoveredCopy {
        self.recovered_copy.clone()
    }

    /// Saves a copy of operator commands immediately, because the call that changed them is about to be acknowledged.
    pub fn save_copy(&self, copy: OperatorStateCopy) {
        self.payload.borrow_mut().operator_copy = Some(copy);
        self.save();
    }

    /// Returns the Unix time, measured by the monotonic clock since the start.
    fn now(&self) -> Duration {
        self.started_unix + self.started_at.elapsed()
    }

    fn save(&self) {
        let payload = self.payload.borrow().clone();
        let make_payload = move || serde_json::to_vec(&payload).unwrap_or_default();
        self.saver.save(self.now(), Box::new(make_payload));
    }

    /// Saves the state every [`SAVE_INTERVAL`] while the future is polled.
    pub async fn run(self: Rc<Self>) {
        let mut is_settled = false;
        loop {
            sleep(SAVE_INTERVAL).await;
            if !is_settled && self.started_at.elapsed() >= SETTLED_AFTER {
                is_settled = true;
                self.payload.borrow_mut().starts.record_settled();
            }
            self.update().await;
            self.save();
        }
    }

    /// Copies the estimates and the endpoint list from the engine, except in minimal mode.
    async fn update(&self) {
        if self.mode == StartMode::Minimal {
            return;
        }
        self.update_estimates().await;
        self.update_list().await;
    }

    async fn update_estimates(&self) {
        let Some(learned) = self.engine.learned().await else { return };
        let mut payload = self.payload.borrow_mut();
        // Estimates based on the same responses as before keep their age.
        if !payload.learned.as_ref().is_some_and(|previous| previous.has_same_answers(&learned)) {
            payload.learned = Some(learned);
            payload.learned_ms = self.now().as_millis() as u64;
        }
    }

    /// Copies the endpoint list in parts, if a watch on discovery confirms the list. If the list changes during the copy,
    /// the copy is left to the next update.
    async fn update_list(&self) {
        let Some((mut part, true)) = self.engine.list(0).await else { return };
        let (number, revision) = (part.lists, part.revision);
        if number != self.list_number.get() {
            let mut members = Vec::new();
            loop {
                members.append(&mut part.members);
                let Some(next) = part.next else { break };
                match self.engine.list(next).await {
                    Some((next_part, true)) if next_part.lists == number => part = next_part,
                    _ => return,
                }
            }
            self.list_number.set(number);
            let list = List { revision, complete: true, members };
            self.payload.borrow_mut().list = Some(Arc::new(list));
        }
        self.payload.borrow_mut().list_ms = self.now().as_millis() as u64;
    }

    /// Saves for the last time at an orderly end of the process, and waits up to [`LAST_SAVE_TIMEOUT`] for the save.
    pub async fn finish(&self) {
        self.update().await;
        {
            let mut payload = self.payload.borrow_mut();
            payload.starts.record_orderly_end();
            payload.operator_copy.get_or_insert_default().is_final = true;
        }
        self.save();
        let deadline = Instant::now() + LAST_SAVE_TIMEOUT;
        while !self.saver.is_idle() && Instant::now() < deadline {
            sleep(LAST_SAVE_POLL).await;
        }
    }
}

impl StartReport {
    fn log(&self) {
        let Self { mode, from, age_s, starts, crashes, .. } = self;
        tracing::info!(mode, from, age_s, starts, crashes, "started");
    }
}

#[cfg(test)]
mod tests;
