//! Accepts clients' connections, from the start until after SIGTERM, and shuts the server down.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_net::{AcceptFailure, Listener};
use tokio::time::{Instant, sleep, timeout};

use super::ClientServer;
use super::backlog::Backlog;

/// How long connections are still accepted after SIGTERM, until the front has noticed the changed readiness.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(500);
/// The backlog counts as empty once no connection was accepted from it for this time.
const BACKLOG_EMPTY_AFTER: Duration = Duration::from_millis(5);
/// How long the backlog is accepted at the end, while no accept fails. Closing the listener resets the connections that are
/// left in the backlog.
const BACKLOG_TIME: Duration = Duration::from_millis(50);
/// How long the backlog is accepted at the end if an accept has failed or no slot was free, so that one failure does not end
/// the accepting.
const BACKLOG_TIME_AFTER_FAILURE: Duration = Duration::from_millis(500);
/// All requests are answered within the longest deadline plus this margin after SIGTERM. SIGKILL follows SIGTERM no sooner
/// than after the longest deadline plus 0.7 s (PROTOCOL, 'Figures').
const ANSWER_MARGIN: Duration = Duration::from_millis(620);
/// How often the shutdown checks whether connections are left.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The number of polls for which the shutdown waits until the last responses are written. This is a number of polls and not
/// a time, since a busy machine may stall this process for longer than any fixed time.
const SHUTDOWN_POLLS_FOR_WRITES: u32 = 10;
/// How much longer the shutdown waits for long responses that are being streamed.
const STREAMING_SHUTDOWN_TIME: Duration = Duration::from_secs(30);
/// Delay before the next accept while no slot is free and no connection can be evicted.
const NO_SLOT_BACKOFF: Duration = Duration::from_millis(1);
/// Delay after a failed accept, so that a full descriptor table does not cause a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The outcome of one call to accept a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AcceptOutcome {
    /// A connection was accepted and is being served.
    Connection,
    /// A connection was aborted before it was accepted.
    Aborted,
    /// All slots for clients are in use, and an evicted connection is about to close.
    Evicting,
    /// All slots for clients are in use, and no connection can be evicted yet.
    NoSlot,
    /// The machine has no resources for another connection.
    NoResources,
}

impl AcceptOutcome {
    /// Waits until the next call may be made.
    async fn back_off(self) {
        match self {
            Self::Connection => {}
            Self::Aborted | Self::Evicting => tokio::task::yield_now().await,
            Self::NoSlot => sleep(NO_SLOT_BACKOFF).await,
            Self::NoResources => sleep(ACCEPT_BACKOFF).await,
        }
    }
}

impl ClientServer {
    /// Serves from the completion of `open` to that of `stop`, then finishes the accepted connections. If
    /// `has_successor` returns true, the connections in the backlog are left to the process that succeeds this one.
    pub async fn serve(
        self: Rc<Self>,
        listener: Box<dyn Listener>,
        open: impl Future<Output = ()>,
        stop: impl Future<Output = ()>,
        has_successor: impl Fn() -> bool,
    ) {
        let has_opened = Cell::new(false);
        let mut backlog = Backlog::new(listener);
        {
            let accepting = async {
                open.await;
                has_opened.set(true);
                self.accept_forever(&mut backlog).await;
            };
            tokio::pin!(accepting);
            tokio::select! {
                biased;
                () = &mut accepting => {}
                () = stop => {}
            }
            self.start_shutdown();
            if has_successor() {
                tracing::info!("listener left to newer process");
            } else {
                let _ = timeout(ACCEPT_AFTER_STOP, accepting).await;
            }
        }
        if has_opened.get() && !has_successor() {
            // Closed connections free slots for those in the backlog.
            self.close_connections();
            self.accept_backlog(&mut backlog).await;
        }
        drop(backlog);
        self.close_connections();
        self.finish_connections().await;
    }

    /// Starts the shutdown: from here on, each response asks its client to close the connection. New connections are still
    /// accepted.
    fn start_shutdown(&self) {
        tracing::info!("shutdown started");
        self.is_stopping.set(true);
        self.answer_deadline.set(Some(Instant::now() + self.max_deadline + ANSWER_MARGIN));
    }

    /// Waits for the remaining connections: until all requests must be answered, and beyond that for streamed responses.
    async fn finish_connections(&self) {
        let answer_deadline = self.answer_deadline.get().unwrap_or_else(Instant::now);
        let mut polls_after = 0;
        while self.connections.len() > 0 && polls_after < SHUTDOWN_POLLS_FOR_WRITES {
            sleep(SHUTDOWN_POLL_INTERVAL).await;
            polls_after += u32::from(Instant::now() >= answer_deadline);
        }
        let streaming = async {
            while self.connections.any_streaming() {
                sleep(SHUTDOWN_POLL_INTERVAL).await;
            }
        };
        let _ = timeout(STREAMING_SHUTDOWN_TIME, streaming).await;
    }

    async fn accept_forever(self: &Rc<Self>, backlog: &mut Backlog) {
        loop {
            self.accept_one(backlog).await.back_off().await;
        }
    }

    /// Accepts the connections that are left in the backlog at the end.
    async fn accept_backlog(self: &Rc<Self>, backlog: &mut Backlog) {
        let started_at = Instant::now();
        let mut until = started_at + BACKLOG_TIME;
        while Instant::now() < until {
            let accepted = timeout(BACKLOG_EMPTY_AFTER, self.accept_one(backlog)).await;
            let Ok(accepted) = accepted else { return };
            if accepted != AcceptOutcome::Connection {
                until = started_at + BACKLOG_TIME_AFTER_FAILURE;
            }
            accepted.back_off().await;
        }
        tracing::warn!("backlog not empty at shutdown");
    }

    async fn accept_one(self: &Rc<Self>, backlog: &mut Backlog) -> AcceptOutcome {
        // A connection left in the backlog waits for a moment; accepted without a free slot, it would have to be dropped.
        if self.connections.is_full() {
            let is_evicting = self.connections.evict();
            return if is_evicting { AcceptOutcome::Evicting } else { AcceptOutcome::NoSlot };
        }
        match backlog.accept().await {
            Ok(accepted) => {
                self.serve_connection(accepted.stream, accepted.max_wait);
                AcceptOutcome::Connection
            }
            Err(cause) => {
                tracing::warn!(%cause, "accept failed");
                match AcceptFailure::of(&cause) {
                    AcceptFailure::Connection => AcceptOutcome::Aborted,
                    AcceptFailure::NoResources => AcceptOutcome::NoResources,
                }
            }
        }
    }
}
