//! The state of one balancer's session records, and the operations on it that all modules of the protocol share. The
//! protocol itself is in [`routing_client`](crate::routing_client), [`ownership`](crate::ownership),
//! [`claims`](crate::claims), [`transfers`](crate::transfers) and [`reconfiguration`](crate::reconfiguration).

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use crate::config::Config;
use crate::ids::{Cell, Epoch, IdempotencyKey, OwnerSlot, SessionId, Zone};
use crate::interface::Action;
use crate::key_log::{ReplicatedKeys, SentKeys};
use crate::lost_owners::LostOwners;
use crate::message::{Message, encode};
use crate::ownership_table::OwnershipTable;
use crate::record_cache::RecordCache;
use crate::record_store::RecordStore;
use crate::rendezvous::{WeightedCell, cell_for};
use crate::requests::{PendingRequests, Route, RoutedRequests};
use crate::session_record::SessionRecord;
use crate::time::{to_millis, to_moment, to_ticks};

/// The time after which an unanswered message of a claim or a transfer is sent again, in ms.
pub(crate) const TRANSFER_RETRY_MS: u64 = 6;

/// A task that is due at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Timer {
    /// Continue with the pending request of this number.
    Request(u32),
    /// Send the claim requests of a session again.
    Claim(SessionId),
    /// Repeat the current step of the transfer of a session.
    Transfer(SessionId),
    /// Ask a balancer for its records again.
    Fetch(NodeId),
}

/// The timers that are set. Each timer has one moment at most.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Timers {
    by_moment: BTreeSet<(u64, Timer)>,
    moments: BTreeMap<Timer, u64>,
}

impl Timers {
    /// Sets a timer, which replaces the timer's earlier moment.
    pub fn set(&mut self, moment: u64, timer: Timer) {
        if let Some(before) = self.moments.insert(timer, moment) {
            self.by_moment.remove(&(before, timer));
        }
        self.by_moment.insert((moment, timer));
    }

    /// Returns the next moment at which a timer is due.
    pub fn next(&self) -> Option<u64> {
        self.by_moment.first().map(|(moment, _)| *moment)
    }

    /// Removes and returns the next timer that is due.
    pub fn take_due(&mut self, now: u64) -> Option<Timer> {
        let due = self.by_moment.first().copied().filter(|(moment, _)| *moment <= now)?;
        self.by_moment.remove(&due);
        self.moments.remove(&due.1);
        Some(due.1)
    }
}

/// A balancer that waits for the owner's answer to a route request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Waiter {
    pub from: NodeId,
    /// The number of the route request at the waiting balancer.
    pub number: u32,
    pub key: Option<IdempotencyKey>,
    pub is_first: bool,
}

/// A claim of the ownership of a session, which the owners in all other zones have to answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct OwnershipClaim {
    /// The number of the present round of claim requests.
    pub number: u32,
    /// When the round began.
    pub requested_at: u64,
    /// The zones that have answered in the round.
    pub answered: BTreeSet<Zone>,
    /// The epoch of the new ownership has to be above this one.
    pub min_epoch: Epoch,
    /// The `min_epoch` at the start of the round.
    pub initial_min_epoch: Epoch,
    pub waiters: Vec<Waiter>,
}

/// A session whose ownership is transferred to another zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct OutgoingTransfer {
    pub to: OwnerSlot,
    /// The number of the receiver's claim.
    pub claim: u32,
    /// The epoch of the new ownership.
    pub epoch: Epoch,
    /// Whether the record was sent, so that the receiver may own the session.
    pub is_sent: bool,
    /// The version of the ownership table under which the transfer began.
    pub table_version: u64,
}

/// The progress of fetching the records of another balancer of the zone after a change of the ownership table.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RecordFetch {
    /// When the fetch began. All reported records are from this moment or later.
    pub started_at: u64,
    /// The number of records that were received.
    pub offset: u32,
}

/// Counters since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SessionMetrics {
    /// Requests that were routed by a record.
    pub by_record: u64,
    /// Requests without a key that were routed by hash.
    pub by_hash: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Records that were received from another zone.
    pub transferred_in: u64,
    /// Records that were transferred to another zone.
    pub transferred_out: u64,
    /// Records that were evicted because the store was full.
    pub evicted: u64,
    /// Messages that could not be decoded.
    pub undecodable: u64,
    /// Messages from an incarnation without a slot, or under another ownership table.
    pub stale: u64,
    /// Queued claims that were dropped in favour of newer ones.
    pub dropped_claims: u64,
}

/// The number of keys that are stored inside their windows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct KeyCounts {
    /// Keys of records.
    pub of_records: usize,
    /// Keys that this balancer has sent or replicates for an owner.
    pub replicated: usize,
}

/// The number of changes of ownership in progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct TransferCounts {
    /// Claims in progress.
    pub claims: usize,
    /// Transfers to other zones in progress.
    pub outgoing: usize,
    /// Claims that are queued because [`Config::max_claims`] are in progress.
    pub waiting: usize,
}

/// The context of one step of the state machine: the moment and the results.
pub(crate) struct Context<'a> {
    /// The moment of the event, in ms (see [`crate::time`]).
    pub now: u64,
    pub actions: &'a mut Vec<Action>,
    /// Messages from this balancer to itself, which are handled in the same step.
    pub local_messages: VecDeque<Message>,
}

/// The session records of one balancer: a state machine without I/O.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Sessions {
    pub(crate) config: Config,
    /// [`Config::retention`] in ms.
    pub(crate) retention_ms: u64,
    pub(crate) slot: Option<OwnerSlot>,
    /// The moment until which the slot is valid.
    pub(crate) slot_until: u64,
    pub(crate) table: OwnershipTable,
    pub(crate) lost_owners: LostOwners,
    /// The moment until which every session is uncertain according to the reports of the other balancers so far. `None`
    /// except while the records for the first table of this process are fetched.
    pub(crate) initial_uncertain_until: Option<u64>,
    pub(crate) cells: Vec<WeightedCell>,
    pub(crate) cells_revision: u64,
    pub(crate) store: RecordStore,
    pub(crate) claims: BTreeMap<SessionId, OwnershipClaim>,
    /// Sessions whose claims are queued because the maximum number of claims is in progress, the newest last.
    pub(crate) waiting_claims: VecDeque<SessionId>,
    pub(crate) outgoing: BTreeMap<SessionId, OutgoingTransfer>,
    /// The moments until which other balancers may use a record or a permit of this owner.
    pub(crate) permits: BTreeMap<(SessionId, NodeId), u64>,
    pub(crate) cache: RecordCache,
    pub(crate) pending: PendingRequests,
    pub(crate) routed: RoutedRequests,
    pub(crate) replicated_keys: ReplicatedKeys,
    pub(crate) sent_keys: SentKeys,
    /// The sessions that are reported to each new owner after a change of the ownership table.
    pub(crate) outbox: BTreeMap<NodeId, Vec<SessionId>>,
    pub(crate) fetches: BTreeMap<NodeId, RecordFetch>,
    pub(crate) timers: Timers,
    pub(crate) next_wake: Option<u64>,
    last_number: u32,
    pub(crate) metrics: SessionMetrics,
}

impl Sessions {
    /// Creates the state of a process that has just started, without a slot, cells or records.
    pub fn new(config: Config) -> Self {
        Self {
            retention_ms: to_millis(config.retention()),
            store: RecordStore::new(config.max_records, config.max_keys),
            config,
            slot: None,
            slot_until: 0,
            table: OwnershipTable::default(),
            lost_owners: LostOwners::default(),
            initial_uncertain_until: None,
            cells: Vec::new(),
            cells_revision: 0,
            claims: BTreeMap::new(),
            waiting_claims: VecDeque::new(),
            outgoing: BTreeMap::new(),
            permits: BTreeMap::new(),
            cache: RecordCache::default(),
            pending: PendingRequests::default(),
            routed: RoutedRequests::default(),
            replicated_keys: ReplicatedKeys::default(),
            sent_keys: SentKeys::default(),
            outbox: BTreeMap::new(),
            fetches: BTreeMap::new(),
            timers: Timers::default(),
            next_wake: None,
            last_number: 0,
            metrics: SessionMetrics::default(),
        }
    }

    /// Returns the cell of a session by an owned or cached record that is usable at `now`. Most requests are routed by
    /// such a record, without a message to another balancer.
    pub fn known_cell(&self, now: Duration, session: SessionId) -> Option<Cell> {
        self.usable_record(to_moment(now), session).map(|(route, _)| route.cell)
    }

    /// Returns the epoch under which this balancer owns a session's record at `now`, or `None` if it does not own the
    /// record.
    pub fn owned_epoch(&self, now: Duration, session: SessionId) -> Option<Epoch> {
        let owns = self.store.is_owned(session) && !self.outgoing.contains_key(&session);
        (owns && self.holds_slot(to_moment(now))).then(|| self.store.epoch(session))
    }

    /// Returns the counters since the start of the process.
    pub fn metrics(&self) -> SessionMetrics {
        SessionMetrics { evicted: self.store.evicted, ..self.metrics.clone() }
    }

    /// Returns the number of records.
    pub fn record_count(&self) -> usize {
        self.store.len()
    }

    /// Returns the number of keys that are stored inside their windows.
    pub fn key_counts(&self) -> KeyCounts {
        KeyCounts { of_records: self.store.key_count(), replicated: self.replicated_keys.len() }
    }

    /// Returns the number of changes of ownership in progress.
    pub fn transfer_counts(&self) -> TransferCounts {
        TransferCounts {
            claims: self.claims.len(),
            outgoing: self.outgoing.len(),
            waiting: self.waiting_claims.len(),
        }
    }

    /// Whether this balancer's slot is valid. A slot is not valid once ticks saturate, since ticks then cannot
    /// represent the end of a window.
    pub(crate) fn holds_slot(&self, now: u64) -> bool {
        let is_representable = to_ticks(now.saturating_add(self.retention_ms)) < u32::MAX;
        self.slot.is_some() && now < self.slot_until && is_representable
    }

    /// Returns the zone of this balancer's slot.
    pub(crate) fn zone(&self) -> Option<Zone> {
        self.slot.map(|slot| slot.zone)
    }

    /// Returns the owner of a session in this balancer's zone.
    pub(crate) fn owner_in_zone(&self, session: SessionId) -> Option<NodeId> {
        self.table.owner(session, self.zone()?)
    }

    /// Whether the ownership table assigns a session to this balancer in its zone.
    pub(crate) fn is_owner(&self, session: SessionId) -> bool {
        self.owner_in_zone(session) == Some(self.config.node_id)
    }

    /// Whether a cell is in force.
    pub(crate) fn is_in_force(&self, cell: Cell) -> bool {
        self.cells.iter().any(|weighted| weighted.cell == cell)
    }

    /// Returns the cell that the hash chooses for a session.
    pub(crate) fn hash_cell(&self, session: SessionId) -> Option<Cell> {
        cell_for(session, &self.cells)
    }

    /// Returns a number that no pending request or claim of this process has.
    pub(crate) fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1).max(1);
        self.last_number
    }

    /// Returns the route of a session's requests by an owned or cached record that is usable now, and the moment until
    /// which the route is valid.
    pub(crate) fn usable_record(&self, now: u64, session: SessionId) -> Option<(Route, u64)> {
        if !self.holds_slot(now) {
            return None;
        }
        let is_owned = self.store.is_owned(session) && !self.outgoing.contains_key(&session);
        let (route, until) = if is_owned {
            let record = self.store.get(session)?;
            let route = Route { cell: record.cell, epoch: record.epoch };
            (route, now.saturating_add(to_millis(self.config.cache_ttl)).min(self.slot_until))
        } else {
            let cached = self.cache.get(session)?;
            let until = cached.until.min(self.slot_until);
            (cached.route, Some(until).filter(|until| now < *until)?)
        };
        self.is_in_force(route.cell).then_some((route, until))
    }

    /// Sends a message. A message to this balancer itself is queued and handled in the same step.
    pub(crate) fn send(&self, to: NodeId, message: Message, ctx: &mut Context) {
        if to == self.config.node_id {
            ctx.local_messages.push_back(message);
        } else {
            let message = encode(self.table.version, &message);
            ctx.actions.push(Action::Send { to, message });
        }
    }

    /// Imports the record of a session that another balancer reported in answer to a request of `requested_at`. Returns
    /// `false` if the store has no capacity for the record.
    pub(crate) fn import(&mut self, now: u64, requested_at: u64, record: &SessionRecord) -> bool {
        let hash_cell = self.hash_cell(record.session);
        self.store.import(now, requested_at, hash_cell, record).is_ok()
    }
}
