//! This balancer's membership in the cluster of balancers: a reader of the agreed policy, a source of events and a channel
//! for admin calls.
//!
//! The state machines ([`machine`]) make all decisions. They run on a separate thread or task ([`Runtime`]).

pub mod admin_api;
mod durable_log;
mod join;
pub mod machine;
mod published;
mod runtime;

use std::sync::Arc;

use hollowpaddle_revision::lists::Phase;
use tokio::sync::mpsc;
use tokio::time::Instant;

pub use durable_log::{DurableLog, DurableLogError, RecoveredState, open};
pub use join::join;
pub use machine::{Machine, Setup, SetupError};
pub use published::{PolicySnapshot, PublishedPolicy};
pub use runtime::{AdminCall, Runtime};

/// The engine's view of the cluster, which hides where the policy comes from.
pub trait PolicyReader {
    /// Returns the policy that applies now. Callers read it before each send.
    fn current_policy(&self) -> PolicySnapshot;

    /// Reports an endpoint list that discovery delivered to this balancer.
    fn report_endpoint_list(&self, list: EndpointListEvent);
}

/// A message of discovery, as reported to the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointListEvent {
    /// Changed entries, or a complete list.
    List {
        /// Version of the list.
        version: u64,
        /// Whether the list is complete, so that an upstream missing from the list is gone.
        is_complete: bool,
        /// Name and phase of each entry.
        entries: Vec<(String, Phase)>,
    },
    /// Versions restart, because another discovery server assigns them from now on.
    VersionsReset,
}

/// An event that the cluster reports to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClusterEvent {
    /// The policy that applies may have changed.
    PolicyChanged,
    /// Another balancer has a newer endpoint list, so the engine has to poll discovery.
    RefreshList,
}

/// Connects the engine and the admin API to the cluster [`Runtime`], which may run on another thread.
pub struct ClusterHandle {
    /// Reads the policy and reports endpoint lists.
    pub reader: Reader,
    /// Events for the engine.
    pub events: mpsc::UnboundedReceiver<ClusterEvent>,
    /// Sender of admin calls.
    pub calls: mpsc::UnboundedSender<AdminCall>,
}

/// Reads the policy that the [`Runtime`] published, on the runtime's clock.
#[derive(Clone)]
pub struct Reader {
    published: Arc<PublishedPolicy>,
    /// Origin of the clock of lease times.
    epoch: Instant,
    lists: mpsc::UnboundedSender<EndpointListEvent>,
}

impl PolicyReader for Reader {
    fn current_policy(&self) -> PolicySnapshot {
        self.published.at(self.epoch.elapsed())
    }

    fn report_endpoint_list(&self, list: EndpointListEvent) {
        // Sending fails only if the runtime has ended, and then no component needs the list.
        let _ = self.lists.send(list);
    }
}
