//! This balancer's part of the cluster of balancers, as the rest of the process uses it: a reader of the agreed policy, a
//! source of events and a way to make admin calls.
//!
//! The state machines ([`machine`]) run on a thread or task of their own ([`Runtime`]); what they decide is theirs.

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

/// The cluster as the engine knows it: that there is a policy, not where it comes from.
pub trait PolicyReader {
    /// The policy that applies now. Read it before each send.
    fn current_policy(&self) -> PolicySnapshot;

    /// Reports what discovery delivered to this balancer.
    fn report_endpoint_list(&self, list: EndpointListEvent);
}

/// What discovery delivered, as reported to the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointListEvent {
    /// Entries that changed, or a complete list.
    List {
        /// Version of the list.
        version: u64,
        /// Whether the list is complete: an upstream that it leaves out is gone.
        whole: bool,
        /// Name and phase of each entry.
        entries: Vec<(String, Phase)>,
    },
    /// Versions begin again: another discovery server counts them from here on.
    VersionsReset,
}

/// What the cluster reports to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClusterEvent {
    /// A different policy may apply than before.
    Changed,
    /// Another balancer has a newer endpoint list: discovery is to be polled.
    RefreshList,
}

/// Connects the serving part of a balancer to its cluster [`Runtime`], which may run on another thread.
pub struct ClusterHandle {
    /// Reads the policy, and reports endpoint lists.
    pub reader: Reader,
    /// Events for the engine.
    pub events: mpsc::UnboundedReceiver<ClusterEvent>,
    /// Takes admin calls.
    pub calls: mpsc::UnboundedSender<AdminCall>,
}

/// Reads what the [`Runtime`] published, on the runtime's clock.
#[derive(Clone)]
pub struct Reader {
    published: Arc<PublishedPolicy>,
    /// Zero of the clock by which leases are dated.
    epoch: Instant,
    lists: mpsc::UnboundedSender<EndpointListEvent>,
}

impl PolicyReader for Reader {
    fn current_policy(&self) -> PolicySnapshot {
        self.published.at(self.epoch.elapsed())
    }

    fn report_endpoint_list(&self, list: EndpointListEvent) {
        // Without a runtime nobody acts on lists any more.
        let _ = self.lists.send(list);
    }
}
