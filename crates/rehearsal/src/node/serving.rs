//! The connections of a stand-in node: which request came, whether it is taken, and how it ends.

use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use super::model::Verdict;
use super::{Door, Node};
use crate::record::{At, AttemptOutcome, Observation};
use crate::scenario::{Effect, Group};
use crate::watched::Watcher;
use crate::wire::{Ended, Exchange, Message, Side};

impl Node {
    pub(super) async fn accept(self: Rc<Self>, balancer: usize, door: Door) {
        loop {
            let next = std::future::poll_fn(|cx| match &mut *door.borrow_mut() {
                Some(listener) => listener.poll_accept(cx),
                None => Poll::Pending,
            })
            .await;
            let Ok((stream, _)) = next else {
                // None of accept's errors ends a listener.
                sleep(Duration::from_millis(5)).await;
                continue;
            };
            let life = self.life.watch();
            spawn_local(self.clone().converse(balancer, Exchange::new(stream), life));
        }
    }

    /// All requests of one connection.
    async fn converse(
        self: Rc<Self>,
        balancer: usize,
        mut talk: Exchange,
        mut life: Watcher<super::Life>,
    ) {
        let process = life.see().process;
        let crowded = {
            let mut process = self.process.borrow_mut();
            let Some(p) = &mut *process else { return talk.reset() };
            p.connections += 1;
            p.model.bother(self.kind.handshake_ms);
            p.connections > self.kind.connections
        };
        self.stage.record.saw(Observation::Connected { node: self.place, balancer });
        let ended = {
            let over = over(&mut life, process, balancer);
            tokio::select! {
                biased;
                () = over => true,
                () = self.requests(balancer, &mut talk, crowded) => false,
            }
        };
        if ended {
            talk.reset();
        }
        if let Some(p) = &mut *self.process.borrow_mut()
            && self.life.get().process == process
        {
            p.connections -= 1;
        }
    }

    async fn requests(self: &Rc<Self>, balancer: usize, talk: &mut Exchange, crowded: bool) {
        let record = &self.stage.record;
        loop {
            let idle = self.stage.scenario.rules.keepalive;
            let message = match timeout(idle, talk.message(Side::Requests)).await {
                Err(_) => return, // It has idled for too long.
                Ok(Ok(message)) => message,
                Ok(Err(Ended::Closed { inside: false } | Ended::Reset { inside: false })) => return,
                Ok(Err(Ended::Closed { .. } | Ended::Reset { .. })) => {
                    return record.saw(Observation::Partial { node: self.place, balancer });
                }
                Ok(Err(Ended::Malformed(what))) => {
                    return record.saw(Observation::AlteredRequest {
                        node: self.place,
                        balancer,
                        what,
                    });
                }
            };
            if !self.request(balancer, talk, message, crowded).await {
                return;
            }
        }
    }

    /// Which request this is, if it is one that a client sent, in its form.
    fn known(&self, message: &Message) -> Result<u32, String> {
        let id = message.header("x-request-id").ok_or("no X-Request-Id")?;
        let request = self.stage.request(id).ok_or_else(|| format!("no client sent {id}"))?;
        let class = self.stage.class(request);
        let key = match class.effect {
            Effect::Keyed => Some(self.stage.idempotency_key(request)),
            _ => None,
        };
        let fits = message.start.0 == class.effect.method()
            && message.start.1 == self.stage.target(request)
            && message.body == self.stage.body(request)
            && message.header("idempotency-key") == key.as_deref();
        if fits { Ok(request) } else { Err(format!("{id} was not sent in this form")) }
    }

    /// One request; whether the connection goes on.
    async fn request(
        self: &Rc<Self>,
        balancer: usize,
        talk: &mut Exchange,
        message: Message,
        crowded: bool,
    ) -> bool {
        let record = &self.stage.record;
        let request = match self.known(&message) {
            Ok(request) => request,
            Err(what) => {
                record.saw(Observation::AlteredRequest { node: self.place, balancer, what });
                let _ = talk.write(answer(400, "", "").as_bytes()).await;
                return false;
            }
        };
        let attempt = record.attempt();
        let life = self.life.get().clone();
        let dark = life.silent || life.cut[balancer];
        let first = At(record.now().0.saturating_sub(message.first.elapsed().as_micros() as u64));
        let work_ms = self.stage.work_ms(request, self.machine.cell);
        let start = self.stage.start_of(balancer);
        record.saw(Observation::Attempt {
            attempt,
            request,
            node: self.place,
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
            let _ = talk.end().await;
            _lost.cancel();
            record.saw(Observation::Closed { attempt });
            return false;
        }
        let fate = self.run(talk, attempt, request, work_ms, crowded).await;
        let Some(fate) = fate else { return false };
        record.saw(Observation::Ended { attempt, outcome: fate });
        let load = self.load_header();
        let text = match fate {
            AttemptOutcome::Served | AttemptOutcome::Dropped => {
                answer(200, &load, &format!("{} {attempt}", self.stage.arrival(request).id))
            }
            AttemptOutcome::Error => answer(500, &load, ""),
            AttemptOutcome::Malformed => self.spoilt(),
            _ => answer(503, &format!("X-Not-Run: 1\r\n{load}"), ""),
        };
        let written = talk.write(text.as_bytes()).await.is_ok();
        if written && fate == AttemptOutcome::Malformed {
            // The connection stays open, and is of no further use.
            let _ = talk.end().await;
            return false;
        }
        written && !crowded
    }

    /// Runs a request; `None` if its connection ended first.
    async fn run(
        self: &Rc<Self>,
        talk: &mut Exchange,
        attempt: u32,
        request: u32,
        work_ms: f64,
        crowded: bool,
    ) -> Option<AttemptOutcome> {
        let record = &self.stage.record;
        if crowded || self.drains() {
            return Some(AttemptOutcome::Rejected);
        }
        if self.seen_before(request) {
            return Some(AttemptOutcome::Dropped);
        }
        self.advance();
        let (tell, done) = oneshot::channel();
        {
            let mut process = self.process.borrow_mut();
            let process = process.as_mut()?;
            match process.model.arrive(attempt, work_ms) {
                Verdict::Taken => {}
                Verdict::Full => return Some(AttemptOutcome::Rejected),
                Verdict::Tipped => {
                    self.tipped.set(true);
                    record.saw(Observation::Overloaded { node: self.place });
                    self.changed.notify_one();
                    return Some(AttemptOutcome::Rejected);
                }
            }
            process.waiting.insert(attempt, tell);
            process.wake.notify_one();
        }
        self.remember(request);
        self.stage.got_to_know(request, self.machine.cell);
        record.saw(Observation::Ran { attempt });
        // Dropped here, its node has died with it.
        let died = OnDrop::new(|| {
            record.saw(Observation::Ended { attempt, outcome: AttemptOutcome::Died })
        });
        tokio::select! {
            biased;
            done = done => {
                done.ok()?;
            }
            _ = talk.end() => {
                died.cancel();
                // The work goes on; nobody waits for it.
                record.saw(Observation::Closed { attempt });
                record.saw(Observation::Ended { attempt, outcome: AttemptOutcome::Abandoned });
                return None;
            }
        }
        died.cancel();
        let (error, spoil): (f64, f64) = {
            let mut rng = self.rng.borrow_mut();
            (rng.random(), rng.random())
        };
        let well: f64 = self.troubles.borrow().spoil.iter().map(|s| 1.0 - s).product();
        Some(if spoil >= well {
            AttemptOutcome::Malformed
        } else if error < self.kind.error_rate {
            self.errors.set(self.errors.get() + 1);
            AttemptOutcome::Error
        } else {
            AttemptOutcome::Served
        })
    }

    /// What remembers a keyed request's key: all nodes, those of a zone, or those of a cell.
    fn group(&self, request: u32) -> Option<u64> {
        let class = self.stage.class(request);
        (class.effect == Effect::Keyed).then(|| match class.group {
            Group::All => 0,
            Group::Zone => 1 << 40 | self.machine.zone as u64,
            Group::Cell => 2 << 40 | u64::from(self.machine.cell),
        })
    }

    fn seen_before(&self, request: u32) -> bool {
        let Some(group) = self.group(request) else { return false };
        let keys = self.stage.keys.borrow();
        keys.get(&(group, self.stage.effect(request))).is_some_and(|until| *until > Instant::now())
    }

    fn remember(&self, request: u32) {
        if let Some(group) = self.group(request) {
            let until = Instant::now() + self.stage.class(request).window;
            self.stage.keys.borrow_mut().insert((group, self.stage.effect(request)), until);
        }
    }

    /// An answer that no one can read, of one of several kinds.
    fn spoilt(&self) -> String {
        let kind: u32 = self.rng.borrow_mut().random_range(0..4);
        match kind {
            0 => "\x07\x07 this is noise \x7f\x7f\r\n\r\n".to_string(),
            1 => "HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n".to_string(),
            2 => "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand".to_string(),
            _ => format!("HTTP/1.1 200 OK\r\n{}\r\n", "X-Noise: x\r\n".repeat(2000)),
        }
    }
}

/// Ends when the connection must: its process is gone, or it is back in reach.
async fn over(life: &mut Watcher<super::Life>, process: u64, balancer: usize) {
    let mut was_dark = false;
    loop {
        {
            let now = life.see();
            // A machine that says nothing sends no reset either.
            let dark = now.silent || now.cut[balancer];
            if now.process != process || (!dark && (!now.alive || was_dark)) {
                return;
            }
            was_dark |= dark;
        }
        life.changed().await;
    }
}

fn answer(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} -\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Does something when it is dropped, unless that was called off.
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
