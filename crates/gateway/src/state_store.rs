//! What a balancer saves for its next start, and what it restores at this one.
//!
//! How far restored state is trusted is left to `hollowpaddle_recovery`, and the files to `hollowpaddle_snapshot`; here they
//! meet the engine.

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

/// Time between two saves. A kill loses what was learned in it.
const SAVE_INTERVAL: Duration = Duration::from_secs(2);
/// How long the end of a process waits for its last save: a slow disk must not hold up a restart.
const LAST_SAVE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two looks at the last save.
const LAST_SAVE_POLL: Duration = Duration::from_millis(5);

/// Saves state for the next start, without making the caller wait.
pub trait StateSaver {
    /// Saves what `make_payload` returns as of `now` (Unix time), in place of what is not begun yet. The function may be
    /// called later and on another thread.
    fn save(&self, now: Duration, make_payload: Box<dyn FnOnce() -> Vec<u8> + Send>);
    /// Whether nothing waits to be written.
    fn is_idle(&self) -> bool;
    /// How saving goes.
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

/// State of the process before, and where to save that of this one.
pub struct StoredState {
    /// Saves the state of this process.
    pub saver: Box<dyn StateSaver>,
    /// What was found of the process before.
    pub found: Found,
}

/// How a start went, as `GET /admin/start` shows it.
#[derive(Serialize)]
struct StartReport {
    /// `usual`, `without-snapshot` or `bare`.
    #[serde(rename = "way")]
    mode: &'static str,
    /// `snapshot`: learned estimates were restored; `nothing`: they were not.
    from: &'static str,
    /// Age of the estimates, in seconds.
    age_s: Option<f64>,
    /// Age of the endpoint list that was restored, in seconds; `None`: the configuration's applies.
    list_age_s: Option<f64>,
    /// Number of starts so far.
    starts: u64,
    /// Starts just before this one that crashed.
    crashes: usize,
    /// Files that are not used, and why.
    set_aside: Vec<String>,
}

/// Saves the state of this process for as long as it serves.
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
    /// The engine's number of the endpoint list that the payload contains.
    list_number: Cell<u64>,
}

impl StateStore {
    /// Restores what was found into the engine, and saves that this process has started.
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
        // Before anything can go wrong: the next start is to know of this one.
        store.save();
        store
    }

    /// How this start went and how saving goes, for `GET /admin/start`.
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

    /// The copy of operators' commands that was found at the start.
    pub fn recovered_copy(&self) -> RecoveredCopy {
        self.recovered_copy.clone()
    }

    /// Saves a copy of operators' commands at once: the call that changed them is about to be acknowledged.
    pub fn save_copy(&self, copy: OperatorStateCopy) {
        self.payload.borrow_mut().operator_copy = Some(copy);
        self.save();
    }

    /// Unix time, by the monotonic clock since the start.
    fn now(&self) -> Duration {
        self.started_unix + self.started_at.elapsed()
    }

    fn save(&self) {
        let payload = self.payload.borrow().clone();
        let make_payload = move || serde_json::to_vec(&payload).unwrap_or_default();
        self.saver.save(self.now(), Box::new(make_payload));
    }

    /// Saves every [`SAVE_INTERVAL`], for as long as it is polled.
    pub async fn run(self: Rc<Self>) {
        let mut is_settled = false;
        loop {
            sleep(SAVE_INTERVAL).await;
            if !is_settled && self.started_at.elapsed() >= SETTLED_AFTER {
                is_settled = true;
                self.payload.borrow_mut().starts.settled();
            }
            self.update().await;
            self.save();
        }
    }

    /// Takes over what the engine knows by now. In minimal mode nothing is.
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
        // Estimates that rest on the same answers as before keep their age.
        if !payload.learned.as_ref().is_some_and(|was| was.has_same_answers(&learned)) {
            payload.learned = Some(learned);
            payload.learned_ms = self.now().as_millis() as u64;
        }
    }

    /// Takes over the endpoint list, part by part, if a watch on discovery vouches for it. One that changes meanwhile is
    /// left to the next time.
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

    /// Saves for the last time, as the process ends in order, and waits up to [`LAST_SAVE_TIMEOUT`] for that.
    pub async fn finish(&self) {
        self.update().await;
        {
            let mut payload = self.payload.borrow_mut();
            payload.starts.ended_in_order();
            payload.operator_copy.get_or_insert_default().is_final = true;
        }
        self.save();
        let until = Instant::now() + LAST_SAVE_TIMEOUT;
        while !self.saver.is_idle() && Instant::now() < until {
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
