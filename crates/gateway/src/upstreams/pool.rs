//! The pool of idle connections to all upstreams: selects connections for reuse, and closes idle ones. The module `connect`
//! opens connections.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_net::Network;
use hollowpaddle_policy::interface::ServerId;
use rustc_hash::FxHashMap;
use tokio::time::{Instant, sleep, timeout};

use super::connection::Connection;
use super::load_report::ReportFields;
use super::spares::Spares;
use super::unsolicited::UnsolicitedBytes;
use crate::attempt::UpstreamTarget;
use crate::bodies::MemoryBudget;
use crate::config::Config;

/// Idle connections are closed at this share of the upstream's keep-alive time: a request that crosses with the upstream's
/// close would end in a reset, after which an unsafe request can't be retried.
const IDLE_SHARE_OF_KEEPALIVE: f64 = 0.75;
/// Keep-alive time of upstreams, in milliseconds, if the settings give none.
const DEFAULT_KEEPALIVE_MS: f64 = 5000.0;
/// Timeout for establishing a connection, in milliseconds, if the settings give none.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;
/// Upper bound of plausible times in the settings, in milliseconds.
const MAX_TIMEOUT_MS: f64 = 1e7;
/// Idle connections are closed after this time at the latest: each takes some of its upstream's capacity, and spare
/// connections would accumulate.
const MAX_IDLE_TIME: Duration = Duration::from_millis(1500);
/// How long a connection is not reused after a response: an upstream may send a second response up to 20 ms late, which
/// would be taken for the response to the next request.
const REUSE_DELAY: Duration = Duration::from_millis(20);
/// How often idle connections are checked.
const REAP_INTERVAL: Duration = Duration::from_millis(250);
/// How long a connection may take to become ready for another request after a response.
const READY_TIMEOUT: Duration = Duration::from_millis(10);
/// Responses that are being received, or not yet written to clients, may use the memory limit divided by this in total.
const RESPONSE_MEMORY_DIVISOR: usize = 4;

/// The pool of connections to all upstreams.
pub struct Pool {
    pub(super) network: Rc<dyn Network>,
    idle: RefCell<FxHashMap<ServerId, Vec<Connection>>>,
    pub(super) spares: Spares,
    unsolicited: UnsolicitedBytes,
    pub(super) open_connections: Rc<Cell<usize>>,
    pub(super) max_connections: usize,
    idle_timeout: Duration,
    pub(super) connect_timeout: Duration,
    /// When a connection was last established. Nothing sets this, so no upstream's route counts as missing.
    pub(super) last_connected: Cell<Option<Instant>>,
    pub(super) response_memory: MemoryBudget,
    pub(super) report_fields: ReportFields,
}

impl Pool {
    /// Creates an empty pool of at most `max_connections`, and spawns a task that checks its idle connections.
    pub fn new(max_connections: usize, config: &Config, network: Rc<dyn Network>) -> Rc<Self> {
        let limits = &config.facts.policy_limits;
        let keepalive = milliseconds(limits.keepalive, DEFAULT_KEEPALIVE_MS);
        let pool = Rc::new(Self {
            network,
            idle: RefCell::default(),
            spares: Spares::default(),
            unsolicited: UnsolicitedBytes::default(),
            open_connections: Rc::default(),
            max_connections,
            idle_timeout: keepalive.mul_f64(IDLE_SHARE_OF_KEEPALIVE).min(MAX_IDLE_TIME),
            connect_timeout: milliseconds(limits.connect_timeout, DEFAULT_CONNECT_TIMEOUT_MS),
            last_connected: Cell::new(None),
            response_memory: MemoryBudget::new(config.memory / RESPONSE_MEMORY_DIVISOR),
            report_fields: ReportFields::new(&config.facts.stats.names),
        });
        let weak = Rc::downgrade(&pool);
        tokio::task::spawn_local(async move {
            loop {
                sleep(REAP_INTERVAL).await;
                let Some(pool) = weak.upgrade() else { return };
                pool.reap();
            }
        });
        pool
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, server: ServerId) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Removes connections that have been idle for too long, were closed by the upstream, or have received unsolicited bytes.
    fn reap(&self) {
        self.idle.borrow_mut().retain(|server, connections| {
            connections.retain(|connection| {
                let has_read_unsolicited = connection.has_read_unsolicited();
                if has_read_unsolicited {
                    self.unsolicited.count(*server);
                }
                self.is_usable(connection) && !has_read_unsolicited
            });
            !connections.is_empty()
        });
        self.spares.remove_old_waits();
    }

    fn is_usable(&self, connection: &Connection) -> bool {
        !connection.sender.is_closed() && connection.idle_since.elapsed() < self.idle_timeout
    }

    /// Takes the most recently used of the reusable connections, so that the others can time out.
    pub(super) fn take_idle(&self, server: ServerId, address: SocketAddr) -> Option<Connection> {
        loop {
            let connection = self.take_reusable(server)?;
            let is_usable = self.is_usable(&connection);
            if is_usable && connection.address == address && connection.is_open() {
                return Some(Connection { is_reused: true, ..connection });
            }
            if connection.has_received_unsolicited() {
                self.unsolicited.count(server);
            }
        }
    }

    fn take_reusable(&self, server: ServerId) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&server)?;
        // A connection that was put back unused may follow others that are not reusable yet.
        let index = connections.iter().rposition(|connection| connection.reusable_at <= now)?;
        Some(connections.remove(index))
    }

    /// Counts the idle connections to an upstream.
    pub(super) fn idle_connections(&self, server: ServerId) -> usize {
        self.idle.borrow().get(&server).map_or(0, Vec::len)
    }

    /// When the first of the idle connections to an upstream becomes reusable; `None` without idle connections.
    pub(super) fn reusable_at(&self, server: ServerId) -> Option<Instant> {
        let idle = self.idle.borrow();
        idle.get(&server)?.iter().map(|connection| connection.reusable_at).min()
    }

    /// Returns the counts of unsolicited bytes by upstream.
    pub fn unsolicited(&self) -> UnsolicitedBytes {
        self.unsolicited.clone()
    }

    /// Puts a connection into the pool, or closes it if its upstream is draining or removed and gets no more requests.
    pub(super) fn put_idle(&self, server: ServerId, target: &UpstreamTarget, idle: Connection) {
        if target.closed_from.get().is_none() {
            self.idle.borrow_mut().entry(server).or_default().push(idle);
        }
    }

    /// Returns a connection to the pool after its response has ended, if it can be reused.
    pub(super) async fn release(
        &self,
        server: ServerId,
        target: &UpstreamTarget,
        mut connection: Connection,
    ) {
        if let Ok(Ok(())) = timeout(READY_TIMEOUT, connection.sender.ready()).await {
            connection.mark_idle(REUSE_DELAY);
            self.put_idle(server, target, connection);
        }
    }

    /// Closes the longest idle connection. Returns whether there was one.
    pub(super) fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        // The connections of each upstream are ordered by age, the oldest first.
        let longest_idle = idle
            .iter()
            .filter_map(|(server, connections)| Some((connections.first()?.idle_since, *server)))
            .min_by_key(|(since, _)| *since);
        let Some((_, server)) = longest_idle else { return false };
        if let Some(connections) = idle.get_mut(&server) {
            drop(connections.remove(0));
        }
        true
    }
}

/// Converts a time in the settings, or the default if the time is not set or not plausible.
fn milliseconds(setting: f64, default: f64) -> Duration {
    let is_plausible = setting > 0.0 && setting < MAX_TIMEOUT_MS;
    let milliseconds = if is_plausible { setting } else { default };
    Duration::from_secs_f64(milliseconds / 1000.0)
}
