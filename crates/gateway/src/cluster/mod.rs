//! The bank as this balancer is one of it: what others have agreed on, and what they are told from here. Its machines run
//! on a thread of their own; here is what the rest of the balancer has to do with them.

pub mod admin_api;
mod durable_log;
pub mod machine;
mod published;
mod runtime;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hollowpaddle_consensus::{DurableState, default_voters};
use hollowpaddle_failpoints::Points;
use hollowpaddle_peer_transport::{Incarnation, NodeId};
use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use hollowpaddle_revision::lists::Phase;
use hollowpaddle_revision::message::Generation;
use hollowpaddle_revision::policy_state::Bootstrap;

use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::config::{ClusterConfig, Config};

pub use durable_log::open;
pub use machine::{Machine, Setup, SetupError};
pub use published::{PolicySnapshot, PublishedPolicy};
pub use runtime::{AdminCall, DurableLog, Runtime};

// The names under which the engine and the membership import these types.
#[doc(hidden)]
pub use self::{
    ClusterEvent as News, EndpointListEvent as Listed, published::PolicySnapshot as Held,
};

/// The bank as the engine knows it: that there are rules, not where they come from.
pub trait PolicyReader {
    /// What holds at this moment. To be asked before each send.
    fn held(&self) -> PolicySnapshot;

    /// Discovery said this.
    fn heard(&self, list: EndpointListEvent);
}

/// A list of upstreams, as the bank is told of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointListEvent {
    /// The entries that changed, or all.
    List {
        /// Its version.
        version: u64,
        /// Whom it leaves out is gone.
        whole: bool,
        /// By name.
        entries: Vec<(String, Phase)>,
    },
    /// Versions are another discovery's from here on.
    CountsAnew,
}

/// What the bank has for the rest of the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClusterEvent {
    /// Something else may hold than before.
    Changed,
    /// Another balancer has a newer list.
    RefreshList,
}

/// A balancer's hand on what runs elsewhere.
pub struct ClusterHandle {
    /// What requests read, and where lists go.
    pub reader: Reader,
    /// ClusterEvent for the engine.
    pub news: mpsc::UnboundedReceiver<ClusterEvent>,
    /// Where operators' calls go.
    pub calls: mpsc::UnboundedSender<AdminCall>,
}

/// What was published, on the clock of whoever publishes.
#[derive(Clone)]
pub struct Reader {
    published: Arc<PublishedPolicy>,
    /// When the clock began that its leases go by.
    epoch: Instant,
    lists: mpsc::UnboundedSender<EndpointListEvent>,
}

impl PolicyReader for Reader {
    fn held(&self) -> PolicySnapshot {
        self.published.at(self.epoch.elapsed())
    }

    fn heard(&self, list: EndpointListEvent) {
        let _ = self.lists.send(list);
    }
}

/// What a start found of what outlives a process, and where it goes on.
pub struct RecoveredState {
    /// Where things are kept.
    pub durable_log: Box<dyn DurableLog + Send>,
    /// Of the council.
    pub found: Option<DurableState>,
    /// The charter, and its generation.
    pub fallback_policy: Option<(Generation, FallbackPolicy)>,
}

/// Both ends of a balancer's part of the bank: what serves has the [`ClusterHandle`], what runs the [`Runtime`] may be another thread.
/// `incarnation` names this process, and is drawn at its start.
///
/// # Errors
/// The configuration names no possible bank.
pub fn join(
    config: &Config,
    cluster: &ClusterConfig,
    incarnation: u32,
    stored: Option<RecoveredState>,
    points: Points,
) -> Result<(ClusterHandle, Runtime), SetupError> {
    let (durable_log, found, fallback_policy) = match stored {
        Some(RecoveredState { durable_log, found, fallback_policy }) => {
            (Some(durable_log), found, fallback_policy)
        }
        None => (None, None, None),
    };
    let count = cluster.peers.len() as u16;
    let mut cells = BTreeMap::<String, BTreeSet<u32>>::new();
    for entry in &config.known.members {
        cells.entry(entry.zone.to_string()).or_default().insert(entry.cell);
    }
    let named = |cells: &[u32]| FallbackPolicy {
        cells: cells.iter().copied().collect(),
        ..FallbackPolicy::default()
    };
    let stated = cluster.mandatory_fallback.as_deref().unwrap_or_default();
    let mandatory_fallback = match &cluster.mandatory_fallback {
        None => admin_api::default_mandatory_fallback(&cells),
        Some(stated) => named(stated),
    };
    let mut first_fallback_at = named(cluster.fallback_policy.as_deref().unwrap_or_default());
    first_fallback_at.cells.extend(stated);
    // With a charter that is stated the first leader has nothing to propose.
    if cluster.fallback_policy.is_some() {
        cells.clear();
    }
    let voters = match cluster.voters.as_slice() {
        [] => default_voters(count),
        stated => stated.iter().copied().map(NodeId).collect(),
    };
    let setup = Setup {
        node_id: cluster.member(),
        cluster: count,
        incarnation: Incarnation(incarnation.max(1)),
        seed: config.seed,
        voters,
        // The same at every balancer: nothing of it may come from lists, which differ.
        bootstrap: Bootstrap {
            members: count,
            mandatory_fallback: named(stated),
            fallback_policy: first_fallback_at,
            document: Document::default(),
        },
        mandatory_fallback,
        cells,
        directory: durable_log.is_some(),
        found,
        fallback_policy,
    };
    let machine = Machine::new(Duration::ZERO, setup)?;
    let epoch = Instant::now();
    let published = Arc::new(PublishedPolicy::new(machine.in_force()));
    let (news, told) = mpsc::unbounded_channel();
    let (calls, called) = mpsc::unbounded_channel();
    let (lists, listed) = mpsc::unbounded_channel();
    let reader = Reader { published: published.clone(), epoch, lists };
    let runtime = Runtime {
        machine,
        epoch,
        listen: cluster.listen,
        peers: cluster.peers.clone(),
        published,
        news,
        calls: called,
        lists: listed,
        durable_log,
        points,
    };
    Ok((ClusterHandle { reader, news: told, calls }, runtime))
}
