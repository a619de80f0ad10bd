//! The engine as other tasks reach it: clients' connections by [`EngineHandle`], the admin API by [`AdminHandle`].

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

/// The engine as the admin API and the state store reach it.
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
    /// Whether there is an upstream to send to.
    pub fn ready(&self) -> bool {
        self.ready.get()
    }

    /// Whether discovery has delivered a list since the start.
    pub fn heard(&self) -> bool {
        self.has_received_list.get()
    }

    /// Whether the endpoint list is too old to be acted on.
    pub fn is_list_expired(&self) -> bool {
        self.list_expiry.is_over(Instant::now())
    }

    /// How often this balancer has violated its invariants.
    pub fn violations(&self) -> &Violations {
        &self.violations
    }

    /// How often upstreams have sent bytes that no request asked for.
    pub fn unsolicited(&self) -> &UnsolicitedBytes {
        &self.unsolicited
    }

    /// Whether an endpoint list has named this upstream.
    pub async fn has_named(&self, name: String) -> bool {
        let (reply, answer) = oneshot::channel();
        let _ = self.events.send(EngineEvent::HasNamed { name, reply });
        answer.await.unwrap_or(false)
    }

    /// What the decision module has learned so far; nothing, if the engine has ended.
    pub async fn learned(&self) -> Option<Learned> {
        let (reply, answer) = oneshot::channel();
        let _ = self.events.send(EngineEvent::ExportLearned(reply));
        answer.await.ok()
    }

    /// Has the decision module continue from what another process of this balancer has learned.
    pub fn recall(&self, learned: Learned) {
        let _ = self.events.send(EngineEvent::ImportLearned(Box::new(learned)));
    }

    /// The part of the endpoint list that begins at handle `from`, and whether a live watch vouches for the list; nothing,
    /// if the engine has ended.
    pub async fn list(&self, from: u32) -> Option<(ListPart, bool)> {
        let (reply, answer) = oneshot::channel();
        let _ = self.events.send(EngineEvent::ReadList { from, reply });
        answer.await.ok()
    }

    /// Cordons these upstreams, and lets all others back.
    ///
    /// The engine is notified at once. The returned future ends once it has acted, and tells whether it has.
    pub fn cordon(&self, names: BTreeSet<String>) -> impl Future<Output = bool> + use<> {
        let (done, answer) = oneshot::channel();
        let _ = self.events.send(EngineEvent::Cordon { names, done });
        async move { answer.await.is_ok() }
    }
}

/// The engine as clients' connections reach it.
pub struct EngineHandle {
    admin: AdminHandle,
    next_id: Cell<u64>,
}

impl EngineHandle {
    /// A handle on the engine with this state.
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

    /// The engine as the admin API reaches it.
    pub fn admin_handle(&self) -> AdminHandle {
        self.admin.clone()
    }

    /// Whether there is an upstream to send to.
    pub fn is_ready(&self) -> bool {
        self.admin.ready()
    }

    /// Where violations of invariants are counted.
    pub fn violations(&self) -> &Violations {
        self.admin.violations()
    }

    /// Notifies the engine of changes in the cluster of balancers.
    pub fn cluster_notifier(&self) -> impl Fn(ClusterEvent) + use<> {
        let events = self.admin.events.clone();
        move |event| drop(events.send(EngineEvent::Cluster(event)))
    }

    /// Notifies the engine of discovery's address.
    pub fn discovery_updater(&self) -> impl Fn(SocketAddr) + use<> {
        let events = self.admin.events.clone();
        move |discovery| drop(events.send(EngineEvent::DiscoveryMoved(discovery)))
    }

    /// The id of the next request.
    pub fn next_id(&self) -> RequestId {
        RequestId(self.next_id.replace(self.next_id.get() + 1))
    }

    /// Hands in a request and waits for its final answer. Dropped before that, it reports that the client has gone.
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
        answer.unwrap_or(Reply::Failed { late: false })
    }
}

/// Cancels a request whose client has gone before the final answer.
struct CancelOnDrop<'a> {
    id: RequestId,
    cancellation: Rc<Cancellation>,
    /// Nothing once there is an answer.
    events: Option<&'a mpsc::UnboundedSender<EngineEvent>>,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(events) = self.events {
            // Attempts must see it at once, and the event may wait behind many others.
            self.cancellation.cancel();
            let _ = events.send(EngineEvent::ClientDisconnected(self.id));
        }
    }
}
