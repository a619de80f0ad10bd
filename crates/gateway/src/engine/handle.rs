//! Handles through which other tasks reach the engine: [`EngineHandle`] for clients' connections, [`AdminHandle`] for the
//! admin API.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use hollowpaddle_policy::interface::RequestId;
use hollowpaddle_policy::learned::Learned;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::event::{Arrival, EngineEvent, Reply};
use super::state::EngineState;
use crate::cancellation::Cancellation;
use crate::cluster::ClusterEvent;
use crate::forwarded_request::ForwardedRequest;
use crate::freshness::Expiry;
use crate::invariants::Violations;
use crate::membership::ListPart;
use crate::upstreams::UnsolicitedBytes;

/// A handle to the engine for the admin API and the state store.
#[derive(Clone)]
pub struct AdminHandle {
    events: mpsc::UnboundedSender<EngineEvent>,
    ready: Rc<Cell<bool>>,
    has_received_list: Rc<Cell<bool>>,
    list_expiry: Expiry,
    violations: Violations,
    unsolicited: UnsolicitedBytes,
}

impl AdminHandle {
    /// Whether any upstream can receive requests.
    pub fn ready(&self) -> bool {
        self.ready.get()
    }

    /// Whether discovery has delivered a list since this process started.
    pub fn has_received_list(&self) -> bool {
        self.has_received_list.get()
    }

    /// Whether the endpoint list is too old to be used.
    pub fn is_list_expired(&self) -> bool {
        self.list_expiry.is_over(Instant::now())
    }

    /// Returns the counts of invariant violations of this balancer.
    pub fn violations(&self) -> &Violations {
        &self.violations
    }

    /// Returns the counts of unsolicited bytes from upstreams.
    pub fn unsolicited(&self) -> &UnsolicitedBytes {
        &self.unsolicited
    }

    /// Whether any endpoint list has named this upstream.
    pub async fn has_named(&self, name: String) -> bool {
        let (reply, answer) = oneshot::channel();
        let _ = self.events.send(EngineEvent::HasNamed { name, reply });
        answer.await.unwrap_or(false)
    }

    /// Returns the estimates that the decision module has learned; `None` if the engine has ended.
    pub async fn learned(&self) -> Option<Learned> {
        let (reply, answer) = oneshot::channel();
        let _ = self.events.send(EngineEvent::ExportLearned(reply));
        answer.await.ok()
    }

    /// Passes the estimates that another process of this balancer has learned to the decision module.
    pub fn import_learned(&self, learned: Learned) {
        let _ = self.events.send(EngineEvent::ImportLearned(Box::new(learned)));
    }

    /// Returns the part of the endpoint list that begins at handle `from`, and whether a live watch confirms that the list
    /// is up to date; `None` if the engine has ended.
    pub async fn list(&self, from: u32) -> Option<(ListPart, bool)> {
        let (reply, answer) = oneshot::channel();
        let _ = self.events.send(EngineEvent::ReadList { from, reply });
        answer.await.ok()
    }

    /// Cordons the named upstreams, and uncordons all others.
    ///
    /// The engine is notified at once. The returned future completes once the engine has applied the cordon, and returns
    /// whether it has.
    pub fn cordon(&self, names: BTreeSet<String>) -> impl Future<Output = bool> + use<> {
        let (done, answer) = oneshot::channel();
        let _ = self.events.send(EngineEvent::Cordon { names, done });
        async move { answer.await.is_ok() }
    }
}

/// A handle to the engine for clients' connections.
pub struct EngineHandle {
    admin: AdminHandle,
    next_id: Cell<u64>,
}

impl EngineHandle {
    /// Creates a handle to the engine with this state.
    pub(super) fn new(state: &EngineState) -> Self {
        let admin = AdminHandle {
            events: state.events.clone(),
            ready: state.ready.clone(),
            has_received_list: state.list_watch.has_received_list.clone(),
            list_expiry: state.list_watch.freshness.expiry(),
            violations: state.violations.clone(),
            unsolicited: state.pool.unsolicited(),
        };
        Self { admin, next_id: Cell::new(0) }
    }

    /// Returns a handle for the admin API.
    pub fn admin_handle(&self) -> AdminHandle {
        self.admin.clone()
    }

    /// Whether any upstream can receive requests.
    pub fn is_ready(&self) -> bool {
        self.admin.ready()
    }

    /// Returns the counts of invariant violations.
    pub fn violations(&self) -> &Violations {
        self.admin.violations()
    }

    /// Returns a function that notifies the engine of events in the cluster of balancers.
    pub fn cluster_notifier(&self) -> impl Fn(ClusterEvent) + use<> {
        let events = self.admin.events.clone();
        move |event| drop(events.send(EngineEvent::Cluster(event)))
    }

    /// Returns a function that notifies the engine of the address of discovery.
    pub fn discovery_updater(&self) -> impl Fn(SocketAddr) + use<> {
        let events = self.admin.events.clone();
        move |discovery| drop(events.send(EngineEvent::DiscoveryMoved(discovery)))
    }

    /// Allocates the id of the next request.
    pub fn next_id(&self) -> RequestId {
        RequestId(self.next_id.replace(self.next_id.get() + 1))
    }

    /// Submits a request and waits for its final answer. Dropping the future before that reports that the client has
    /// disconnected.
    pub async fn submit(
        &self,
        id: RequestId,
        arrival: Arrival,
        forwarded: ForwardedRequest,
    ) -> Reply {
        let events = &self.admin.events;
        let (reply, answer) = oneshot::channel();
        if let Some(body) = forwarded.streamed_body() {
            let events = events.clone();
            body.on_complete(move || drop(events.send(EngineEvent::BodyReceived(id))));
        }
        let cancellation = arrival.cancellation.clone();
        let _ = events.send(EngineEvent::RequestArrived { id, arrival, forwarded, reply });
        let mut cancel_on_drop = CancelOnDrop { id, cancellation, events: Some(events) };
        let answer = answer.await;
        cancel_on_drop.events = None;
        answer.unwrap_or(Reply::Failed { timed_out: false })
    }
}

/// Cancels a request whose client disconnects before the final answer.
struct CancelOnDrop<'a> {
    id: RequestId,
    cancellation: Rc<Cancellation>,
    /// `None` once the request is answered.
    events: Option<&'a mpsc::UnboundedSender<EngineEvent>>,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(events) = self.events {
            // Attempts must see the cancellation at once, while the event may wait behind many others.
            self.cancellation.cancel();
            let _ = events.send(EngineEvent::ClientDisconnected(self.id));
        }
    }
}
