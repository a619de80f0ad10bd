//! Accepting clients' connections, from the first moment to the last one after SIGTERM.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_net::{AcceptFailure, Listener, accept};
use tokio::time::{Instant, sleep, timeout};

use super::Front;

/// How long connections are still accepted after SIGTERM: the front needs a moment to hear of it.
const LINGER: Duration = Duration::from_millis(500);
/// Then what waits in the backlog is accepted, until none comes for so long. Failure: what was left there was reset with
/// the listener.
const NEXT: Duration = Duration::from_millis(5);
/// And for so long at most, while nothing fails.
const BACKLOG: Duration = Duration::from_millis(50);
/// Where accept fails or no place is left it goes on for so long. Failure: one failed accept ended it, and all that still
/// waited was reset.
const BACKLOG_WITH_FAILURES: Duration = Duration::from_millis(500);
/// SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM (PROTOCOL, 'Figures'): the longest deadline
/// and so long after it each request has its answer. Failure: one whose last byte came late had all of its own deadline,
/// and was lost as the process ended.
const LAST: Duration = Duration::from_millis(620);
/// Then the answers are written: 50 ms, and so many turns of the loop. Failure: held up by a busy machine, a process ended
/// in the very turn that gave the last answers.
const FINISH: u32 = 10;
const LOOK: Duration = Duration::from_millis(5);
/// Long answers that are being passed on at the end are waited for so long more.
const LAST_ANSWERS: Duration = Duration::from_secs(30);
/// Wait for the connection that was told to give way.
const PLACE_BACKOFF: Duration = Duration::from_millis(1);
/// Wait after a failed accept, so that a full descriptor table does not become a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// What came of one try to accept a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Accepted {
    /// A client's connection is served from here on.
    Client,
    /// One was over before it was accepted.
    Aborted,
    /// All places for clients are taken; one was told to give way.
    NoPlace,
    /// The machine has no room for another connection.
    NoRoom,
}

impl Accepted {
    /// Waits as long as the next try has to.
    async fn pause(self) {
        match self {
            Self::Client => {}
            Self::Aborted => tokio::task::yield_now().await,
            Self::NoPlace => sleep(PLACE_BACKOFF).await,
            Self::NoRoom => sleep(ACCEPT_BACKOFF).await,
        }
    }
}

impl Front {
    /// Serves from `opens` until `stop`, then finishes what was taken. Where another process has `succeeded` this one
    /// by then, what has not been accepted is left to it.
    pub async fn serve(
        self: Rc<Self>,
        mut listener: Box<dyn Listener>,
        opens: impl Future<Output = ()>,
        stop: impl Future<Output = ()>,
        succeeded: impl Fn() -> bool,
    ) {
        let opened = Cell::new(false);
        {
            let accepting = async {
                opens.await;
                opened.set(true);
                self.accept(&mut *listener).await;
            };
            tokio::pin!(accepting);
            tokio::select! {
                biased;
                () = &mut accepting => {}
                () = stop => {}
            }
            tracing::info!("stopping");
            // From here each answer asks its client to go elsewhere; new connections still find us.
            self.stopping.set(true);
            self.ends.set(Some(Instant::now() + self.longest + LAST));
            if succeeded() {
                tracing::info!("a newer process accepts from here on");
            } else {
                let _ = timeout(LINGER, accepting).await;
            }
        }
        if opened.get() && !succeeded() {
            // Frees places, too.
            self.close_idle();
            self.accept_backlog(&mut *listener).await;
        }
        drop(listener);
        self.close_idle();
        let (ends, mut turns) = (self.ends.get().unwrap_or_else(Instant::now), 0);
        while self.connections.len() > 0 && turns < FINISH {
            sleep(LOOK).await;
            turns += u32::from(Instant::now() >= ends);
        }
        // What is left and not long is lost; a long answer that its client reads is not, by us.
        let passed = async {
            while self.connections.any_answering() {
                sleep(LOOK).await;
            }
        };
        let _ = timeout(LAST_ANSWERS, passed).await;
    }

    async fn accept(self: &Rc<Self>, listener: &mut dyn Listener) {
        loop {
            self.accept_one(listener).await.pause().await;
        }
    }

    /// Accepts what waits at the end, until nothing does.
    async fn accept_backlog(self: &Rc<Self>, listener: &mut dyn Listener) {
        let begun = Instant::now();
        let mut until = begun + BACKLOG;
        while Instant::now() < until {
            let Ok(accepted) = timeout(NEXT, self.accept_one(listener)).await else { return };
            if accepted != Accepted::Client {
                until = begun + BACKLOG_WITH_FAILURES;
            }
            accepted.pause().await;
        }
        tracing::warn!("the backlog was not empty at the end");
    }

    async fn accept_one(self: &Rc<Self>, listener: &mut dyn Listener) -> Accepted {
        // Left in the backlog, a client waits a moment; without a descriptor it would be dropped.
        if self.connections.full() {
            self.connections.evict();
            return Accepted::NoPlace;
        }
        match accept(listener).await {
            Ok((stream, _)) => {
                self.begin(stream);
                Accepted::Client
            }
            Err(cause) => {
                tracing::warn!(%cause, "accept");
                match AcceptFailure::of(&cause) {
                    AcceptFailure::Connection => Accepted::Aborted,
                    AcceptFailure::NoRoom => Accepted::NoRoom,
                }
            }
        }
    }
}
