//! The requests of one balancer: those that wait for a record, and those that were routed by one and are not over.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{Cell, Epoch, IdempotencyKey, SessionId};
use crate::interface::Idempotency;

/// The most requests that wait for a record. Beyond it a request is routed at once, as if the owner had not answered.
const MAX_PENDING: usize = 4_096;
/// The most routed requests. Of those beyond it the owner does not learn that they were not executed.
const MAX_ROUTED: usize = 16_384;

/// A request as the caller reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Request {
    pub id: u64,
    pub session: SessionId,
    pub idempotency: Idempotency,
    /// Whether its key was never sent before.
    pub is_first: bool,
    /// The moment at which its client stops waiting.
    pub deadline: u64,
}

impl Request {
    /// Its idempotency key, if it has one.
    pub fn key(&self) -> Option<IdempotencyKey> {
        match self.idempotency {
            Idempotency::Keyed(key) => Some(key),
            Idempotency::Idempotent | Idempotency::NotIdempotent => None,
        }
    }
}

/// Where a request may be sent, and under which ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Route {
    pub cell: Cell,
    pub epoch: Epoch,
}

/// A request that waits for a record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingRequest {
    pub request: Request,
    pub requested_at: u64,
    /// When it is routed without a record.
    pub give_up_at: u64,
    /// It waits for the end of a key's window, not for a response.
    pub waits_for_window: bool,
    /// How often the owner or a replica was asked.
    pub attempts: usize,
    /// This balancer is the owner and has permitted it; it is sent once a replica knows the key.
    pub permitted: Option<Route>,
}

/// The requests that wait for a record, by their numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PendingRequests {
    by_number: BTreeMap<u32, PendingRequest>,
    by_session: BTreeSet<(SessionId, u32)>,
}

impl PendingRequests {
    pub fn is_full(&self) -> bool {
        self.by_number.len() >= MAX_PENDING
    }

    pub fn get(&self, number: u32) -> Option<&PendingRequest> {
        self.by_number.get(&number)
    }

    pub fn get_mut(&mut self, number: u32) -> Option<&mut PendingRequest> {
        self.by_number.get_mut(&number)
    }

    pub fn insert(&mut self, number: u32, pending: PendingRequest) {
        self.by_session.insert((pending.request.session, number));
        self.by_number.insert(number, pending);
    }

    pub fn remove(&mut self, number: u32) -> Option<PendingRequest> {
        let pending = self.by_number.remove(&number)?;
        self.by_session.remove(&(pending.request.session, number));
        Some(pending)
    }

    /// The numbers of a session's requests, in order.
    pub fn numbers(&self, session: SessionId) -> Vec<u32> {
        let range = (session, 0)..=(session, u32::MAX);
        self.by_session.range(range).map(|(_, number)| *number).collect()
    }

    /// Drops all permissions: another ownership table is in force, and the requests are routed anew.
    pub fn reset_permissions(&mut self) {
        self.by_number.values_mut().for_each(|pending| pending.permitted = None);
    }
}

/// A request that was routed by a record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RoutedRequest {
    pub session: SessionId,
    pub key: Option<IdempotencyKey>,
    /// The number under which it was permitted.
    pub number: u32,
    /// It is sent before this moment or not at all.
    pub until: u64,
}

/// The requests that were routed by a record and are not over, by their ids.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct RoutedRequests {
    by_id: BTreeMap<u64, RoutedRequest>,
    /// Those that may still be sent, by session.
    unsent: BTreeSet<(SessionId, u64)>,
}

impl RoutedRequests {
    pub fn insert(&mut self, id: u64, routed: RoutedRequest) {
        self.unsent.insert((routed.session, id));
        self.by_id.insert(id, routed);
        if self.by_id.len() > MAX_ROUTED
            && let Some((id, old)) = self.by_id.pop_first()
        {
            self.unsent.remove(&(old.session, id));
        }
    }

    /// Records that a request was sent or will not be. Returns its session.
    pub fn mark_sent(&mut self, id: u64) -> Option<SessionId> {
        let routed = self.by_id.get(&id)?;
        let session = routed.session;
        self.unsent.remove(&(session, id));
        if routed.key.is_none() {
            self.by_id.remove(&id);
        }
        Some(session)
    }

    pub fn remove(&mut self, id: u64) -> Option<RoutedRequest> {
        self.by_id.remove(&id)
    }

    /// Whether a request of this session was routed and may still be sent.
    pub fn has_unsent(&self, now: u64, session: SessionId) -> bool {
        let unsent = self.unsent.range((session, 0)..=(session, u64::MAX));
        unsent.filter_map(|(_, id)| self.by_id.get(id)).any(|routed| now < routed.until)
    }
}
