//! The record of a run as clients, upstreams and discovery observed it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::time::Instant;

use crate::settings::Class;

/// The result of a request at its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A complete response with this status and body.
    Whole(u16, String),
    /// An incomplete response.
    Partial,
    /// The connection closed without a reset, which means that the daemon had read the request.
    EndInOrder,
    /// A reset before any byte of the response. The request is assumed to be unread.
    Reset,
    /// The connection could not be established.
    NotConnected,
    /// No response within the deadline and half a second.
    Nothing,
}

/// State of a connection when a request is written to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// Newly established.
    New,
    /// Established, then idle for a long time before its first request.
    NewAndRested,
    /// Already used for an earlier request.
    Reused,
}

/// A request as observed by its client.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request class.
    pub class: Class,
    /// Number of the balancer that received the request.
    pub balancer: usize,
    /// State of the connection that carried the request.
    pub connection: Connection,
    /// Time at which the connection was established.
    pub connected: Instant,
    /// Time at which the last byte was written.
    pub sent: Instant,
    /// The deadline, after which the client gives up.
    pub until: Instant,
    /// Time at which the client closed the connection before a response, if it did.
    pub left: Option<Instant>,
    /// The result and its time.
    pub answer: Option<(Instant, Answer)>,
}

/// The outcome of an attempt at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The last byte of the request has not arrived.
    NotWhole,
    /// The upstream rejected the request and stated that it was not executed.
    TurnedAway,
    /// The upstream executed the request.
    Ran,
}

/// An attempt as observed by its upstream.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request ID.
    pub id: String,
    /// The upstream ID.
    pub upstream: String,
    /// The upstream's cell.
    pub cell: u32,
    /// Arrival of the first byte.
    pub begun: Instant,
    /// Arrival of the last byte.
    pub whole: Option<Instant>,
    /// End of the response or of the connection.
    pub over: Option<Instant>,
    /// The remaining time that the request announced, in milliseconds.
    pub announced_ms: u64,
    /// The outcome.
    pub fate: AttemptOutcome,
}

/// Notification to a balancer that an upstream drains or is removed.
#[derive(Clone, Copy, Debug)]
pub struct Notification {
    /// Time at which the notification was written to the balancer.
    pub written: Instant,
}

/// Termination times of one balancer process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Incarnation {
    /// Time at which SIGTERM was sent.
    pub terminated: Option<Instant>,
    /// Time at which the process was killed.
    pub killed: Option<Instant>,
    /// Time at which the process had exited.
    pub gone: Option<Instant>,
}

/// All records of a run.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Requests by request ID.
    pub requests: HashMap<String, Request>,
    /// Attempts in the order of their start.
    pub attempts: Vec<Attempt>,
    /// Notifications in force, by balancer and upstream ID. A notification is withdrawn when the upstream serves again.
    pub notifications: HashMap<(usize, String), Notification>,
    /// Withdrawn notifications: balancer, upstream ID, notification and time of withdrawal.
    pub withdrawn_notifications: Vec<(usize, String, Notification, Instant)>,
    /// Processes of each balancer, oldest first.
    pub incarnations: HashMap<usize, Vec<Incarnation>>,
    /// Upstream restarts: upstream ID and time.
    pub upstream_restarts: Vec<(String, Instant)>,
    /// Faults of the daemons, found in their logs, readiness or exits.
    pub daemon_failures: Vec<String>,
}

/// A ledger shared by all tasks.
pub type SharedLedger = Arc<Mutex<Ledger>>;

/// Locks the ledger, even if another task panicked while it held the lock.
pub fn lock(ledger: &SharedLedger) -> MutexGuard<'_, Ledger> {
    ledger.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl Ledger {
    /// Records that a balancer was notified whether an upstream serves.
    pub fn record_notification(
        &mut self,
        balancer: usize,
        upstream: &str,
        serves: bool,
        now: Instant,
    ) {
        let key = (balancer, upstream.to_string());
        if !serves {
            self.notifications.entry(key).or_insert(Notification { written: now });
        } else if let Some(notification) = self.notifications.remove(&key) {
            self.withdrawn_notifications.push((balancer, upstream.to_string(), notification, now));
        }
    }
}
