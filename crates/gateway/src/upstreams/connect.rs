//! Provides a connection for an attempt: an idle one, or a new one within the limit on descriptors.

use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_policy::interface::Outcome;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::connection::Connection;
use super::pool::Pool;
use super::send_progress::SendProgress;
use crate::http::{HEAD_LIMIT, HEAD_LINES};
use crate::send_guard::SendGuard;
use crate::stream::ObservedStream;
use crate::tasks::AbortOnDrop;

/// First pause after a connection that this machine could not open; each further one is twice as long.
const LOCAL_RETRY_MIN: Duration = Duration::from_millis(2);
/// Longest pause between such tries.
const LOCAL_RETRY_MAX: Duration = Duration::from_millis(50);
/// How long an attempt waits at least for this machine to open connections again. A machine that is out of ports for a
/// moment must not spend all attempts of its requests within that moment.
const LOCAL_RETRY_TIME: Duration = Duration::from_secs(2);

/// Connections to one upstream that rest at a time at most; beyond, requests wait. Each takes some of its capacity.
const MAX_RESTING_CONNECTIONS: usize = 16;

/// Why there is no connection to an upstream.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    /// All descriptors for upstreams are in use.
    #[error("no descriptor left for an upstream")]
    NoDescriptor,
    /// This machine could not open a connection.
    #[error("local: {0}")]
    Local(io::Error),
    /// This machine has no route to any upstream, as far as is known.
    #[error("no route: {0}")]
    NoRoute(io::Error),
    /// This machine has no route to this upstream, but to others.
    #[error("no route: {0}")]
    NoRouteToUpstream(io::Error),
    /// The upstream refused the connection, or the network does not reach it.
    #[error("{0}")]
    Refused(io::Error),
    /// The attempt may not be written any more.
    #[error("withheld")]
    SendDenied,
    /// The connection did not come up in time.
    #[error("not up in time")]
    TimedOut,
    /// The connection came up and can't be used.
    #[error("{0}")]
    Handshake(hyper::Error),
}

impl ConnectError {
    fn of(cause: io::Error) -> Self {
        match cause.kind() {
            ErrorKind::NetworkUnreachable | ErrorKind::NetworkDown => Self::NoRoute(cause),
            _ if hollowpaddle_net::is_local(&cause) => Self::Local(cause),
            _ => Self::Refused(cause),
        }
    }

    /// Whether the upstream has nothing to do with it, as far as is known: nothing has reached it.
    fn is_local(&self) -> bool {
        matches!(self, Self::NoDescriptor | Self::Local(_) | Self::NoRoute(_) | Self::SendDenied)
    }

    /// How an attempt ends for which there is no connection.
    pub(super) fn outcome(&self) -> Outcome {
        if self.is_local() { Outcome::Moot } else { Outcome::ConnectFailed }
    }
}

/// Counts a descriptor for as long as it is open.
struct OpenDescriptor(Rc<Cell<usize>>);

impl OpenDescriptor {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for OpenDescriptor {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Pool {
    /// Provides a connection for an attempt.
    ///
    /// Errors of this machine are waited out for as long as a connection may take to come up, since no upstream is to
    /// blame for them. A connection that becomes idle meanwhile will do.
    pub(super) async fn acquire(
        self: &Rc<Self>,
        guard: &SendGuard,
        progress: &SendProgress,
    ) -> Result<Connection, ConnectError> {
        let server = guard.upstream();
        let started_at = Instant::now();
        let mut pause = LOCAL_RETRY_MIN;
        loop {
            let address = guard.target().address.get();
            if let Some(connection) = self.take_idle(server, address) {
                return Ok(connection);
            }
            // A new connection costs its upstream more than one such wait costs the request.
            if let Some(rested_at) = self.rested_at(server) {
                if guard.check().is_err() {
                    return Err(ConnectError::SendDenied);
                }
                let wait = self.spares.note_wait(server, Instant::now());
                if wait.needs_spare {
                    self.open_spare(guard);
                }
                // Either will do: a connection that has rested, or the spare.
                let _ = timeout_at(rested_at, wait.opened.notified()).await;
                continue;
            }
            let cause = match self.connect(address).await {
                Ok(connection) => return Ok(connection),
                Err(cause) => self.recognise_missing_route(cause, started_at),
            };
            let is_over = started_at.elapsed() >= self.connect_timeout.max(LOCAL_RETRY_TIME);
            if !cause.is_local() || is_over || guard.check().is_err() {
                tracing::debug!(upstream = server.0, %cause, "connection failed");
                return Err(cause);
            }
            if !progress.mark_local_retry() {
                tracing::warn!(upstream = server.0, %cause, "connection failed locally, retrying");
            }
            sleep(pause).await;
            pause = (pause * 2).min(LOCAL_RETRY_MAX);
        }
    }

    /// Opens a connection beside those that an upstream has, if a descriptor is free and not too many rest. No attempt
    /// depends on it.
    fn open_spare(self: &Rc<Self>, guard: &SendGuard) {
        let has_descriptor = self.open_connections.get() < self.max_connections;
        if !has_descriptor || self.idle_connections(guard.upstream()) >= MAX_RESTING_CONNECTIONS {
            return;
        }
        let (pool, server, target) = (self.clone(), guard.upstream(), guard.target().clone());
        self.spares.note_opening(server);
        tokio::task::spawn_local(async move {
            match pool.connect(target.address.get()).await {
                Ok(connection) => {
                    pool.put_idle(server, &target, connection);
                    pool.spares.note_opened(server);
                }
                Err(cause) => {
                    tracing::debug!(upstream = server.0, %cause, "spare connection failed");
                    pool.spares.note_failed(server, Instant::now());
                }
            }
        });
    }

    /// Tells a missing route to one upstream from a network that is down: another connection has come up since.
    fn recognise_missing_route(&self, cause: ConnectError, since: Instant) -> ConnectError {
        let others_are_reached = self.last_connected.get().is_some_and(|at| at >= since);
        match cause {
            ConnectError::NoRoute(cause) if others_are_reached => {
                ConnectError::NoRouteToUpstream(cause)
            }
            cause => cause,
        }
    }

    /// Opens a connection, at the cost of the one that has been idle for longest if no descriptor is left.
    async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        if self.open_connections.get() >= self.max_connections && !self.close_longest_idle() {
            return Err(ConnectError::NoDescriptor);
        }
        let descriptor = OpenDescriptor::new(&self.open_connections);
        let connect = timeout(self.connect_timeout, self.network.connect(address));
        let stream =
            connect.await.map_err(|_| ConnectError::TimedOut)?.map_err(ConnectError::of)?;
        let (io, stream, traffic) = ObservedStream::new(stream);
        let stream = Rc::downgrade(&stream);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(HEAD_LIMIT)
            .max_headers(HEAD_LINES)
            .handshake(TokioIo::new(io))
            .await
            .map_err(ConnectError::Handshake)?;
        let task = tokio::task::spawn_local(async move {
            let _descriptor = descriptor;
            let _ = connection.await;
        });
        let now = Instant::now();
        Ok(Connection {
            sender,
            traffic,
            stream,
            address,
            is_reused: false,
            idle_since: now,
            rested_at: now,
            read_at_last_response: 0,
            _task: AbortOnDrop(task),
        })
    }
}
