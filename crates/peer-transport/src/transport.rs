//! The transport's state, and the dispatch of events to the handlers in the modules `handshake`, `receiving` and
//! `sending`.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::metrics::TransportMetrics;
use crate::peer::Peer;
use crate::reassembly::ReassemblyBuffer;
use crate::retransmission::RetransmissionBuffer;
use crate::rng::{Nonces, Rng};
use crate::send_queue::SendQueue;
use crate::token_bucket::{SendBudget, TokenBucket};
use crate::{Action, Config, ConfigError, Event, Incarnation, MemoryUsage, NodeId};

/// The transport of one process: a state machine between its messages and its datagrams.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Transport {
    pub(crate) config: Config,
    pub(crate) now: Duration,
    /// All balancers of the cluster, indexed by node id.
    pub(crate) peers: Vec<Peer>,
    /// When handshakes are due.
    pub(crate) handshakes_due: BTreeSet<(Duration, NodeId)>,
    pub(crate) handshake_bucket: TokenBucket,
    pub(crate) budget: SendBudget,
    pub(crate) queue: SendQueue,
    pub(crate) reassembly: ReassemblyBuffer,
    pub(crate) retransmission: RetransmissionBuffer,
    /// Bytes of the messages that wait for handshakes, of all peers.
    pub(crate) pending_bytes: usize,
    pub(crate) rng: Rng,
    pub(crate) nonces: Nonces,
    pub(crate) metrics: TransportMetrics,
    /// The time of the last [`Action::WakeAt`], if it has not come.
    pub(crate) wake_at: Option<Duration>,
}

impl Transport {
    /// Creates a transport that has confirmed no peer.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] if the configuration is invalid.
    pub fn new(config: Config) -> Result<Self, ConfigError> {
        config.validate()?;
        let budget = &config.budget;
        let datagrams = TokenBucket::new(budget.datagrams, budget.datagrams_burst);
        let bytes = TokenBucket::new(budget.bytes, budget.bytes_burst);
        let mut rng = Rng::new(config.seed);
        Ok(Self {
            now: Duration::ZERO,
            peers: (0..config.members).map(|_| Peer::new()).collect(),
            handshakes_due: BTreeSet::new(),
            handshake_bucket: TokenBucket::new(budget.handshakes, budget.handshakes_burst),
            budget: SendBudget::new(datagrams, bytes),
            queue: SendQueue::default(),
            reassembly: ReassemblyBuffer::default(),
            retransmission: RetransmissionBuffer::default(),
            pending_bytes: 0,
            nonces: Nonces::new(&mut rng),
            rng,
            metrics: TransportMetrics::default(),
            wake_at: None,
            config,
        })
    }

    /// Returns the counters since the process's start.
    pub fn counts(&self) -> &TransportMetrics {
        &self.metrics
    }

    /// Returns the memory that messages take at present.
    pub fn memory_usage(&self) -> MemoryUsage {
        MemoryUsage {
            incoming: self.reassembly.bytes(),
            outgoing: self.retransmission.bytes(),
            queued: self.queue.bytes(),
            waiting: self.pending_bytes,
        }
    }

    /// Returns this process's incarnation.
    pub fn own_incarnation(&self) -> Incarnation {
        self.config.incarnation
    }

    /// Returns the peer's incarnation that completed the handshake last; `None` if no incarnation has.
    pub fn incarnation(&self, peer: NodeId) -> Option<Incarnation> {
        self.peers.get(usize::from(peer.0))?.incarnation
    }

    /// Handles one event. `now` is monotonic time since the process's start; if it is earlier than the time of a
    /// previous call, that previous time is used.
    pub fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Received { from, bytes } => self.receive(from, bytes, actions),
            Event::ReceivedFromUnknown => self.metrics.dropped.unknown_source += 1,
            Event::Send { to, channel, message, mode } => {
                self.send(to, channel, message, mode, actions)
            }
            Event::Due => self.run_timers(actions),
        }
        self.metrics.delivered.abandoned += self.reassembly.take_abandoned();
        let is_earlier = |at: &Duration| self.wake_at.is_none_or(|wake_at| *at < wake_at);
        if let Some(at) = self.next_due().filter(is_earlier) {
            self.wake_at = Some(at);
            actions.push(Action::WakeAt(at));
        }
    }

    fn next_due(&self) -> Option<Duration> {
        let send = self.queue.most_urgent().map(|mode| self.budget.ready_at(mode).max(self.now));
        let handshake = self.handshakes_due.first().map(|(at, _)| *at);
        [send, handshake, self.reassembly.next_due()].into_iter().flatten().min()
    }

    /// Handles the timers that are due.
    fn run_timers(&mut self, actions: &mut Vec<Action>) {
        self.wake_at = None;
        self.metrics.messages.budget_timeout += self.retransmission.drop_expired(self.now);
        self.repeat_handshakes(actions);
        self.queue_retransmission_requests();
        self.send_queued(actions);
    }

    pub(crate) fn peer_mut(&mut self, peer: NodeId) -> Option<&mut Peer> {
        self.peers.get_mut(usize::from(peer.0))
    }
}
