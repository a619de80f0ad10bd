//! The table of clients' connections: a slot for each, and the selection of the connection to evict when no slot is free for
//! the next. The module `connection` tracks the state of one connection, and `clients` serves the connections.

mod connection;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use rustc_hash::FxHashMap;
use tokio::time::Instant;

use crate::stream::Traffic;
use connection::EvictionRank;

pub use connection::{Connection, FIRST_BYTES_TIME};

/// All open connections, up to a limit.
pub struct Connections {
    open: RefCell<FxHashMap<u64, Rc<Connection>>>,
    next_id: Cell<u64>,
    max_open: usize,
    /// The number of connections in use above which idle connections are closed.
    max_in_use_with_idle: usize,
}

/// The slot of a connection. Dropping it frees the slot.
pub struct ConnectionSlot(Slot);

#[derive(Clone)]
struct Slot {
    connection: Rc<Connection>,
    connections: Rc<Connections>,
    id: u64,
}

/// A response that is being streamed. Dropping the guard ends the response's request.
pub struct StreamingGuard(Slot);

impl Drop for StreamingGuard {
    fn drop(&mut self) {
        if self.0.connection.is_streaming() {
            self.0.finish_request();
        }
    }
}

impl ConnectionSlot {
    /// Returns the connection in this slot.
    pub fn connection(&self) -> &Connection {
        &self.0.connection
    }

    /// Returns a shared reference to the connection in this slot.
    pub fn share_connection(&self) -> Rc<Connection> {
        self.0.connection.clone()
    }

    /// Returns the id of the connection, for the log.
    pub fn id(&self) -> u64 {
        self.0.id
    }

    /// Records that the request was answered.
    pub fn finish_request(&self) {
        self.0.finish_request();
    }

    /// Records that a streamed response has begun. The request stays open until the guard is dropped, so that the connection
    /// does not count as idle meanwhile.
    pub fn start_streaming(&self) -> StreamingGuard {
        self.0.connection.start_streaming();
        StreamingGuard(self.0.clone())
    }
}

impl Slot {
    /// Records that the request was answered, and evicts the longest idle connection if many are in use: clients that send
    /// one request and keep their connection open would soon use up all slots.
    fn finish_request(&self) {
        self.connection.finish_request();
        if !self.connections.are_many_in_use() {
            return;
        }
        let open = self.connections.open.borrow();
        // This connection is excluded, since its response is not written yet.
        let others = open.iter().filter(|(id, _)| **id != self.id);
        let idle = others.filter_map(|(_, other)| Some((other.idle_since()?, other)));
        if let Some((_, longest_idle)) = idle.min_by_key(|(since, _)| *since) {
            longest_idle.evict();
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        tracing::debug!(connection = self.0.id, "connection closed");
        self.0.connections.open.borrow_mut().remove(&self.0.id);
    }
}

impl Connections {
    /// Creates an empty table for at most `max_open` connections. Idle connections are closed while more than
    /// `max_in_use_with_idle` are in use.
    pub fn new(max_open: usize, max_in_use_with_idle: usize) -> Rc<Self> {
        Rc::new(Self {
            open: RefCell::default(),
            next_id: Cell::new(0),
            max_open,
            max_in_use_with_idle,
        })
    }

    /// Counts the open connections.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Whether a long response is being streamed to any client.
    pub fn any_streaming(&self) -> bool {
        self.open.borrow().values().any(|connection| connection.is_streaming())
    }

    /// Whether all slots are in use.
    pub fn is_full(&self) -> bool {
        self.len() >= self.max_open
    }

    fn are_many_in_use(&self) -> bool {
        let open = self.open.borrow();
        open.len() > self.max_in_use_with_idle
            && open.values().filter(|connection| connection.is_in_use()).count()
                > self.max_in_use_with_idle
    }

    /// Allocates a slot for a new connection, whose client may have been silent since `silent_since`.
    pub fn open(self: &Rc<Self>, traffic: Traffic, silent_since: Instant) -> ConnectionSlot {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let connection = Rc::new(Connection::new(traffic, silent_since));
        self.open.borrow_mut().insert(id, connection.clone());
        ConnectionSlot(Slot { connection, connections: self.clone(), id })
    }

    /// Evicts one connection without an open request: the one that has sent no request for longest, otherwise the longest
    /// idle one. Silent connections must not block all other clients. Returns whether a slot will be free once the tasks of
    /// the connections have run.
    pub fn evict(&self) -> bool {
        let now = Instant::now();
        let open = self.open.borrow();
        if open.values().any(|connection| connection.is_evicted()) {
            return true;
        }
        let mut candidates: Vec<(EvictionRank, &Rc<Connection>)> = Vec::new();
        for connection in open.values() {
            if let Some(rank) = connection.eviction_rank(now) {
                candidates.push((rank, connection));
            }
        }
        candidates.sort_unstable_by_key(|(rank, _)| *rank);
        // The kernel is asked only until one client does not send.
        let evicted = candidates.iter().find(|(_, connection)| !connection.is_receiving(now));
        if let Some((_, connection)) = evicted {
            connection.evict();
        }
        evicted.is_some()
    }
}

#[cfg(test)]
mod tests;
