//! Accepts clients' connections, from the first moment to the last one after SIGTERM.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_net::{AcceptFailure, Listener, accept};
use tokio::time::{Instant, sleep, timeout};

use super::ClientServer;

/// How long connections are still accepted after SIGTERM: the front needs a moment to notice.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(500);
/// The backlog counts as empty once no connection was accepted from it for so long.
const BACKLOG_EMPTY_AFTER: Duration = Duration::from_millis(5);
/// How long the backlog is accepted at the end, while nothing fails. What is left in it is reset with the listener.
const BACKLOG_TIME: Duration = Duration::from_millis(50);
/// The same where an accept failed or no slot was free: one failure must not end it.
const BACKLOG_TIME_AFTER_FAILURE: Duration = Duration::from_millis(500);
/// All requests are answered by the longest deadline and so long after SIGTERM. SIGKILL comes no sooner than the longest
/// deadline and 0.7 s after SIGTERM (PROTOCOL, 'Figures').
const ANSWER_MARGIN: Duration = Duration::from_millis(620);
/// How often the end looks whether connections are left.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The last responses are given so many polls to be written. A count of polls, since a busy machine may hold this process
/// up for longer than any span.
const SHUTDOWN_POLLS_FOR_WRITES: u32 = 10;
/// How much longer the end waits for long responses that are being streamed.
const STREAMING_SHUTDOWN_TIME: Duration = Duration::from_secs(30);
/// Pause for the connection that was evicted.
const EVICTION_BACKOFF: Duration = Duration::from_millis(1);
/// Pause after a failed accept, so that a full descriptor table does not become a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// What came of one try to accept a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Accepted {
    /// A connection was accepted and is being served.
    Connection,
    /// A connection was over before it was accepted.
    Aborted,
    /// All slots for clients are taken. One of them was evicted, if any could be.
    NoSlot,
    /// The machine has no resources for another connection.
    NoResources,
}

impl Accepted {
    /// Waits as long as the next try has to.
    async fn back_off(self) {
        match self {
            Self::Connection => {}
            Self::Aborted => tokio::task::yield_now().await,
            Self::NoSlot => sleep(EVICTION_BACKOFF).await,
            Self::NoResources => sleep(ACCEPT_BACKOFF).await,
        }
    }
}

impl ClientServer {
    /// Serves from the end of `opens` to that of `stop`, then finishes what was accepted. Connections that another process
    /// which has `succeeded` this one can accept are left to it.
    pub async fn serve(
        self: Rc<Self>,
        mut listener: Box<dyn Listener>,
        opens: impl Future<Output = ()>,
        stop: impl Future<Output = ()>,
        succeeded: impl Fn() -> bool,
    ) {
        let has_opened = Cell::new(false);
        {
            let accepting = async {
                opens.await;
                has_opened.set(true);
                self.accept_forever(&mut *listener).await;
            };
            tokio::pin!(accepting);
            tokio::select! {
                biased;
                () = &mut accepting => {}
                () = stop => {}
            }
            self.start_shutdown();
            if succeeded() {
                tracing::info!("listener left to newer process");
            } else {
                let _ = timeout(ACCEPT_AFTER_STOP, accepting).await;
            }
        }
        if has_opened.get() && !succeeded() {
            // Closed connections free slots for those in the backlog.
            self.close_connections();
            self.accept_backlog(&mut *listener).await;
        }
        drop(listener);
        self.close_connections();
        self.finish_connections().await;
    }

    /// From here on each response asks its client to go elsewhere. New connections still find this process.
    fn start_shutdown(&self) {
        tracing::info!("shutdown started");
        self.is_stopping.set(true);
        self.answer_by.set(Some(Instant::now() + self.max_deadline + ANSWER_MARGIN));
    }

    /// Waits for the connections that are left: until all requests must be answered, and for long responses beyond that.
    async fn finish_connections(&self) {
        let answer_by = self.answer_by.get().unwrap_or_else(Instant::now);
        let mut polls_after = 0;
        while self.connections.len() > 0 && polls_after < SHUTDOWN_POLLS_FOR_WRITES {
            sleep(SHUTDOWN_POLL_INTERVAL).await;
            polls_after += u32::from(Instant::now() >= answer_by);
        }
        let streaming = async {
            while self.connections.any_streaming() {
                sleep(SHUTDOWN_POLL_INTERVAL).await;
            }
        };
        let _ = timeout(STREAMING_SHUTDOWN_TIME, streaming).await;
    }

    async fn accept_forever(self: &Rc<Self>, listener: &mut dyn Listener) {
        loop {
            self.accept_one(listener).await.back_off().await;
        }
    }

    /// Accepts what is left in the backlog at the end.
    async fn accept_backlog(self: &Rc<Self>, listener: &mut dyn Listener) {
        let started_at = Instant::now();
        let mut until = started_at + BACKLOG_TIME;
        while Instant::now() < until {
            let accepted = timeout(BACKLOG_EMPTY_AFTER, self.accept_one(listener)).await;
            let Ok(accepted) = accepted else { return };
            if accepted != Accepted::Connection {
                until = started_at + BACKLOG_TIME_AFTER_FAILURE;
            }
            accepted.back_off().await;
        }
        tracing::warn!("backlog not empty at shutdown");
    }

    async fn accept_one(self: &Rc<Self>, listener: &mut dyn Listener) -> Accepted {
        // Left in the backlog, a client waits a moment. Accepted without a descriptor, it would be dropped.
        if self.connections.is_full() {
            self.connections.evict();
            return Accepted::NoSlot;
        }
        match accept(listener).await {
            Ok((stream, _)) => {
                self.serve_connection(stream);
                Accepted::Connection
            }
            Err(cause) => {
                tracing::warn!(%cause, "accept failed");
                match AcceptFailure::of(&cause) {
                    AcceptFailure::Connection => Accepted::Aborted,
                    AcceptFailure::NoRoom => Accepted::NoResources,
                }
            }
        }
    }
}
