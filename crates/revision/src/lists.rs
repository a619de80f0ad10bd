//! Decides which upstreams may receive requests, from the balancer's own endpoint list and from the stops that peers
//! report. The gateway handles the list itself, the addresses and the grace period of draining upstreams.

mod announcements;
mod interface;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use self::announcements::Announcements;
pub use self::interface::{Action, Event, ListMessage, Phase, Stop};
use crate::document::MAX_NAME_BYTES;
use crate::node_set::MAX_NODES;

/// Maximum number of upstreams tracked from the own list, and separately from peers' stops: four times the largest
/// fleet. Peers' stops beyond the bound are ignored.
pub const MAX_TRACKED_UPSTREAMS: usize = 4096;
/// Lifetime of a peer's stop that the own list neither confirms nor contradicts. An upstream has finished draining by
/// then, and a faulty peer cannot stop a fleet for ever.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(60);
/// Lifetime of a peer's stop once the own list is as new as the stop and does not confirm it. Replicas of discovery may
/// disagree; each balancer then follows its own replica.
pub const DISAGREEMENT_TIMEOUT: Duration = Duration::from_secs(10);

/// The last entry of the own list for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OwnEntry {
    version: u64,
    phase: Phase,
}

/// A stop that a peer has reported.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PeerStop {
    version: u64,
    ended: bool,
    received_at: Duration,
    /// When the own list became as new as the stop; `None` while the list is older.
    matched_since: Option<Duration>,
}

impl PeerStop {
    fn has_expired(&self, now: Duration) -> bool {
        let is_over = |since: Duration, timeout: Duration| now >= since.saturating_add(timeout);
        is_over(self.received_at, STOP_TIMEOUT)
            || self.matched_since.is_some_and(|since| is_over(since, DISAGREEMENT_TIMEOUT))
    }
}

/// The state machine of one balancer's endpoint lists and stops.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Lists {
    now: Duration,
    own_entries: BTreeMap<String, OwnEntry>,
    /// The newest version of the own list.
    newest_version: u64,
    /// The oldest version of the own list that may be acted on without restriction.
    oldest_allowed: u64,
    peer_stops: BTreeMap<String, PeerStop>,
    /// The last reported version of each peer's list.
    peer_versions: BTreeMap<NodeId, u64>,
    /// The newest version for which the own discovery was polled.
    polled_version: u64,
    announcements: Announcements,
}

impl Lists {
    /// Handles an event at `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        let before = (self.peer_stops.len(), self.is_stale());
        let mut is_changed = false;
        let mut new_stops = Vec::new();
        match event {
            Event::OwnList { version, is_complete, entries } => {
                new_stops = self.on_own_list(version, is_complete, entries);
                is_changed = true;
            }
            Event::VersionsReset => self.reset_versions(),
            Event::Message { from, message } => {
                new_stops = self.on_message(from, message, actions);
                is_changed = !new_stops.is_empty();
            }
            Event::OldestAllowedVersion(version) => self.oldest_allowed = version,
            Event::Due => {}
        }
        self.expire_stops();
        if is_changed || before != (self.peer_stops.len(), self.is_stale()) {
            actions.push(Action::Changed);
        }
        self.announcements.announce(self.now, self.newest_version, new_stops, actions);
    }

    /// Records a delivery of the own list. Returns the stops to announce to peers.
    fn on_own_list(
        &mut self,
        version: u64,
        is_complete: bool,
        entries: Vec<(String, Phase)>,
    ) -> Vec<Stop> {
        let mut new_stops = Vec::new();
        if is_complete && version >= self.newest_version {
            for name in self.missing_names(&entries) {
                new_stops.extend(self.record_own_entry(name, version, Phase::Ended));
            }
        }
        self.newest_version = self.newest_version.max(version);
        for (name, phase) in entries {
            // A list that arrives late does not revert the entries of a newer one.
            if self.own_entries.get(&name).is_none_or(|last| version >= last.version) {
                new_stops.extend(self.record_own_entry(name, version, phase));
            }
        }
        new_stops
    }

    /// Returns the upstreams that have not ended and that the complete list in `entries` does not name.
    fn missing_names(&self, entries: &[(String, Phase)]) -> Vec<String> {
        let named: BTreeSet<&String> = entries.iter().map(|(name, _)| name).collect();
        let own = self.own_entries.iter();
        let missing =
            own.filter(|(name, entry)| entry.phase != Phase::Ended && !named.contains(name));
        missing.map(|(name, _)| name.clone()).collect()
    }

    /// Records the own list's phase of an upstream. Returns a stop if the upstream has just stopped serving.
    fn record_own_entry(&mut self, name: String, version: u64, phase: Phase) -> Option<Stop> {
        if name.len() > MAX_NAME_BYTES
            || (self.own_entries.len() >= MAX_TRACKED_UPSTREAMS
                && !self.own_entries.contains_key(&name))
        {
            return None;
        }
        let last = self.own_entries.insert(name.clone(), OwnEntry { version, phase });
        if self.own_entries.len() >= MAX_TRACKED_UPSTREAMS {
            self.forget_ended_upstream_except(&name);
        }
        if self.peer_stops.get(&name).is_some_and(|stop| version > stop.version) {
            self.peer_stops.remove(&name);
        }
        // No balancer can have been sending to an upstream that was not listed before.
        let last = last?;
        let is_new_stop = phase != Phase::Serving && last.phase != phase;
        is_new_stop.then_some(Stop { name, version, ended: phase == Phase::Ended })
    }

    /// Forgets one ended upstream other than `name`, so that the own list stays below its bound.
    fn forget_ended_upstream_except(&mut self, name: &str) {
        let mut own = self.own_entries.iter();
        let ended = own.find(|(other, entry)| entry.phase == Phase::Ended && *other != name);
        if let Some(ended) = ended.map(|(ended, _)| ended.clone()) {
            self.own_entries.remove(&ended);
        }
    }

    /// Resets all known versions to 0, since versions of the previous discovery cannot be compared with those of its
    /// replacement. The next entry of the own list for each upstream then takes effect.
    fn reset_versions(&mut self) {
        self.newest_version = 0;
        self.polled_version = 0;
        self.own_entries.values_mut().for_each(|entry| entry.version = 0);
        self.peer_stops.values_mut().for_each(|stop| stop.version = 0);
        self.peer_versions.clear();
    }

    /// Handles a peer's message. Returns the stops to announce to other peers.
    fn on_message(
        &mut self,
        from: NodeId,
        message: ListMessage,
        actions: &mut Vec<Action>,
    ) -> Vec<Stop> {
        self.peer_versions.insert(from, message.version);
        if self.peer_versions.len() > usize::from(MAX_NODES) {
            self.peer_versions.pop_last();
        }
        let mut new_stops = Vec::new();
        for stop in message.stops {
            if self.record_peer_stop(&stop) {
                new_stops.push(stop);
            }
        }
        let newest_stop = new_stops.iter().map(|stop| stop.version).max().unwrap_or(0);
        let version = message.version.max(newest_stop);
        if version > self.newest_version.max(self.polled_version) {
            self.polled_version = version;
            actions.push(Action::Poll { version });
        }
        new_stops
    }

    /// Records a peer's stop. Returns whether the stop is new.
    fn record_peer_stop(&mut self, stop: &Stop) -> bool {
        if stop.name.len() > MAX_NAME_BYTES {
            return false;
        }
        // An entry of a newer own list takes precedence. At equal versions replicas of discovery may disagree; the
        // upstream is then stopped.
        if let Some(own) = self.own_entries.get(&stop.name)
            && (own.version > stop.version || own.phase != Phase::Serving)
        {
            return false;
        }
        let has_capacity = self.peer_stops.len() < MAX_TRACKED_UPSTREAMS;
        let new = PeerStop {
            version: stop.version,
            ended: stop.ended,
            received_at: self.now,
            matched_since: None,
        };
        match self.peer_stops.get_mut(&stop.name) {
            Some(known) if (known.version, known.ended) >= (stop.version, stop.ended) => false,
            Some(known) => {
                *known = new;
                true
            }
            None if has_capacity => {
                self.peer_stops.insert(stop.name.clone(), new);
                true
            }
            None => false,
        }
    }

    /// Drops peers' stops that have expired.
    fn expire_stops(&mut self) {
        let (now, newest_version) = (self.now, self.newest_version);
        for stop in self.peer_stops.values_mut() {
            let is_matched = newest_version >= stop.version;
            stop.matched_since = is_matched.then(|| stop.matched_since.unwrap_or(now));
        }
        self.peer_stops.retain(|_, stop| !stop.has_expired(now));
    }

    /// Returns whether the own list is older than the agreed policy allows.
    pub fn is_stale(&self) -> bool {
        self.newest_version < self.oldest_allowed
    }

    /// Returns whether the own list states that the upstream serves and no peer has stopped the upstream.
    fn is_open(&self, name: &str) -> bool {
        let is_serving =
            self.own_entries.get(name).is_some_and(|entry| entry.phase == Phase::Serving);
        is_serving && !self.peer_stops.contains_key(name)
    }

    /// Selects the upstreams that may receive requests. Each item is the name of an upstream and whether the fallback
    /// policy allows that upstream.
    ///
    /// While the own list is stale, only upstreams of the fallback policy are selected, which no revision excludes. If
    /// the fallback policy allows none of them, all open upstreams are selected: sending to an upstream that has ended
    /// costs a connection attempt, whereas refusing every request fails all requests.
    pub fn select_allowed<'a>(
        &self,
        upstreams: impl IntoIterator<Item = (&'a str, bool)>,
    ) -> Vec<&'a str> {
        let open: Vec<(&str, bool)> =
            upstreams.into_iter().filter(|(name, _)| self.is_open(name)).collect();
        let is_restricted = self.is_stale() && open.iter().any(|(_, is_fallback)| *is_fallback);
        open.into_iter()
            .filter(|(_, is_fallback)| *is_fallback || !is_restricted)
            .map(|(name, _)| name)
            .collect()
    }

    /// Returns the upstreams that peers have stopped, whatever the own list states.
    pub fn stopped(&self) -> impl Iterator<Item = &str> {
        self.peer_stops.keys().map(String::as_str)
    }

    /// Returns the newest version of the own list.
    pub fn newest(&self) -> u64 {
        self.newest_version
    }

    /// Returns the last reported version of each peer's list.
    pub fn versions(&self) -> impl Iterator<Item = (NodeId, u64)> + '_ {
        self.peer_versions.iter().map(|(node, version)| (*node, *version))
    }
}
