//! Announces the own list's version and new stops to the neighbours. Each stop is announced several times, since
//! messages may be lost.

use std::collections::VecDeque;
use std::time::Duration;

use super::interface::{Action, ListMessage, Stop};
use crate::message::MAX_MESSAGE_BYTES;

/// Interval between announcements of the version.
const VERSION_INTERVAL: Duration = Duration::from_secs(1);
/// Delays after the first announcement of a stop at which the stop is announced again.
const REPEAT_DELAYS: [Duration; 2] = [Duration::from_millis(200), Duration::from_secs(1)];
/// Maximum number of pending repeats. Beyond it the earliest repeats are dropped.
const MAX_PENDING_REPEATS: usize = 1024;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Repeat {
    due: Duration,
    stop: Stop,
}

/// The announcements of one balancer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Announcements {
    /// Pending repeats, ordered by due time.
    repeats: VecDeque<Repeat>,
    last_announcement: Option<Duration>,
    next_wake: Option<Duration>,
}

impl Announcements {
    /// Announces new stops, the repeats that are due, and the version if its announcement is due.
    pub(super) fn announce(
        &mut self,
        now: Duration,
        version: u64,
        new_stops: Vec<Stop>,
        actions: &mut Vec<Action>,
    ) {
        let mut stops = self.take_due_repeats(now);
        self.schedule_repeats(now, &new_stops);
        stops.extend(new_stops);
        let is_version_due =
            self.last_announcement.is_none_or(|last| now >= last.saturating_add(VERSION_INTERVAL));
        if is_version_due || !stops.is_empty() {
            self.last_announcement = Some(now);
            let messages = split_into_messages(version, stops);
            actions.extend(messages.into_iter().map(Action::Broadcast));
        }
        self.schedule_wake(actions);
    }

    fn take_due_repeats(&mut self, now: Duration) -> Vec<Stop> {
        let mut due = Vec::new();
        while self.repeats.front().is_some_and(|repeat| repeat.due <= now) {
            due.extend(self.repeats.pop_front().map(|repeat| repeat.stop));
        }
        due
    }

    fn schedule_repeats(&mut self, now: Duration, stops: &[Stop]) {
        for delay in REPEAT_DELAYS {
            let due = now.saturating_add(delay);
            self.repeats.extend(stops.iter().map(|stop| Repeat { due, stop: stop.clone() }));
        }
        self.repeats.make_contiguous().sort();
        let excess = self.repeats.len().saturating_sub(MAX_PENDING_REPEATS);
        self.repeats.drain(..excess);
    }

    fn schedule_wake(&mut self, actions: &mut Vec<Action>) {
        let version = self.last_announcement.map(|last| last.saturating_add(VERSION_INTERVAL));
        let repeat = self.repeats.front().map(|repeat| repeat.due);
        let next = [version, repeat].into_iter().flatten().min();
        if let Some(next) = next.filter(|at| self.next_wake != Some(*at)) {
            self.next_wake = Some(next);
            actions.push(Action::WakeAt(next));
        }
    }
}

/// Splits the stops into messages of at most [`MAX_MESSAGE_BYTES`]. Without stops, returns one message with the version
/// alone.
fn split_into_messages(version: u64, stops: Vec<Stop>) -> Vec<ListMessage> {
    let mut messages = Vec::new();
    let mut message = ListMessage { version, stops: vec![] };
    for stop in stops {
        message.stops.push(stop);
        if message.to_bytes().len() > MAX_MESSAGE_BYTES
            && let Some(stop) = message.stops.pop()
        {
            let next = ListMessage { version, stops: vec![stop] };
            messages.push(std::mem::replace(&mut message, next));
        }
    }
    messages.push(message);
    messages
}
