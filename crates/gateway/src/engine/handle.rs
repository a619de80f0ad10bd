//! The engine as others reach it: clients' connections and the admin API.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use hollowpaddle_policy::interface::RequestId;
use hollowpaddle_policy::learned::Learned;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::{Arrival, EngineEvent, Reply};
use crate::cluster::News as ClusterEvent;
use crate::freshness::Expiry;
use crate::invariants::Violations;
use crate::membership::Part;
use crate::stream::Cancellation;
use crate::upstreams::ForwardedRequest;

/// The engine as clients' connections see it.
pub struct Handle {
    pub(super) notes: mpsc::UnboundedSender<EngineEvent>,
    pub(super) next: Cell<u64>,
    pub(super) ready: Rc<Cell<bool>>,
    pub(super) heard: Rc<Cell<bool>>,
    pub(super) list_expiry: Expiry,
    pub(super) violations: Violations,
}

/// The engine as operators reach it.
pub struct Door {
    pub(super) notes: mpsc::UnboundedSender<EngineEvent>,
    pub(super) ready: Rc<Cell<bool>>,
    pub(super) heard: Rc<Cell<bool>>,
    pub(super) list_expiry: Expiry,
    pub(super) violations: Violations,
}

impl Door {
    /// Whether there is anywhere to send to.
    pub fn ready(&self) -> bool {
        self.ready.get()
    }

    /// Whether discovery has told a list since the start.
    pub fn heard(&self) -> bool {
        self.heard.get()
    }

    /// Whether the list is too old to be acted on.
    pub fn is_list_expired(&self) -> bool {
        self.list_expiry.is_over(Instant::now())
    }

    /// How often this balancer has broken its promises.
    pub fn violations(&self) -> &Violations {
        &self.violations
    }

    /// Whether a list has named this upstream.
    pub async fn has_named(&self, name: String) -> bool {
        let (reply, answer) = oneshot::channel();
        let _ = self.notes.send(EngineEvent::HasNamed { name, reply });
        answer.await.unwrap_or(false)
    }

    /// What the module has learned so far.
    pub async fn learned(&self) -> Option<Learned> {
        let (reply, answer) = oneshot::channel();
        let _ = self.notes.send(EngineEvent::Learned(reply));
        answer.await.ok()
    }

    /// Has the module go on from what another process of this balancer has learned.
    pub fn recall(&self, learned: Learned) {
        let _ = self.notes.send(EngineEvent::Recall(Box::new(learned)));
    }

    /// A part of the list from there on, and whether a watch on discovery vouches for it.
    pub async fn list(&self, from: u32) -> Option<(Part, bool)> {
        let (reply, answer) = oneshot::channel();
        let _ = self.notes.send(EngineEvent::Listed { from, reply });
        answer.await.ok()
    }

    /// Takes these out, and lets all others back; whether that is done.
    /// Told at once; what is returned waits for it to be done.
    pub fn cordon(&self, names: BTreeSet<String>) -> impl Future<Output = bool> + use<> {
        let (done, answer) = oneshot::channel();
        let _ = self.notes.send(EngineEvent::Cordoned { names, done });
        async move { answer.await.is_ok() }
    }
}

impl Handle {
    /// The engine as operators reach it.
    pub fn door(&self) -> Door {
        Door {
            notes: self.notes.clone(),
            ready: self.ready.clone(),
            heard: self.heard.clone(),
            list_expiry: self.list_expiry.clone(),
            violations: self.violations.clone(),
        }
    }

    /// Whether there is anywhere to send to.
    pub fn ready(&self) -> bool {
        self.ready.get()
    }

    /// Where violations are counted.
    pub fn violations(&self) -> &Violations {
        &self.violations
    }

    /// Tells the engine what is new with the bank.
    pub fn banker(&self) -> impl Fn(ClusterEvent) + use<> {
        let notes = self.notes.clone();
        move |news| drop(notes.send(EngineEvent::Cluster(news)))
    }

    /// Tells the engine where discovery is now.
    pub fn reloader(&self) -> impl Fn(SocketAddr) + use<> {
        let notes = self.notes.clone();
        move |discovery| drop(notes.send(EngineEvent::Moved(discovery)))
    }

    /// The handle of the next request.
    pub fn next_id(&self) -> RequestId {
        RequestId(self.next.replace(self.next.get() + 1))
    }

    /// Hands in a request and waits for its answer. Dropped before that, it tells that the client left.
    pub async fn ask(&self, id: RequestId, arrival: Arrival, forward: ForwardedRequest) -> Reply {
        let (reply, answer) = oneshot::channel();
        if let Some(flow) = forward.flow() {
            let notes = self.notes.clone();
            flow.when_whole(move || drop(notes.send(EngineEvent::Whole(id))));
        }
        let cancellation = arrival.cancellation.clone();
        let _ = self.notes.send(EngineEvent::Arrived { id, arrival, forward, reply });
        let mut leaving = Leaving { id, cancellation, notes: Some(&self.notes) };
        let answer = answer.await;
        leaving.notes = None;
        answer.unwrap_or(Reply::Failed { late: false })
    }
}

/// Tells of a client that went away before its answer.
struct Leaving<'a> {
    id: RequestId,
    cancellation: Rc<Cancellation>,
    pub(super) notes: Option<&'a mpsc::UnboundedSender<EngineEvent>>,
}

impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        if let Some(notes) = self.notes {
            // At once: the note may wait behind many.
            self.cancellation.cancel();
            let _ = notes.send(EngineEvent::Left(self.id));
        }
    }
}
