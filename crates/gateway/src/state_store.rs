//! What a balancer keeps for its next start, and what it goes on from at this one. Believed is what
//! `hollowpaddle_recovery` says, stored is what `hollowpaddle_snapshot` does; here they meet the engine.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hollowpaddle_operator_commands::{OperatorStateCopy, RecoveredCopy};
use hollowpaddle_policy::learned::Learned;
use hollowpaddle_recovery::{RestoredState, SETTLED_AFTER, StartHistory, StartMode, Trust, trust};
use hollowpaddle_snapshot::{Found, Saver, Status};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use tokio::time::{Instant, sleep};

use crate::engine::Door;
use crate::members::List;
use crate::restored_list::{RestoredList, restored_list};

/// How often what was learned is saved. A kill costs the news of so long.
const EVERY: Duration = Duration::from_secs(2);
/// Clocks of two starts may differ by so much. What was saved later than that from now has no age that could be known,
const CLOCKS_DIFFER: Duration = Duration::from_secs(5);
/// and counts as this old: whom a list takes out stays out, and nobody is gone by being left out of it. Failure: it
/// counted as new.
const UNKNOWN_AGE: Duration = Duration::from_secs(24 * 3600);
/// At the end the last snapshot is waited for so long: a slow disk must not hold up a restart.
const LAST: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(5);

/// Saves what outlives this process, and never waits for it.
pub trait Keep {
    /// Has this be saved as of `now` (Unix time), in place of what is not begun yet. `make` may be called elsewhere.
    fn save(&self, now: Duration, make: Box<dyn FnOnce() -> Vec<u8> + Send>);
    /// Whether nothing waits to be written.
    fn is_idle(&self) -> bool;
    /// How it goes.
    fn status(&self) -> Status;
}

impl Keep for Saver {
    fn save(&self, now: Duration, make: Box<dyn FnOnce() -> Vec<u8> + Send>) {
        Saver::save(self, now, make);
    }
    fn is_idle(&self) -> bool {
        Saver::is_idle(self)
    }
    fn status(&self) -> Status {
        Saver::status(self)
    }
}

/// What a start is given of the process before it.
pub struct Kept {
    /// Where this one saves.
    pub keep: Box<dyn Keep>,
    /// What lies there.
    pub found: Found,
}

/// What is saved. A field that another build does not know is left out there.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default)]
struct State {
    starts: StartHistory,
    /// What the settings' numbers and names meant when that was learned and heard; an older build didn't say.
    meaning: u64,
    learned: Option<Learned>,
    /// When that was learned, in milliseconds of Unix time. What is only passed on grows no younger.
    learned_ms: u64,
    /// The list as last heard. Shared with what is being saved: it is as long as the fleet is large.
    #[serde(serialize_with = "as_list", deserialize_with = "shared_list")]
    list: Option<Arc<List>>,
    /// When that was, in milliseconds of Unix time.
    list_ms: u64,
    /// What operators have said. None: the build that saved this kept no copy, or nobody was here.
    said: Option<OperatorStateCopy>,
}

/// How long ago that was, by two clocks that may differ; nothing, where one of them must be wrong.
fn age(now: Duration, then_ms: u64) -> Option<Duration> {
    let then = Duration::from_millis(then_ms);
    (then <= now + CLOCKS_DIFFER).then(|| now.saturating_sub(then))
}

fn as_list<S: Serializer>(list: &Option<Arc<List>>, serializer: S) -> Result<S::Ok, S::Error> {
    list.as_deref().serialize(serializer)
}

fn shared_list<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Arc<List>>, D::Error> {
    Ok(Option::<List>::deserialize(deserializer)?.map(Arc::new))
}

/// How a start went on, for operators.
#[derive(Serialize)]
struct Comeback {
    /// `usual`, `without-snapshot` or `bare`.
    way: &'static str,
    /// `snapshot`: from what this balancer had learned; `nothing`: from what the configuration says alone.
    from: &'static str,
    /// Age of that, in seconds.
    age_s: Option<f64>,
    /// Age of the list that was laid over the configuration's, in seconds; none, if that did.
    list_age_s: Option<f64>,
    /// How often the program was started here.
    starts: u64,
    /// Of the starts just before this one, those that ended badly.
    crashes: usize,
    /// Files that were not believed, and why.
    set_aside: Vec<String>,
}

/// What was found at a start, as far as it counts.
pub struct Recovered {
    keep: Box<dyn Keep>,
    now: Duration,
    state: State,
    mode: StartMode,
    list_age_s: Option<f64>,
    set_aside: Vec<String>,
}

/// Saves as long as the balancer serves.
pub struct Keeper {
    keep: Box<dyn Keep>,
    engine: Door,
    /// Unix time at the start, and the start.
    epoch: (Duration, Instant),
    state: RefCell<State>,
    mode: StartMode,
    comeback: Comeback,
    copied: RecoveredCopy,
    /// Lists taken in by the engine, as of the one that is kept.
    lists: Cell<u64>,
}

impl Recovered {
    /// Reads what lies there, as far as it is to be believed at `now` (Unix time) under settings of this
    /// [meaning](hollowpaddle_policy::settings::Facts::meaning), and notes this start. Beside it what counts of the list
    /// as last heard, over the one that the configuration names.
    pub fn read(
        kept: Kept,
        now: Duration,
        known: &List,
        meaning: u64,
    ) -> (Self, Option<RestoredList>) {
        let Kept { keep, found } = kept;
        let mut set_aside = Vec::new();
        for aside in &found.aside {
            let place = aside.moved_to.as_deref().unwrap_or("where it was");
            tracing::error!(file = aside.file, doubt = %aside.reason, "not believed; it lies {place}");
            set_aside.push(format!("{}: {}", aside.file, aside.reason));
        }
        let mut state = State::default();
        if let Some(snapshot) = &found.snapshot {
            match serde_json::from_slice(&snapshot.payload) {
                Ok(was) => state = was,
                Err(cause) => {
                    tracing::error!(%cause, "a whole snapshot holds something else: gone on from nothing");
                    set_aside.push(format!("snapshot {}: {cause}", snapshot.generation));
                }
            }
        }
        let mode = state.starts.begin(now);
        if mode > StartMode::Normal {
            let crashes = state.starts.crash_count();
            tracing::error!(crashes, "a crash loop: gone on {}", mode.name());
            (state.learned, state.learned_ms, state.list) = (None, 0, None);
        }
        // Failure: the list of another deployment lay over the configuration's, and all that this names was gone.
        if std::mem::replace(&mut state.meaning, meaning) != meaning {
            if state.learned.is_some() || state.list.is_some() {
                tracing::warn!("other classes, zones or kinds by now: gone on from nothing");
            }
            (state.learned, state.learned_ms, state.list) = (None, 0, None);
        }
        if age(now, state.learned_ms).is_none() {
            state.learned = None;
        }
        let heard = age(now, state.list_ms).unwrap_or(UNKNOWN_AGE);
        let list = state.list.as_ref().and_then(|list| restored_list(list, known, heard, now));
        let list_age_s = list.is_some().then_some(heard.as_secs_f64());
        if list.is_none() {
            state.list = None;
        }
        (Self { keep, now, state, mode, list_age_s, set_aside }, list)
    }
}

impl Keeper {
    /// Goes on from what was found.
    pub fn start(recovered: Recovered, engine: Door) -> Rc<Self> {
        let Recovered { keep, now, mut state, mode, list_age_s, set_aside } = recovered;
        let age = now.saturating_sub(Duration::from_millis(state.learned_ms));
        let mut from = "nothing";
        if let Some(learned) = state.learned.clone()
            && trust(RestoredState::Fleet, age) == Trust::Full
        {
            let ours = trust(RestoredState::Upstreams, age) == Trust::Full;
            engine.recall(if ours { learned } else { learned.of_fleet() });
            from = "snapshot";
        } else {
            state.learned = None;
        }
        // Operators' words are believed in every way and at any age that a snapshot may have.
        let copied = match &mut state.said {
            Some(words) => {
                let copied = words.clone();
                words.is_final = false;
                RecoveredCopy::Found(copied)
            }
            None if set_aside.is_empty() => RecoveredCopy::Absent,
            None => RecoveredCopy::Lost(set_aside.join("; ")),
        };
        let (starts, crashes) = (state.starts.count(), state.starts.crash_count());
        let age_s = (from == "snapshot").then_some(age.as_secs_f64());
        tracing::info!(way = mode.name(), from, age_s, starts, crashes, "comes back");
        let comeback =
            Comeback { way: mode.name(), from, age_s, list_age_s, starts, crashes, set_aside };
        let (epoch, state) = ((now, Instant::now()), RefCell::new(state));
        let keeper = Rc::new(Self {
            keep,
            engine,
            epoch,
            state,
            mode,
            comeback,
            copied,
            lists: Cell::new(0),
        });
        // Before anything can go wrong with it: the next start is to know of this one.
        keeper.save();
        keeper
    }

    /// How this start went on and how saving goes, for operators.
    pub fn told(&self) -> serde_json::Value {
        let Status { saved, failure, is_writing, superseded } = self.keep.status();
        let now = self.now();
        serde_json::json!({
            "ok": true,
            "keeps": true,
            "start": self.comeback,
            "saving": {
                "generation": saved.map(|(generation, _)| generation),
                "age_s": saved.map(|(_, at)| now.saturating_sub(at).as_secs_f64()),
                "failing": failure,
                "writing": is_writing,
                "passed_over": superseded,
            },
        })
    }

    /// What was found of operators' words.
    pub fn copied(&self) -> RecoveredCopy {
        self.copied.clone()
    }

    /// Keeps what operators have said, as it stands now. Not only with the next save: a call is answered with yes.
    pub fn copy(&self, words: OperatorStateCopy) {
        self.state.borrow_mut().said = Some(words);
        self.save();
    }

    fn now(&self) -> Duration {
        self.epoch.0 + self.epoch.1.elapsed()
    }

    fn save(&self) {
        let state = self.state.borrow().clone();
        let make = move || serde_json::to_vec(&state).unwrap_or_default();
        self.keep.save(self.now(), Box::new(make));
    }

    /// Saves now and then, for as long as it is polled.
    pub async fn follow(self: Rc<Self>) {
        let mut settled = false;
        loop {
            sleep(EVERY).await;
            if !settled && self.epoch.1.elapsed() >= SETTLED_AFTER {
                settled = true;
                self.state.borrow_mut().starts.settled();
            }
            self.learn().await;
            self.hear().await;
            self.save();
        }
    }

    /// Takes in what was learned by now. In the barest way nothing is.
    async fn learn(&self) {
        if self.mode == StartMode::Minimal {
            return;
        }
        let Some(learned) = self.engine.learned().await else { return };
        let state = &mut *self.state.borrow_mut();
        if !state.learned.as_ref().is_some_and(|was| was.rests_on_the_same(&learned)) {
            (state.learned, state.learned_ms) = (Some(learned), self.now().as_millis() as u64);
        }
    }

    /// Takes in the list as it is by now, part by part, if a watch vouches for it. A list that changes meanwhile is had
    /// the next time.
    async fn hear(&self) {
        if self.mode == StartMode::Minimal {
            return;
        }
        let (mut members, mut from) = (Vec::new(), 0);
        let Some((first, true)) = self.engine.list(from).await else { return };
        if first.lists != self.lists.get() {
            let (lists, revision) = (first.lists, first.revision);
            let mut part = first;
            loop {
                members.append(&mut part.members);
                let Some(next) = part.next else { break };
                from = next;
                match self.engine.list(from).await {
                    Some((next, true)) if next.lists == lists => part = next,
                    _ => return,
                }
            }
            self.lists.set(lists);
            let list = List { revision, complete: true, members };
            self.state.borrow_mut().list = Some(Arc::new(list));
        }
        self.state.borrow_mut().list_ms = self.now().as_millis() as u64;
    }

    /// The process ends in order: saves for the last time, and waits a moment for that.
    pub async fn finish(&self) {
        self.learn().await;
        self.hear().await;
        {
            let state = &mut *self.state.borrow_mut();
            state.starts.ended_in_order();
            state.said.get_or_insert_default().is_final = true;
        }
        self.save();
        let until = Instant::now() + LAST;
        while !self.keep.is_idle() && Instant::now() < until {
            sleep(STEP).await;
        }
    }
}

#[cfg(test)]
mod tests;
