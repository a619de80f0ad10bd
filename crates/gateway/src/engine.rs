//! The engine: one task that owns the decision module, the table of requests and the timers. All other tasks report to the
//! engine by [`EngineEvent`]s. The decision module makes all decisions.
//!
//! Each source of events has its own module, and all of them share one `EngineState`:
//!
//! | module | events |
//! | --- | --- |
//! | `requests` | a request arrives, its body or its deadline ends, its client disconnects |
//! | `attempts` | an attempt starts or ends |
//! | `list_watch` | a watch on the endpoint list reports, the discovery service moves to another address |
//! | `endpoint_list` | a list, a cordon or the subset changes the set of upstreams |
//! | `policy_updates` | another routing policy takes effect in the cluster |
//! | `timers` | a timer is due |

mod attempts;
mod clock;
mod endpoint_list;
mod event;
mod handle;
mod list_watch;
mod policy_updates;
mod requests;
mod retry_safety;
mod state;
mod timers;

use std::rc::Rc;

use hollowpaddle_net::Network;
use hollowpaddle_policy::interface::{ListKind, SettingsError};
use hollowpaddle_policy::learned::Learned;
use hollowpaddle_subset::SizeError;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use crate::cluster::{ClusterEvent, PolicyReader};
use crate::config::Config;
use crate::restored_list::RestoredList;
use crate::upstreams::Pool;
pub use event::{Arrival, EngineEvent, Reply};
pub use handle::AdminHandle;
pub use handle::EngineHandle;
use state::EngineState;

/// An error that prevents the creation of an engine.
#[derive(Debug, thiserror::Error)]
pub enum EngineError {
    /// The decision module rejects the settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The configured size of the subset of upstreams is not possible.
    #[error("subset: {0}")]
    Subset(#[from] SizeError),
}

/// The engine. Runs as one task.
pub struct Engine {
    state: EngineState,
    events: mpsc::UnboundedReceiver<EngineEvent>,
}

impl Engine {
    /// Creates an engine and opens its watch on the endpoint list.
    ///
    /// The engine starts with the upstreams of the configuration, updated by the last list that the previous process
    /// received.
    ///
    /// # Errors
    /// Fails if the settings or the size of the subset can't be used.
    pub fn new(
        config: &Config,
        restored_list: Option<RestoredList>,
        pool: Rc<Pool>,
        network: Rc<dyn Network>,
        cluster: Option<Rc<dyn PolicyReader>>,
    ) -> Result<(Self, EngineHandle), EngineError> {
        let (sender, events) = mpsc::unbounded_channel();
        let mut state = EngineState::new(config, pool, network, cluster, sender)?;
        let handle = EngineHandle::new(&state);
        state.apply_list(&config.initial_list, ListKind::Restored, Instant::now().into());
        if let Some(restored_list) = restored_list {
            state.apply_restored_list(restored_list);
        }
        state.apply_policy_in_force();
        if !state.list_watch.polls_list {
            state.open_watch();
        }
        if state.subset.is_some() {
            state.arm_subset_review();
        }
        Ok((Self { state, events }, handle))
    }

    /// Handles events and timers until all senders of events are dropped.
    pub async fn run(mut self) {
        loop {
            let next_timer = self.state.timers.next_due();
            let timer = async {
                match next_timer {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                event = self.events.recv() => match event {
                    Some(event) => self.state.handle_event(event),
                    None => return,
                },
                () = timer => {}
            }
            self.state.check_time_dependent_state();
            self.state.fire_timers();
        }
    }
}

impl EngineState {
    /// Checks the state that can change without an event: the policy in force, and whether the endpoint list has expired.
    fn check_time_dependent_state(&mut self) {
        self.apply_policy_in_force();
        self.check_list_expiry();
    }

    fn handle_event(&mut self, event: EngineEvent) {
        self.check_time_dependent_state();
        match event {
            EngineEvent::RequestArrived { id, arrival, forwarded, reply } => {
                self.on_request(id, arrival, forwarded, reply);
            }
            EngineEvent::ClientDisconnected(id) => self.on_client_disconnected(id),
            EngineEvent::BodyReceived(id) => self.on_body_received(id),
            EngineEvent::AttemptFinished(finished) => {
                self.on_attempt_finished(finished);
                self.handle_finished_without_task();
            }
            EngineEvent::Watch { serial, event } => self.on_watch_event(serial, event),
            EngineEvent::DiscoveryMoved(discovery) => self.on_discovery_moved(discovery),
            EngineEvent::NextListPart => self.publish_next_part(),
            EngineEvent::Cordon { names, done } => {
                self.cordon(&names);
                let _ = done.send(());
            }
            // The policy in force is checked with every event.
            EngineEvent::Cluster(ClusterEvent::PolicyChanged) => {}
            EngineEvent::Cluster(ClusterEvent::RefreshList) => self.refresh_list(),
            EngineEvent::ExportLearned(reply) => drop(reply.send(self.balancer.learned())),
            EngineEvent::ImportLearned(learned) => self.import_learned(&learned),
            EngineEvent::ReadList { from, reply } => {
                let _ = reply.send((self.upstreams.list_part(from), self.list_watch.is_live()));
            }
            EngineEvent::HasNamed { name, reply } => {
                let _ = reply.send(self.upstreams.has_named(&name));
            }
        }
    }

    /// Passes the estimates that another process of this balancer has learned to the decision module.
    fn import_learned(&mut self, learned: &Learned) {
        match self.balancer.recall(self.clock.now(), learned) {
            Ok(()) => tracing::info!("imported learned state of previous process"),
            Err(cause) => {
                tracing::warn!(%cause, "rejected learned state of previous process");
            }
        }
    }
}
