//! What balancers tell each other about the list of upstreams: the version that each has, who drains and who
//! has ended. The list itself, addresses and drains' grace are the gateway's; this says who may be sent to at
//! all.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;
use serde::{Deserialize, Serialize};

use crate::document::MAX_NAME_BYTES;
use crate::message::{MAX_MESSAGE_BYTES, MessageError};

/// Upstreams that are kept, named by the own list or by a peer: what is beyond is usable by the own list's
/// last word, if that has one, and peers' words about it count for nothing. Four times the largest fleet.
pub const MAX_TRACKED_UPSTREAMS: usize = 4096;
/// A peer's word alone stops sends for so long: a drain is over by then, and one broken peer can't close a
/// fleet for ever.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(60);
/// An own list as new as a peer's word, that has not said so for so long, is right against it: replicas of
/// discovery that disagree, and each balancer keeps to its own.
pub const DISAGREEMENT_TIMEOUT: Duration = Duration::from_secs(10);
/// The version is told so often.
const VERSION_INTERVAL: Duration = Duration::from_secs(1);
/// News of one upstream is told at once and so much later again: with 30 % lost, one of forty neighbours
/// misses all three.
const REPEAT_DELAYS: [Duration; 2] = [Duration::from_millis(200), Duration::from_secs(1)];
/// News that wait to be told again. Beyond, the oldest is told fewer times.
const MAX_PENDING_REPEATS: usize = 1024;

/// What the own list says of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// It takes requests.
    Serving,
    /// It finishes what it has.
    Drains,
    /// It is gone.
    Ended,
}

/// An upstream that is not to be sent to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stop {
    /// Its name.
    pub name: String,
    /// The version of the list that said so.
    pub version: u64,
    /// It has ended; else it drains.
    pub ended: bool,
}

/// What one balancer tells its neighbours: it can't say of any upstream that it may be sent to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ListMessage {
    /// The newest version of its own list.
    pub version: u64,
    /// Who stops.
    pub stops: Vec<Stop>,
}

impl ListMessage {
    /// As bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        // Numbers and names can't fail to be written.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// From bytes.
    ///
    /// # Errors
    /// If they are no word, too many, or something follows it.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MessageError> {
        let length = bytes.len();
        let wrong = |cause: String| MessageError { length, cause };
        if length > MAX_MESSAGE_BYTES {
            return Err(wrong(format!("expected {MAX_MESSAGE_BYTES} at most")));
        }
        let (message, rest) = postcard::take_from_bytes(bytes).map_err(|e| wrong(e.to_string()))?;
        if rest.is_empty() {
            Ok(message)
        } else {
            Err(wrong(format!("{} more behind it", rest.len())))
        }
    }
}

/// What happens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The own discovery said this.
    Own {
        /// The list's version.
        version: u64,
        /// Whom it leaves out is gone.
        whole: bool,
        /// By name.
        entries: Vec<(String, Phase)>,
    },
    /// The own discovery is another one, that counts its versions anew.
    CountsAnew,
    /// A peer says this.
    Message {
        /// Who.
        from: NodeId,
        /// What.
        message: ListMessage,
    },
    /// The agreed rules say so: the eldest list that may be acted on.
    FallbackFloor(u64),
    /// A time that was asked for has come.
    Due,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Tells all neighbours in the tree.
    Tell(ListMessage),
    /// Who may be sent to has changed: ask [`Lists::among`].
    Changed,
    /// A peer has a newer list: the own discovery is to be asked now.
    Poll {
        /// The version that it has.
        version: u64,
    },
    /// Wakes this machine by [`Event::Due`] then; it takes the place of any earlier one.
    WakeAt(Duration),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PeerStop {
    version: u64,
    ended: bool,
    at: Duration,
    /// Since when the own list is as new.
    matched: Option<Duration>,
}

/// The machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Lists {
    now: Duration,
    /// By the own list: the version of its last word on each, and that word.
    own: BTreeMap<String, (u64, Phase)>,
    newest: u64,
    floor: u64,
    /// By peers' words.
    stopped: BTreeMap<String, PeerStop>,
    versions: BTreeMap<NodeId, u64>,
    asked: u64,
    /// To be told again, and when.
    news: VecDeque<(Duration, Stop)>,
    told: Option<Duration>,
    wakes: Option<Duration>,
}

impl Lists {
    /// Takes in what happened at `now` and says what to do.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        let before = (self.stopped.len(), self.is_old());
        let mut changed = false;
        let mut news = Vec::new();
        match event {
            Event::Own { version, whole, entries } => {
                news = self.own(version, whole, entries);
                changed = true;
            }
            Event::CountsAnew => {
                (self.newest, self.asked) = (0, 0);
                self.own.values_mut().for_each(|(version, _)| *version = 0);
                // Of another count nobody can say what is newer: the own list's next word decides.
                self.stopped.values_mut().for_each(|h| h.version = 0);
                self.versions.clear();
            }
            Event::Message { from, message } => {
                self.versions.insert(from, message.version);
                if self.versions.len() > usize::from(crate::node_set::MAX_NODES) {
                    self.versions.pop_last();
                }
                for stop in message.stops {
                    if self.heard(&stop) {
                        news.push(stop);
                    }
                }
                changed = !news.is_empty();
                let newer = message.version.max(news.iter().map(|s| s.version).max().unwrap_or(0));
                if newer > self.newest.max(self.asked) {
                    self.asked = newer;
                    actions.push(Action::Poll { version: newer });
                }
            }
            Event::FallbackFloor(floor) => self.floor = floor,
            Event::Due => {}
        }
        self.expire_stops();
        if changed || before != (self.stopped.len(), self.is_old()) {
            actions.push(Action::Changed);
        }
        self.tell(news, actions);
    }

    /// Takes in an own list; who is news by it to peers.
    fn own(&mut self, version: u64, whole: bool, entries: Vec<(String, Phase)>) -> Vec<Stop> {
        let mut news = Vec::new();
        let older = version < self.newest;
        if whole && !older {
            let named: std::collections::BTreeSet<&String> =
                entries.iter().map(|(n, _)| n).collect();
            let left = self
                .own
                .iter()
                .filter(|(n, (_, phase))| *phase != Phase::Ended && !named.contains(n));
            let left: Vec<String> = left.map(|(n, _)| n.clone()).collect();
            for name in left {
                news.extend(self.says(name, version, Phase::Ended));
            }
        }
        self.newest = self.newest.max(version);
        for (name, phase) in entries {
            // One out of its order takes back nothing that a newer one said.
            if self.own.get(&name).is_none_or(|(last, _)| version >= *last) {
                news.extend(self.says(name, version, phase));
            }
        }
        news
    }

    fn says(&mut self, name: String, version: u64, phase: Phase) -> Option<Stop> {
        if name.len() > MAX_NAME_BYTES
            || (self.own.len() >= MAX_TRACKED_UPSTREAMS && !self.own.contains_key(&name))
        {
            return None;
        }
        let last = self.own.insert(name.clone(), (version, phase));
        // Who is gone is forgotten first when there is no room; what is known of it by version goes with it.
        if self.own.len() >= MAX_TRACKED_UPSTREAMS {
            let gone = self
                .own
                .iter()
                .find(|(n, (_, p))| *p == Phase::Ended && **n != name)
                .map(|(n, _)| n.clone());
            gone.map(|n| self.own.remove(&n));
        }
        if self.stopped.get(&name).is_some_and(|heard| version > heard.version) {
            self.stopped.remove(&name);
        }
        let new = phase != Phase::Serving && last.is_none_or(|(_, before)| before != phase);
        // Whom nobody could have been sending to is no news.
        (new && last.is_some()).then_some(Stop { name, version, ended: phase == Phase::Ended })
    }

    /// Takes in a peer's word; whether it is news.
    fn heard(&mut self, stop: &Stop) -> bool {
        if stop.name.len() > MAX_NAME_BYTES {
            return false;
        }
        // The own list's later word is the better one. Of one version two replicas can say two things: then
        // it stops.
        match self.own.get(&stop.name) {
            Some((version, phase)) if *version > stop.version || *phase != Phase::Serving => {
                return false;
            }
            _ => {}
        }
        let capacity = self.stopped.len() < MAX_TRACKED_UPSTREAMS;
        let now = self.now;
        let new = PeerStop { version: stop.version, ended: stop.ended, at: now, matched: None };
        match self.stopped.get_mut(&stop.name) {
            Some(heard) if (heard.version, heard.ended) >= (stop.version, stop.ended) => false,
            Some(heard) => {
                *heard = new;
                true
            }
            None if capacity => {
                self.stopped.insert(stop.name.clone(), new);
                true
            }
            None => false,
        }
    }

    /// Peers' words that count no longer.
    fn expire_stops(&mut self) {
        let (now, newest) = (self.now, self.newest);
        for heard in self.stopped.values_mut() {
            heard.matched =
                if newest >= heard.version { heard.matched.or(Some(now)) } else { None };
        }
        self.stopped.retain(|_, heard| {
            let disagrees = heard
                .matched
                .is_some_and(|since| now >= since.saturating_add(DISAGREEMENT_TIMEOUT));
            now < heard.at.saturating_add(STOP_TIMEOUT) && !disagrees
        });
    }

    fn tell(&mut self, news: Vec<Stop>, actions: &mut Vec<Action>) {
        let now = self.now;
        let mut stops: Vec<Stop> = Vec::new();
        while self.news.front().is_some_and(|(at, _)| *at <= now) {
            stops.extend(self.news.pop_front().map(|(_, stop)| stop));
        }
        for after in REPEAT_DELAYS {
            self.news.extend(news.iter().map(|stop| (now.saturating_add(after), stop.clone())));
        }
        self.news.make_contiguous().sort();
        let over = self.news.len().saturating_sub(MAX_PENDING_REPEATS);
        self.news.drain(..over);
        stops.extend(news);
        let due = self.told.is_none_or(|last| now >= last.saturating_add(VERSION_INTERVAL));
        if due || !stops.is_empty() {
            self.told = Some(now);
            let mut message = ListMessage { version: self.newest, stops: vec![] };
            for stop in stops {
                message.stops.push(stop);
                if message.to_bytes().len() > MAX_MESSAGE_BYTES
                    && let Some(stop) = message.stops.pop()
                {
                    let next = ListMessage { version: self.newest, stops: vec![stop] };
                    actions.push(Action::Tell(std::mem::replace(&mut message, next)));
                }
            }
            actions.push(Action::Tell(message));
        }
        let again = self.news.front().map(|(at, _)| *at);
        let next = self
            .told
            .map(|last| last.saturating_add(VERSION_INTERVAL))
            .into_iter()
            .chain(again)
            .min();
        if let Some(next) = next.filter(|n| self.wakes != Some(*n)) {
            self.wakes = Some(next);
            actions.push(Action::WakeAt(next));
        }
    }

    /// Whether the own list is older than the agreed rules allow.
    pub fn is_old(&self) -> bool {
        self.newest < self.floor
    }

    /// Whether the own list names it as serving, and no peer knows better.
    fn is_open(&self, name: &str) -> bool {
        let own = self.own.get(name).is_some_and(|(_, phase)| *phase == Phase::Serving);
        own && !self.stopped.contains_key(name)
    }

    /// Of these upstreams, those that may be sent to; with each, whether the charter allows it.
    ///
    /// With a list that is older than the floor only the charter's are: no revision puts them out, so they
    /// are the last to go, and peers' words on drains still count. Where that leaves none, all that are open:
    /// an upstream that has gone costs a connection, and refusing everything costs everything.
    pub fn among<'a>(&self, upstreams: impl IntoIterator<Item = (&'a str, bool)>) -> Vec<&'a str> {
        let open: Vec<(&str, bool)> =
            upstreams.into_iter().filter(|(name, _)| self.is_open(name)).collect();
        let narrow = self.is_old() && open.iter().any(|(_, fallback_policy)| *fallback_policy);
        open.into_iter()
            .filter(|(_, fallback_policy)| *fallback_policy || !narrow)
            .map(|(name, _)| name)
            .collect()
    }

    /// Upstreams that peers' words stop, whatever the own list says.
    pub fn stopped(&self) -> impl Iterator<Item = &str> {
        self.stopped.keys().map(String::as_str)
    }

    /// The newest version of the own list.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// The versions that peers have last told of.
    pub fn versions(&self) -> impl Iterator<Item = (NodeId, u64)> + '_ {
        self.versions.iter().map(|(m, v)| (*m, *v))
    }
}
