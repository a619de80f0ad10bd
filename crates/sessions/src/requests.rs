//! The requests of one balancer: requests that wait for a record, and requests that were routed by a record and have
//! not ended.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{Cell, Epoch, IdempotencyKey, SessionId};
use crate::interface::Idempotency;

/// The largest number of requests that wait for a record. At the limit, a request is routed at once, as if the owner
/// had not answered.
const MAX_PENDING: usize = 4_096;
/// The largest number of routed requests. Beyond the limit, the oldest requests are removed, and the owner is not
/// notified if a removed request is not executed.
const MAX_ROUTED: usize = 16_384;

/// A request as the caller reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Request {
    pub id: u64,
    pub session: SessionId,
    pub idempotency: Idempotency,
    /// Whether the key was never sent before.
    pub is_first: bool,
    /// The moment at which the client stops waiting.
    pub deadline: u64,
}

impl Request {
    /// Returns the idempotency key of the request, if it has one.
    pub fn key(&self) -> Option<IdempotencyKey> {
        match self.idempotency {
            Idempotency::Keyed(key) => Some(key),
            Idempotency::Idempotent | Idempotency::NotIdempotent => None,
        }
    }
}

/// The cell to which a request may be sent, and the epoch of the ownership that permits this.
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
    /// The moment at which the request is routed without a record.
    pub give_up_at: u64,
    /// Whether the request waits for the end of a key's window, not for a response.
    pub waits_for_window: bool,
    /// The number of messages to the owner or a replica so far.
    pub attempts: usize,
    /// The route that this balancer, as the owner, has permitted. The request is sent once a replica has stored the
    /// key.
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

    /// Returns the numbers of a session's requests, in order.
    pub fn numbers(&self, session: SessionId) -> Vec<u32> {
        let range = (session, 0)..=(session, u32::MAX);
        self.by_session.range(range).map(|(_, number)| *number).collect()
    }

    /// Drops all permissions after a change of the ownership table, so that the requests are routed again.
    pub fn reset_permissions(&mut self) {
        self.by_number.values_mut().for_each(|pending| pending.permitted = None);
    }
}

/// A request that was routed by a record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RoutedRequest {
    pub session: SessionId,
    pub key: Option<IdempotencyKey>,
    /// The number under which the request was permitted.
    pub number: u32,
    /// The moment before which the request is sent, or not at all.
    pub until: u64,
}

/// The requests that were routed by a record and have not ended, by their ids.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct RoutedRequests {
    by_id: BTreeMap<u64, RoutedRequest>,
    /// The requests that may still be sent, by session.
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

    /// Records that a request was sent or will not be sent. Returns the session of the request.
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
