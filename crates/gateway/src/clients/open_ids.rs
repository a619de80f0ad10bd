//! Tracks the ids of open requests, since an upstream could not distinguish two open requests with the same id, and those of
//! requests whose clients have disconnected, since an upstream may still run them.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::hash::{BuildHasher, RandomState};
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderValue};
use rustc_hash::FxHashSet;
use tokio::time::Instant;

/// How long an id stays in use after its client has disconnected. It exceeds the longest deadline that an upstream is told.
const ABANDONED_ID_TIME: Duration = Duration::from_secs(10);
/// The largest number of ids of disconnected clients. Beyond it the oldest are free again.
const MAX_ABANDONED_IDS: usize = 16 << 10;

/// The ids that are in use, by the hash of tenant and id. Tenants choose ids independently, so ids are unique within a tenant
/// only. The headers themselves are not stored, since each would keep the buffer of its whole head.
#[derive(Default)]
pub(super) struct OpenIds {
    hasher: RandomState,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    open: FxHashSet<u64>,
    /// The ids of disconnected clients in the order in which they become free.
    abandoned: VecDeque<AbandonedId>,
}

struct AbandonedId {
    free_at: Instant,
    id: u64,
}

/// Registration of the id of an open request. Dropping it before the request is answered keeps the id in use for
/// [`ABANDONED_ID_TIME`].
pub(super) struct OpenId<'a> {
    ids: &'a OpenIds,
    id: u64,
    is_answered: bool,
}

impl OpenIds {
    /// Registers the id in these headers as open. Returns `None` if there is no id or it is in use.
    pub(super) fn open(&self, headers: &HeaderMap) -> Option<OpenId<'_>> {
        let id = headers.get("x-request-id")?.as_bytes();
        let tenant = headers.get("x-tenant").map(HeaderValue::as_bytes);
        let id = self.hasher.hash_one((tenant, id));
        let mut state = self.state.borrow_mut();
        state.free_abandoned(Instant::now());
        let is_new = state.open.insert(id);
        is_new.then(|| OpenId { ids: self, id, is_answered: false })
    }
}

impl State {
    /// Frees the ids whose time is over, and the oldest ones beyond [`MAX_ABANDONED_IDS`].
    fn free_abandoned(&mut self, now: Instant) {
        while let Some(first) = self.abandoned.front() {
            if now < first.free_at && self.abandoned.len() <= MAX_ABANDONED_IDS {
                return;
            }
            self.open.remove(&first.id);
            self.abandoned.pop_front();
        }
    }
}

impl OpenId<'_> {
    /// Frees the id of a request that is answered.
    pub(super) fn finish(mut self) {
        self.is_answered = true;
    }
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        let mut state = self.ids.state.borrow_mut();
        if self.is_answered {
            state.open.remove(&self.id);
            return;
        }
        let free_at = Instant::now() + ABANDONED_ID_TIME;
        state.abandoned.push_back(AbandonedId { free_at, id: self.id });
    }
}
