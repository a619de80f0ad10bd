//! Connections of a stand-in upstream: checks, runs and answers the requests.

use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use super::model::Admission;
use super::{Node, SharedListener};
use crate::ordered_watch::WatchReceiver;
use crate::record::{At, AttemptOutcome, Observation};
use crate::scenario::{Effect, Group};
use crate::wire::{ConnectionEnd, Direction, Exchange, Message};

impl Node {
    pub(super) async fn accept(self: Rc<Self>, balancer: usize, listener: SharedListener) {
        loop {
            let next = std::future::poll_fn(|cx| match &mut *listener.borrow_mut() {
                Some(listener) => listener.poll_accept(cx),
                None => Poll::Pending,
            })
            .await;
            let Ok((stream, _)) = next else {
                // No error of accept ends a listener.
                sleep(Duration::from_millis(5)).await;
                continue;
            };
            let state = self.state.subscribe();
            spawn_local(self.clone().converse(balancer, Exchange::new(stream), state));
        }
    }

    /// Serves one connection until it ends.
    async fn converse(
        self: Rc<Self>,
        balancer: usize,
        mut exchange: Exchange,
        mut state: WatchReceiver<super::ConnectionState>,
    ) {
        let process = state.borrow_and_update().process;
        let over_limit = {
            let mut process = self.process.borrow_mut();
            let Some(p) = &mut *process else { return exchange.reset() };
            p.connections += 1;
            p.model.add_handshake_work(self.kind.handshake_ms);
            p.connections > self.kind.connections
        };
        self.context.record.saw(Observation::Connected { node: self.index, balancer });
        let ended = {
            let wait_until_unusable = wait_until_unusable(&mut state, process, balancer);
            tokio::select! {
                biased;
                () = wait_until_unusable => true,
                () = self.requests(balancer, &mut exchange, over_limit) => false,
            }
        };
        if ended {
            exchange.reset();
        }
        if let Some(p) = &mut *self.process.borrow_mut()
            && self.state.get().process == process
        {
            p.connections -= 1;
        }
    }

    async fn requests(self: &Rc<Self>, balancer: usize, exchange: &mut Exchange, over_limit: bool) {
        let record = &self.context.record;
        loop {
            let idle = self.context.scenario.rules.keepalive;
            let message = match timeout(idle, exchange.message(Direction::Requests)).await {
                Err(_) => return, // The connection has been idle for too long.
                Ok(Ok(message)) => message,
                Ok(Err(
                    ConnectionEnd::Closed { inside: false }
                    | ConnectionEnd::Reset { inside: false },
                )) => return,
                Ok(Err(ConnectionEnd::Closed { .. } | ConnectionEnd::Reset { .. })) => {
                    return record.saw(Observation::PartialRequest { node: self.index, balancer });
                }
                Ok(Err(ConnectionEnd::Malformed(what))) => {
                    return record.saw(Observation::AlteredRequest {
                        node: self.index,
                        balancer,
                        what,
                    });
                }
            };
            if !self.request(balancer, exchange, message, over_limit).await {
                return;
            }
        }
    }

    /// Returns the request's index if a client has sent it in exactly this form.
    fn known(&self, message: &Message) -> Result<u32, String> {
        let id = message.header("x-request-id").ok_or("no X-Request-Id")?;
        let request = self.context.request(id).ok_or_else(|| format!("no client sent {id}"))?;
        let class = self.context.class(request);
        let key = match class.effect {
            Effect::Keyed => Some(self.context.idempotency_key(request)),
            _ => None,
        };
        let fits = message.start.0 == class.effect.method()
            && message.start.1 == self.context.target(request)
            && message.body == self.context.body(request)
            && message.header("idempotency-key") == key.as_deref();
        if fits { Ok(request) } else { Err(format!("{id} was not sent in this form")) }
    }

    /// Serves one request. Returns whether the connection stays open.
    async fn request(
        self: &Rc<Self>,
        balancer: usize,
        exchange: &mut Exchange,
        message: Message,
        over_limit: bool,
    ) -> bool {
        let record = &self.context.record;
        let request = match self.known(&message) {
            Ok(request) => request,
            Err(what) => {
                record.saw(Observation::AlteredRequest { node: self.index, balancer, what });
                let _ = exchange.write(answer(400, "", "").as_bytes()).await;
                return false;
            }
        };
        let attempt = record.attempt();
        let state = self.state.get().clone();
        let dark = state.silent || state.cut_off[balancer];
        let first = At(record.now().0.saturating_sub(message.first.elapsed().as_micros() as u64));
        let work_ms = self.context.work_ms(request, self.machine.cell);
        let start = self.context.start_of(balancer);
        record.saw(Observation::Attempt {
            attempt,
            request,
            node: self.index,
            balancer,
            start,
            first,
            dark,
            work_ms,
        });
        if dark {
            let _lost = OnDrop::new(|| {
                record.saw(Observation::Ended { attempt, outcome: AttemptOutcome::Died })
            });
            let _ = exchange.end().await;
            _lost.cancel();
            record.saw(Observation::Closed { attempt });
            return false;
        }
        let outcome = self.run(exchange, attempt, request, work_ms, over_limit).await;
        let Some(outcome) = outcome else { return false };
        record.saw(Observation::Ended { attempt, outcome });
        let load = self.load_header();
        let text = match outcome {
            AttemptOutcome::Served | AttemptOutcome::Dropped => {
                answer(200, &load, &format!("{} {attempt}", self.context.arrival(request).id))
            }
            AttemptOutcome::Error => answer(500, &load, ""),
            AttemptOutcome::Malformed => self.malformed_answer(),
            _ => answer(503, &format!("X-Not-Run: 1\r\n{load}"), ""),
        };
        let written = exchange.write(text.as_bytes()).await.is_ok();
        if written && outcome == AttemptOutcome::Malformed {
            // The connection stays open but can't be used again.
            let _ = exchange.end().await;
            return false;
        }
        written && !over_limit
    }

    /// Runs a request. Returns `None` if the connection ended first.
    async fn run(
        self: &Rc<Self>,
        exchange: &mut Exchange,
        attempt: u32,
        request: u32,
        work_ms: f64,
        over_limit: bool,
    ) -> Option<AttemptOutcome> {
        let record = &self.context.record;
        if over_limit || self.drains() {
            return Some(AttemptOutcome::Rejected);
        }
        if self.seen_before(request) {
            return Some(AttemptOutcome::Dropped);
        }
        self.advance();
        let (sender, done) = oneshot::channel();
        {
            let mut process = self.process.borrow_mut();
            let process = process.as_mut()?;
            match process.model.arrive(attempt, work_ms) {
                Admission::Accepted => {}
                Admission::Full => return Some(AttemptOutcome::Rejected),
                Admission::Overloaded => {
                    self.overloaded.set(true);
                    record.saw(Observation::Overloaded { node: self.index });
                    self.changed.notify_one();
                    return Some(AttemptOutcome::Rejected);
                }
            }
            process.waiting.insert(attempt, sender);
            process.wake.notify_one();
        }
        self.remember(request);
        self.context.remember_session(request, self.machine.cell);
        record.saw(Observation::Ran { attempt });
        // If dropped before the end, the node has died during the request.
        let died = OnDrop::new(|| {
            record.saw(Observation::Ended { attempt, outcome: AttemptOutcome::Died })
        });
        tokio::select! {
            biased;
            done = done => {
                done.ok()?;
            }
            _ = exchange.end() => {
                died.cancel();
                // The work continues although the balancer has closed the connection.
                record.saw(Observation::Closed { attempt });
                record.saw(Observation::Ended { attempt, outcome: AttemptOutcome::Abandoned });
                return None;
            }
        }
        died.cancel();
        let (error, malformed): (f64, f64) = {
            let mut rng = self.rng.borrow_mut();
            (rng.random(), rng.random())
        };
        let well_formed_share: f64 =
            self.active_faults.borrow().malformed_shares.iter().map(|s| 1.0 - s).product();
        Some(if malformed >= well_formed_share {
            AttemptOutcome::Malformed
        } else if error < self.kind.error_rate {
            self.errors.set(self.errors.get() + 1);
            AttemptOutcome::Error
        } else {
            AttemptOutcome::Served
        })
    }

    /// Returns the group of nodes that share a keyed request's idempotency key: all, those of a
    /// zone, or those of a cell.
    fn group(&self, request: u32) -> Option<u64> {
        let class = self.context.class(request);
        (class.effect == Effect::Keyed).then(|| match class.group {
            Group::All => 0,
            Group::Zone => 1 << 40 | self.machine.zone as u64,
            Group::Cell => 2 << 40 | u64::from(self.machine.cell),
        })
    }

    fn seen_before(&self, request: u32) -> bool {
        let Some(group) = self.group(request) else { return false };
        let keys = self.context.keys.borrow();
        keys.get(&(group, self.context.effect(request)))
            .is_some_and(|until| *until > Instant::now())
    }

    fn remember(&self, request: u32) {
        if let Some(group) = self.group(request) {
            let until = Instant::now() + self.context.class(request).window;
            self.context.keys.borrow_mut().insert((group, self.context.effect(request)), until);
        }
    }

    /// Returns a malformed answer, of one of several kinds.
    fn malformed_answer(&self) -> String {
        let kind: u32 = self.rng.borrow_mut().random_range(0..4);
        match kind {
            0 => "\x07\x07 this is noise \x7f\x7f\r\n\r\n".to_string(),
            1 => "HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n".to_string(),
            2 => "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand".to_string(),
            _ => format!("HTTP/1.1 200 OK\r\n{}\r\n", "X-Noise: x\r\n".repeat(2000)),
        }
    }
}

/// Waits until the connection must be closed: the process has ended, or a silent or cut-off node
/// can be reached again.
async fn wait_until_unusable(
    state: &mut WatchReceiver<super::ConnectionState>,
    process: u64,
    balancer: usize,
) {
    let mut was_dark = false;
    loop {
        {
            let now = state.borrow_and_update();
            // A silent machine sends no reset either.
            let dark = now.silent || now.cut_off[balancer];
            if now.process != process || (!dark && (!now.alive || was_dark)) {
                return;
            }
            was_dark |= dark;
        }
        state.changed().await;
    }
}

fn answer(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} -\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Runs a function when dropped, unless cancelled.
struct OnDrop<F: FnMut()>(Option<F>);

impl<F: FnMut()> OnDrop<F> {
    fn new(f: F) -> Self {
        Self(Some(f))
    }
    fn cancel(mut self) {
        self.0 = None;
    }
}

impl<F: FnMut()> Drop for OnDrop<F> {
    fn drop(&mut self) {
        if let Some(f) = &mut self.0 {
            f();
        }
    }
}
