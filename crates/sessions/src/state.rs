//! The state of one balancer's session records, and what all parts of the protocol use of it. The parts themselves are
//! in the modules above: [`routing_client`](crate::routing_client), [`ownership`](crate::ownership),
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

/// Messages of claims and transfers are repeated after this time, in ms, until they are answered.
pub(crate) const TRANSFER_RETRY_MS: u64 = 6;

/// What is due at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Timer {
    /// Ask again where the request of this number goes.
    Request(u32),
    /// Ask again for the ownership of a session.
    Claim(SessionId),
    /// Repeat the transfer of a session.
    Transfer(SessionId),
    /// Ask a balancer again for its records.
    Fetch(NodeId),
}

/// Timers, each set once at most.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Timers {
    by_moment: BTreeSet<(u64, Timer)>,
    moments: BTreeMap<Timer, u64>,
}

impl Timers {
    /// Sets a timer, in place of its earlier moment.
    pub fn set(&mut self, moment: u64, timer: Timer) {
        if let Some(before) = self.moments.insert(timer, moment) {
            self.by_moment.remove(&(before, timer));
        }
        self.by_moment.insert((moment, timer));
    }

    /// The next moment at which a timer is due.
    pub fn next(&self) -> Option<u64> {
        self.by_moment.first().map(|(moment, _)| *moment)
    }

    /// Takes the next timer that is due.
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
    /// The number of its request.
    pub number: u32,
    pub key: Option<IdempotencyKey>,
    pub is_first: bool,
}

/// A claim to the ownership of a session, for which the owners in all other zones are asked.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct OwnershipClaim {
    /// The number of this round of requests.
    pub number: u32,
    /// When this round began.
    pub requested_at: u64,
    /// The zones that have answered it.
    pub answered: BTreeSet<Zone>,
    /// The new ownership has to be above this epoch.
    pub min_epoch: Epoch,
    /// `min_epoch` when this round began.
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
    /// Whether the record was sent, so that the receiver may own it.
    pub is_sent: bool,
    /// The version of the ownership table under which it began.
    pub table_version: u64,
}

/// The records that another balancer of the zone is asked for after a change of the ownership table.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RecordFetch {
    /// When it began: what is reported is from then or later.
    pub started_at: u64,
    /// How many records were received.
    pub offset: u32,
}

/// What has happened so far.
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
    /// Records that were evicted to make room.
    pub evicted: u64,
    /// Messages that could not be decoded.
    pub undecodable: u64,
    /// Messages from an incarnation without a slot, or under another ownership table.
    pub stale: u64,
    /// Claims that waited for room and were dropped for newer ones.
    pub dropped_claims: u64,
}

/// How many keys are remembered inside their windows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct KeyCounts {
    /// Keys of records.
    pub of_records: usize,
    /// Keys that this balancer has sent or replicates for an owner.
    pub replicated: usize,
}

/// How many ownerships change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct TransferCounts {
    /// Claims under way.
    pub claims: usize,
    /// Transfers to other zones under way.
    pub outgoing: usize,
    /// Claims that wait for room.
    pub waiting: usize,
}

/// One step of the state machine: its moment, and what it results in.
pub(crate) struct Context<'a> {
    /// The moment of the event, in ms (see [`crate::time`]).
    pub now: u64,
    pub actions: &'a mut Vec<Action>,
    /// Messages to this balancer itself, which are handled in the same step.
    pub local_messages: VecDeque<Message>,
}

/// The session records of one balancer: a state machine without I/O.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Sessions {
    pub(crate) config: Config,
    /// What is older than this does not matter any more, in ms.
    pub(crate) retention_ms: u64,
    pub(crate) slot: Option<OwnerSlot>,
    /// The moment until which the slot is valid.
    pub(crate) slot_until: u64,
    pub(crate) table: OwnershipTable,
    pub(crate) lost_owners: LostOwners,
    /// While the records for the first table of this process are fetched: until when every session is uncertain by what
    /// the others have reported so far.
    pub(crate) initial_uncertain_until: Option<u64>,
    pub(crate) cells: Vec<WeightedCell>,
    pub(crate) cells_revision: u64,
    pub(crate) store: RecordStore,
    pub(crate) claims: BTreeMap<SessionId, OwnershipClaim>,
    /// Sessions to be claimed once there is room, the newest last.
    pub(crate) waiting_claims: VecDeque<SessionId>,
    pub(crate) outgoing: BTreeMap<SessionId, OutgoingTransfer>,
    /// Until when another balancer may use a record or a permit of this owner.
    pub(crate) permits: BTreeMap<(SessionId, NodeId), u64>,
    pub(crate) cache: RecordCache,
    pub(crate) pending: PendingRequests,
    pub(crate) routed: RoutedRequests,
    pub(crate) replicated_keys: ReplicatedKeys,
    pub(crate) sent_keys: SentKeys,
    /// After a change of the ownership table: the sessions that are reported to each new owner.
    pub(crate) outbox: BTreeMap<NodeId, Vec<SessionId>>,
    pub(crate) fetches: BTreeMap<NodeId, RecordFetch>,
    pub(crate) timers: Timers,
    pub(crate) next_wake: Option<u64>,
    last_number: u32,
    pub(crate) metrics: SessionMetrics,
}

impl Sessions {
    /// The state of a process that has just started and knows nothing yet.
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

    /// The cell of a session that is known at `now` without asking anybody, by an owned or cached record: what most
    /// requests need.
    pub fn known_cell(&self, now: Duration, session: SessionId) -> Option<Cell> {
        self.usable_record(to_moment(now), session).map(|(route, _)| route.cell)
    }

    /// The epoch under which this balancer claims to own a session's record at `now`.
    pub fn owned_epoch(&self, now: Duration, session: SessionId) -> Option<Epoch> {
        let owns = self.store.is_owned(session) && !self.outgoing.contains_key(&session);
        (owns && self.holds_slot(to_moment(now))).then(|| self.store.epoch(session))
    }

    /// What has happened so far.
    pub fn metrics(&self) -> SessionMetrics {
        SessionMetrics { evicted: self.store.evicted, ..self.metrics.clone() }
    }

    /// How many records there are.
    pub fn record_count(&self) -> usize {
        self.store.len()
    }

    /// How many keys are remembered inside their windows.
    pub fn key_counts(&self) -> KeyCounts {
        KeyCounts { of_records: self.store.key_count(), replicated: self.replicated_keys.len() }
    }

    /// How many ownerships change.
    pub fn transfer_counts(&self) -> TransferCounts {
        TransferCounts {
            claims: self.claims.len(),
            outgoing: self.outgoing.len(),
            waiting: self.waiting_claims.len(),
        }
    }

    /// Whether the own slot is valid. Ticks that have saturated cannot say when a window ends.
    pub(crate) fn holds_slot(&self, now: u64) -> bool {
        let is_representable = to_ticks(now.saturating_add(self.retention_ms)) < u32::MAX;
        self.slot.is_some() && now < self.slot_until && is_representable
    }

    /// The zone of the own slot.
    pub(crate) fn zone(&self) -> Option<Zone> {
        self.slot.map(|slot| slot.zone)
    }

    /// The owner of a session in the own zone.
    pub(crate) fn owner_in_zone(&self, session: SessionId) -> Option<NodeId> {
        self.table.owner(session, self.zone()?)
    }

    /// Whether this balancer is the owner of a session in its own zone.
    pub(crate) fn is_owner(&self, session: SessionId) -> bool {
        self.owner_in_zone(session) == Some(self.config.node_id)
    }

    /// Whether a cell is in force.
    pub(crate) fn is_in_force(&self, cell: Cell) -> bool {
        self.cells.iter().any(|weighted| weighted.cell == cell)
    }

    /// The cell that the hash chooses for a session.
    pub(crate) fn hash_cell(&self, session: SessionId) -> Option<Cell> {
        cell_for(session, &self.cells)
    }

    /// A number that no request or claim of this process under way has.
    pub(crate) fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1).max(1);
        self.last_number
    }

    /// Where requests of a session go by a record that may be used now, and until when: an owned one, or a cached one.
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

    /// Sends a message, or queues it for this step if it is to this balancer itself.
    pub(crate) fn send(&self, to: NodeId, message: Message, ctx: &mut Context) {
        if to == self.config.node_id {
            ctx.local_messages.push_back(message);
        } else {
            let message = encode(self.table.version, &message);
            ctx.actions.push(Action::Send { to, message });
        }
    }

    /// Imports what another balancer reported of a session when it was asked at `requested_at`. Returns `false` if there is
    /// no room for it.
    pub(crate) fn import(&mut self, now: u64, requested_at: u64, record: &SessionRecord) -> bool {
        let hash_cell = self.hash_cell(record.session);
        self.store.import(now, requested_at, hash_cell, record).is_ok()
    }
}
