//! Runs one balancer from its start to its end: connects the engine, the client server, the state store, the cluster and the
//! admin API.
//!
//! The program handles signals, provides sockets and locates the configuration.

use std::collections::BTreeSet;
use std::future::Future;
use std::rc::Rc;

use hollowpaddle_net::{Listener, Network};
use hollowpaddle_operator_commands::{OperatorStateCopy, RecoveredCopy};
use hollowpaddle_policy::learned::Learned;
use hollowpaddle_revision::fleet::ClassFacts;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::admin::{Admin, ManagedBalancer, OperatorAccess};
use crate::clients::ClientServer;
use crate::cluster::admin_api::{AdminRequest, AdminResponse, fleet_facts};
use crate::cluster::{AdminCall, ClusterEvent, ClusterHandle, PolicyReader};
use crate::config::{Budget, Config};
use crate::engine::{AdminHandle, Engine, EngineError, EngineHandle};
use crate::members::{Entry, List};
use crate::state_store::{Restored, StateStore, StoredState};
use crate::tasks::AbortOnDrop;
use crate::upstreams::Pool;

/// Optional resources of a balancer beside its sockets. A balancer can serve without any of them.
#[derive(Default)]
pub struct Resources {
    /// Resources of the admin API.
    pub operator_access: OperatorAccess,
    /// State of the previous process, and the saver for the state of this process.
    pub stored_state: Option<StoredState>,
    /// Handle of the cluster.
    pub cluster: Option<ClusterHandle>,
}

/// An error that prevents a balancer from serving or ends it early.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The configuration is invalid.
    #[error(transparent)]
    Engine(#[from] EngineError),
    /// The engine has ended, so no request can be answered any more, and the process has to be restarted.
    #[error("the engine ended")]
    EngineEnded,
}

/// The parts of the balancer that carry out operator commands.
struct Balancer {
    engine: AdminHandle,
    client_server: Rc<ClientServer>,
    state_store: Option<Rc<StateStore>>,
    cluster: Option<AdminClient>,
}

/// Sends operator requests to the cluster.
struct AdminClient {
    calls: mpsc::UnboundedSender<AdminCall>,
    classes: Vec<ClassFacts>,
}

impl Balancer {
    /// Returns all entries of the endpoint list, which the engine provides in parts; `None` once the engine has ended.
    async fn list_entries(&self) -> Option<Vec<Entry>> {
        let (mut entries, mut next) = (Vec::new(), Some(0));
        while let Some(from) = next {
            let (mut part, _) = self.engine.list(from).await?;
            entries.append(&mut part.members);
            next = part.next;
        }
        Some(entries)
    }
}

impl ManagedBalancer for Balancer {
    fn is_ready(&self) -> bool {
        self.engine.ready()
    }
    fn has_list(&self) -> bool {
        self.engine.has_received_list()
    }
    fn has_named(&self, name: String) -> impl Future<Output = bool> {
        self.engine.has_named(name)
    }
    fn cordon(&self, names: BTreeSet<String>) -> impl Future<Output = bool> {
        self.engine.cordon(names)
    }
    fn quiesce(&self, quiesced: bool) {
        self.client_server.quiesce(quiesced);
    }
    fn learned(&self) -> impl Future<Output = Option<Learned>> {
        self.engine.learned()
    }
    fn restore_learned(&self, learned: Learned) {
        self.engine.import_learned(learned);
    }
    fn start_status(&self) -> serde_json::Value {
        let mut status = match &self.state_store {
            Some(state_store) => state_store.start_status(),
            None => serde_json::json!({"ok": true, "keeps": false}),
        };
        status["list_expired"] = self.engine.is_list_expired().into();
        status["unsolicited"] = self.engine.unsolicited().counts();
        status["violations"] = self.engine.violations().counts();
        status
    }
    fn recovered_copy(&self) -> RecoveredCopy {
        self.state_store.as_ref().map_or(RecoveredCopy::Absent, |s| s.recovered_copy())
    }
    fn save_copy(&self, copy: OperatorStateCopy) {
        if let Some(state_store) = &self.state_store {
            state_store.save_copy(copy);
        }
    }
    fn is_clustered(&self) -> bool {
        self.cluster.is_some()
    }
    async fn request_from_cluster(
        &self,
        request: AdminRequest,
        deadline: Instant,
    ) -> Option<AdminResponse> {
        let cluster = self.cluster.as_ref()?;
        let facts = fleet_facts(&self.list_entries().await?, &cluster.classes);
        let (reply, answer) = oneshot::channel();
        cluster.calls.send(AdminCall { request, facts, deadline, reply }).ok()?;
        answer.await.ok()
    }
}

/// Serves clients on `listener` until `stop`, then completes the accepted requests. All other connections use `network`.
/// Each configuration that arrives on `reloads` moves the endpoint watch to its discovery address. Must run inside a
/// `LocalSet`.
///
/// # Errors
/// Returns an error if the configuration is invalid or the engine has ended.
pub async fn serve(
    mut config: Config,
    network: Rc<dyn Network>,
    listener: Box<dyn Listener>,
    resources: Resources,
    reloads: mpsc::UnboundedReceiver<Config>,
    stop: impl Future<Output = ()>,
) -> Result<(), ServeError> {
    let Resources { operator_access, stored_state, cluster } = resources;
    let budget = config.budget();
    let pool = Pool::new(budget.upstreams, &config, network.clone());
    let (restored, restored_list) = match stored_state {
        Some(stored) => {
            let meaning = config.facts.numbering_hash();
            let (restored, list) =
                Restored::read(stored, network.unix_now(), &config.initial_list, meaning);
            (Some(restored), list)
        }
        None => (None, None),
    };
    let (reader, events, admin_client) = match cluster {
        Some(ClusterHandle { reader, events, calls }) => {
            let reader: Rc<dyn PolicyReader> = Rc::new(reader);
            (Some(reader), Some(events), Some(AdminClient { calls, classes: classes(&config) }))
        }
        None => (None, None, None),
    };
    let (engine, handle) = Engine::new(&config, restored_list, pool, network, reader)?;
    // Frees the list, of which the engine has its own records. The rest of the configuration is needed while serving.
    config.initial_list = List::default();
    let mut engine = AbortOnDrop(tokio::task::spawn_local(engine.run()));
    let _events = events.map(|events| forward_events(events, &handle));
    let _reloads = forward_reloads(reloads, &handle);
    let serving_parts =
        ServingParts { config, budget, handle, operator_access, restored, admin_client };
    serving_parts.serve(&mut engine, listener, stop).await
}

/// The parts of the balancer that are needed to serve once the engine runs.
struct ServingParts {
    config: Config,
    budget: Budget,
    handle: EngineHandle,
    operator_access: OperatorAccess,
    restored: Option<Restored>,
    admin_client: Option<AdminClient>,
}

impl ServingParts {
    /// Serves clients and operators until `stop` or the engine's end, then saves the state for the last time.
    async fn serve(
        self,
        engine: &mut AbortOnDrop,
        listener: Box<dyn Listener>,
        stop: impl Future<Output = ()>,
    ) -> Result<(), ServeError> {
        let Self { config, budget, handle, operator_access, restored, admin_client } = self;
        let engine_admin = handle.admin_handle();
        // The state is restored before any client is accepted.
        let state_store =
            restored.map(|restored| StateStore::start(restored, handle.admin_handle()));
        let _periodic_saves =
            state_store.clone().map(|store| AbortOnDrop(tokio::task::spawn_local(store.run())));
        let client_server = Rc::new(ClientServer::new(&config, handle, &budget));
        let balancer = Balancer {
            engine: engine_admin,
            client_server: client_server.clone(),
            state_store: state_store.clone(),
            cluster: admin_client,
        };
        let admin = Admin::join(balancer, operator_access.store).await;
        let _store_follower = AbortOnDrop(tokio::task::spawn_local(admin.clone().follow_store()));
        let _admin_server = operator_access
            .listener
            .map(|listener| AbortOnDrop(tokio::task::spawn_local(admin.clone().serve(listener))));
        let serve =
            client_server.serve(listener, admin.wait_to_serve(), stop, || admin.has_successor());
        let served = tokio::select! {
            biased;
            () = serve => Ok(()),
            _ = &mut engine.0 => Err(ServeError::EngineEnded),
        };
        if let (Ok(()), Some(state_store)) = (&served, state_store) {
            state_store.finish().await;
        }
        served
    }
}

/// Passes the cluster's events to the engine until the returned guard is dropped.
fn forward_events(
    mut events: mpsc::UnboundedReceiver<ClusterEvent>,
    handle: &EngineHandle,
) -> AbortOnDrop {
    let notify = handle.cluster_notifier();
    AbortOnDrop(tokio::task::spawn_local(async move {
        while let Some(event) = events.recv().await {
            notify(event);
        }
    }))
}

/// Passes the discovery address of each new configuration to the engine until the returned guard is dropped.
fn forward_reloads(
    mut reloads: mpsc::UnboundedReceiver<Config>,
    handle: &EngineHandle,
) -> AbortOnDrop {
    let reload = handle.discovery_updater();
    AbortOnDrop(tokio::task::spawn_local(async move {
        while let Some(config) = reloads.recv().await {
            reload(config.discovery);
        }
    }))
}

/// Returns the classes of the settings, against which policy revisions are checked.
fn classes(config: &Config) -> Vec<ClassFacts> {
    let mut classes = Vec::new();
    for service in &config.facts.services {
        let zones = service.zones_allowed.iter().flatten();
        classes.push(ClassFacts {
            name: service.name.clone(),
            zones: zones.filter_map(|zone| u8::try_from(*zone).ok()).collect(),
            machine_types: Vec::new(),
        });
    }
    classes
}
