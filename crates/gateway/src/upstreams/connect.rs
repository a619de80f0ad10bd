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
use crate::http::{MAX_HEAD_BYTES, MAX_HEADER_LINES};
use crate::send_guard::SendGuard;
use crate::stream::ObservedStream;
use crate::tasks::AbortOnDrop;

/// Initial delay before a retry after this machine failed to open a connection. The delay doubles with each retry.
const LOCAL_RETRY_MIN: Duration = Duration::from_millis(2);
/// Maximum delay between two retries after failures of this machine.
const LOCAL_RETRY_MAX: Duration = Duration::from_millis(50);
/// The least time for which an attempt retries after failures of this machine. A machine that is briefly out of ports must
/// not use up all attempts of its requests in that time.
const LOCAL_RETRY_TIME: Duration = Duration::from_secs(2);

/// No spare connection is opened to an upstream with this many idle ones, since each takes some of its capacity. Requests
/// then wait for an idle connection.
const MAX_IDLE_FOR_SPARE: usize = 16;

/// The reason why no connection to an upstream is available.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    /// All descriptors for upstreams are in use.
    #[error("no descriptor left for an upstream")]
    NoDescriptor,
    /// This machine could not open a connection.
    #[error("local: {0}")]
    Local(io::Error),
    /// This machine has no route to this upstream, and perhaps to none.
    #[error("no route: {0}")]
    NoRoute(io::Error),
    /// This machine has no route to this upstream, but reaches others.
    #[error("no route: {0}")]
    NoRouteToUpstream(io::Error),
    /// The upstream refused the connection, or the network does not reach it.
    #[error("{0}")]
    Refused(io::Error),
    /// The guard denies the attempt.
    #[error("withheld")]
    SendDenied,
    /// The connection was not established in time.
    #[error("connect timeout")]
    TimedOut,
    /// The connection was established, but the HTTP handshake failed.
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

    /// Whether this machine is the cause, as far as is known, since nothing has reached the upstream.
    fn is_local(&self) -> bool {
        matches!(self, Self::NoDescriptor | Self::Local(_) | Self::NoRoute(_) | Self::SendDenied)
    }

    /// Returns the outcome of an attempt that fails with this error.
    pub(super) fn outcome(&self) -> Outcome {
        if self.is_local() { Outcome::Moot } else { Outcome::ConnectFailed }
    }
}

/// Counts a descriptor as open until it is dropped.
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
    /// Acquires a connection for an attempt.
    ///
    /// Connecting is retried after errors of this machine for as long as a connection may take to be established, since no
    /// upstream is at fault for them. A connection that becomes idle meanwhile is used.
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
            // A new connection costs its upstream more than the short wait for an idle one costs the request.
            if let Some(reusable_at) = self.reusable_at(server) {
                if guard.check().is_err() {
                    return Err(ConnectError::SendDenied);
                }
                let wait = self.spares.record_wait(server, Instant::now());
                if wait.needs_spare {
                    self.open_spare(guard);
                }
                // Whichever is first: an idle connection becomes reusable, or the spare is open.
                let _ = timeout_at(reusable_at, wait.opened.notified()).await;
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

    /// Opens an additional connection to an upstream in the background, if a descriptor is free and the upstream has fewer
    /// than [`MAX_IDLE_FOR_SPARE`] idle connections. A failure of this connection fails no attempt.
    fn open_spare(self: &Rc<Self>, guard: &SendGuard) {
        let has_descriptor = self.open_connections.get() < self.max_connections;
        if !has_descriptor || self.idle_connections(guard.upstream()) >= MAX_IDLE_FOR_SPARE {
            return;
        }
        let (pool, server, target) = (self.clone(), guard.upstream(), guard.target().clone());
        self.spares.record_opening(server);
        tokio::task::spawn_local(async move {
            match pool.connect(target.address.get()).await {
                Ok(connection) => {
                    pool.put_idle(server, &target, connection);
                    pool.spares.record_opened(server);
                }
                Err(cause) => {
                    tracing::debug!(upstream = server.0, %cause, "spare connection failed");
                    pool.spares.record_failure(server, Instant::now());
                }
            }
        });
    }

    /// Distinguishes a missing route to one upstream from a network that is down: in the first case, another connection was
    /// established after `since`.
    fn recognise_missing_route(&self, cause: ConnectError, since: Instant) -> ConnectError {
        let others_are_reached = self.last_connected.get().is_some_and(|at| at >= since);
        match cause {
            ConnectError::NoRoute(cause) if others_are_reached => {
                ConnectError::NoRouteToUpstream(cause)
            }
            cause => cause,
        }
    }

    /// Opens a connection. If no descriptor is left, the longest idle connection is closed for it.
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
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_HEADER_LINES)
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
            reusable_at: now,
            read_at_last_response: 0,
            _task: AbortOnDrop(task),
        })
    }
}
