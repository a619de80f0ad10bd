//! From discovery's having a drain to the last request that goes to whoever drains: one balancer on a simulated network,
//! under a paused clock, with a discovery that is silent, refuses or ends its watches at every point of its calls.

use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_gateway::{Config, Resources, serve};
use hollowpaddle_net::{Network, Stream, accept};
use hollowpaddle_policy::list_polling::{APPLY_MARGIN, LIST_PROPAGATION_BOUND};
use hollowpaddle_simnet::Fabric;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

const TICK: Duration = Duration::from_millis(5);
/// After the start, and between the moments at which something happens to discovery, in milliseconds.
const WARM: u64 = 4000;
const STEP: u64 = 243;
const BEAT: Duration = Duration::from_secs(2);
/// From the settings below.
const GRACE: Duration = Duration::from_millis(500);

fn at(host: u8) -> SocketAddr {
    SocketAddr::new(IpAddr::from([10, 0, 0, host]), 80)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What discovery is like just now.
#[derive(Default)]
struct Discovery {
    /// Nothing comes up, and nothing is refused.
    vanished: Cell<bool>,
    refuses: Cell<bool>,
    /// Connections are taken, and nothing is written on any.
    mute: Cell<bool>,
    /// Connections before this one say nothing ever again, or are reset.
    silent_before: Cell<u64>,
    reset_before: Cell<u64>,
    opened: Cell<u64>,
    /// When requests came to the two upstreams last, and which of them drains.
    seen: [Rc<Cell<Option<Instant>>>; 2],
    drains: Cell<Option<usize>>,
}

impl Discovery {
    fn list(&self) -> String {
        let phase = |i| if self.drains.get() == Some(i) { "DRAINING" } else { "SERVING" };
        let entry = |id: &str, host, phase: &str| {
            json!({"id": id, "host_port": at(host).to_string(), "locality": "a", "flavor": "m", "cell": 0,
                "phase": phase, "size": 1.0, "up_since_ms": 0})
        };
        let revision = if self.drains.get().is_some() { 43 } else { 42 };
        let members = [entry("a", 3, phase(0)), entry("b", 4, phase(1))];
        let list = json!({"revision": revision, "complete": true, "members": members});
        serde_json::to_string_pretty(&list).expect("text")
    }

    /// From now on the one drains that was sent to last.
    fn drain(&self) -> Instant {
        self.drains.set(Some(usize::from(self.seen[1].get() > self.seen[0].get())));
        Instant::now()
    }

    async fn listen(self: Rc<Self>, network: Rc<dyn Network>) {
        loop {
            let mut listener = network.listen(at(2)).expect("free");
            while !self.refuses.get() {
                listener.hush(self.vanished.get());
                tokio::select! {
                    biased;
                    came = accept(&mut *listener) => {
                        let id = self.opened.replace(self.opened.get() + 1);
                        spawn_local(self.clone().converse(id, came.expect("accepted").0));
                    }
                    () = sleep(TICK) => {}
                }
            }
            drop(listener);
            while self.refuses.get() {
                sleep(TICK).await;
            }
        }
    }

    async fn converse(self: Rc<Self>, id: u64, mut stream: Box<dyn Stream>) {
        if read_head(&mut *stream).await.is_none() {
            return;
        }
        let mut said = None;
        let mut beat = Instant::now();
        loop {
            if id < self.reset_before.get() {
                return stream.reset();
            }
            if id < self.silent_before.get() {
                return std::future::pending().await;
            }
            if !self.mute.get() {
                let text = if said.is_none() {
                    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                    stream.write_all(head.as_bytes()).await.expect("room");
                    self.list()
                } else if said != Some(self.drains.get()) {
                    self.list()
                } else if beat + BEAT <= Instant::now() {
                    String::new()
                } else {
                    sleep(TICK).await;
                    continue;
                };
                (said, beat) = (Some(self.drains.get()), Instant::now());
                let text = text + "\n";
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                if stream.write_all(chunk.as_bytes()).await.is_err() {
                    return;
                }
            }
            sleep(TICK).await;
        }
    }
}

/// Reads up to the empty line.
async fn read_head(stream: &mut dyn Stream) -> Option<String> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).await.ok()?;
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

async fn upstream(network: Rc<dyn Network>, host: u8, seen: Rc<Cell<Option<Instant>>>) {
    let mut listener = network.listen(at(host)).expect("free");
    loop {
        let (mut stream, _) = accept(&mut *listener).await.expect("accepted");
        let seen = seen.clone();
        spawn_local(async move {
            while read_head(&mut *stream).await.is_some() {
                seen.set(Some(Instant::now()));
                let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                stream.write_all(answer).await.expect("room");
            }
        });
    }
}

async fn client(network: Rc<dyn Network>) {
    let mut stream = network.connect(at(1)).await.expect("it listens");
    for i in 0.. {
        let request = format!(
            "GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r{i}\r\nX-Class: read\r\nX-Deadline-Ms: 5000\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.expect("room");
        let head = read_head(&mut *stream).await.expect("an answer").to_lowercase();
        let length = head.split("content-length: ").nth(1).expect("a length");
        let length: usize = length.split("\r\n").next().expect("a line").parse().expect("a number");
        stream.read_exact(&mut vec![0; length]).await.expect("a body");
        sleep(ms(20)).await;
    }
}

fn config(mode: &str, list_poll_interval: f64) -> Config {
    let text = json!({
        "seed": "8c1f30d27a5be964", "name": "n0",
        "listen": at(1).to_string(), "discovery": at(2).to_string(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "Balancers": 1, "Position": 0, "Zone": 0, "Zones": ["a"], "MachineTypes": ["m"],
            "Tick": 1.0, "RegistryMode": mode,
            "Services": [{"Name": "read", "Aim": 2000.0, "Deadline": 6000.0, "Effect": "retryable"}],
            "PolicyLimits": {"MaxAttempts": 3, "ConnectTimeout": 250.0, "Keepalive": 5000.0, "StreamsPerConn": 1},
            "Safety": {"Cold": 5000.0, "ColdFrom": 0.2, "FallMultiple": 3.0, "TipAfter": 1000.0,
                "DrainGrace": GRACE.as_millis() as f64, "AnswerSlack": 20.0, "AskEvery": list_poll_interval},
        },
    });
    Config::parse("a file", text.to_string().as_bytes(), |_| None).expect("sound")
}

/// Runs a balancer for a while. `script` says what becomes of discovery, and returns when it has the drain and can be
/// reached. How much later the last request went to whoever drains.
fn last_send<F: Future<Output = Instant>>(
    config: Config,
    script: impl FnOnce(Rc<Discovery>) -> F,
) -> Duration {
    let runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = { runtime }.enable_time().start_paused(true).build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async move {
        let fabric = Fabric::new(Duration::from_secs(1_000_000), |_, _| ms(1));
        let host = |n: u8| fabric.host(at(n).ip());
        let discovery = Rc::<Discovery>::default();
        spawn_local(discovery.clone().listen(host(2)));
        let seen = discovery.seen.clone();
        spawn_local(upstream(host(3), 3, seen[0].clone()));
        spawn_local(upstream(host(4), 4, seen[1].clone()));
        let listener = host(1).listen(at(1)).expect("free");
        let (_reloads, reloads) = mpsc::unbounded_channel();
        let never = std::future::pending();
        spawn_local(serve(config, host(1), listener, Resources::default(), reloads, never));
        sleep(ms(100)).await;
        spawn_local(client(host(5)));
        let from = script(discovery.clone()).await;
        sleep_until(from + ms(10_000)).await;
        let drained = discovery.drains.get().expect("one of them");
        let stays = seen[1 - drained].get();
        assert!(stays.is_some_and(|at| at.elapsed() < ms(100)), "nobody is served");
        seen[drained].get().expect("it was sent to").saturating_duration_since(from)
    })
}

/// The longest over many offsets, spread over what a call and the waits around it take.
fn worst(name: &str, run: impl Fn(Duration) -> Duration) -> Duration {
    let (worst, of) = (0..24).map(|i| (run(ms(STEP * i)), i)).max().expect("some");
    println!("{name}: the last send {} ms after, at offset {} ms", worst.as_millis(), STEP * of);
    worst
}

/// What was told in time, and obeyed within the grace.
fn in_time() -> Duration {
    Duration::from_micros((LIST_PROPAGATION_BOUND.0 - APPLY_MARGIN.0) as u64) + GRACE
}

#[test]
fn a_watch_that_falls_silent_costs_no_news_its_time() {
    for (mode, list_poll_interval) in
        [("subscribe", 2000.0), ("subscribe", 600_000.0), ("automatic", 2000.0)]
    {
        let late =
            worst(&format!("{mode}, asked every {list_poll_interval} ms, silent"), |offset| {
                last_send(config(mode, list_poll_interval), |discovery| async move {
                    sleep(ms(WARM) + offset).await;
                    discovery.silent_before.set(discovery.opened.get());
                    discovery.drain()
                })
            });
        assert!(late <= in_time(), "{mode} {list_poll_interval}: {late:?}");
    }
}

#[test]
fn a_watch_that_ends_costs_no_news_its_time() {
    for (mode, list_poll_interval) in
        [("subscribe", 2000.0), ("subscribe", 600_000.0), ("automatic", 2000.0)]
    {
        let late =
            worst(&format!("{mode}, asked every {list_poll_interval} ms, reset"), |offset| {
                last_send(config(mode, list_poll_interval), |discovery| async move {
                    sleep(ms(WARM) + offset).await;
                    discovery.reset_before.set(discovery.opened.get());
                    discovery.drain()
                })
            });
        assert!(late <= in_time(), "{mode} {list_poll_interval}: {late:?}");
    }
}

#[test]
fn whatever_calls_failed_or_hung_news_is_in_force_in_time_once_discovery_is_back() {
    for list_poll_interval in [2000.0, 600_000.0] {
        for (name, vanishes, refuses, mute) in [
            ("vanishes", true, false, false),
            ("refuses", false, true, false),
            ("takes calls and says nothing", false, false, true),
        ] {
            let late = worst(&format!("asked every {list_poll_interval} ms, {name}"), |offset| {
                last_send(config("subscribe", list_poll_interval), move |discovery| async move {
                    sleep(ms(WARM)).await;
                    let before = discovery.opened.get();
                    discovery.vanished.set(vanishes);
                    discovery.refuses.set(refuses);
                    discovery.mute.set(mute);
                    if refuses {
                        discovery.reset_before.set(before);
                    } else {
                        discovery.silent_before.set(before);
                    }
                    sleep(ms(8000) + offset).await;
                    // Whatever was out then is lost.
                    discovery.silent_before.set(discovery.opened.get());
                    discovery.vanished.set(false);
                    discovery.refuses.set(false);
                    discovery.mute.set(false);
                    discovery.drain()
                })
            });
            assert!(late <= in_time(), "{name} {list_poll_interval}: {late:?}");
        }
    }
}

#[test]
fn what_an_agent_gets_at_its_return_counts_at_once() {
    let late = worst("an agent that is silent for a while", |offset| {
        last_send(config("automatic", 2000.0), |discovery| async move {
            sleep(ms(WARM)).await;
            discovery.mute.set(true);
            sleep(ms(8000) + offset).await;
            discovery.mute.set(false);
            discovery.drain()
        })
    });
    assert!(late <= GRACE, "{late:?}");
}
