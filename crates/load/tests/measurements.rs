//! Measurements of the load generator against simulated servers with known latencies and outcomes, in virtual time.

use std::convert::Infallible;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollowpaddle_load::account::{About, Report};
use hollowpaddle_load::driver::{Target, Waiting, run};
use hollowpaddle_load::profile::{Arrivals, Profile};
use hollowpaddle_load::schedule::{Rates, Spacing};
use hollowpaddle_net::{Network, accept};
use hollowpaddle_simnet::Fabric;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::sync::Semaphore;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

const SERVER: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 1));
const CLIENT: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2));

/// A simulated server. It serves up to `slots` requests at once, each for the duration `takes`. From `stops` on, it stalls
/// for one second.
#[derive(Clone, Copy)]
struct SimulatedServer {
    takes: Duration,
    slots: usize,
    stops: Option<Duration>,
    status: StatusCode,
    closes: bool,
}

impl SimulatedServer {
    const QUICK: Self = Self {
        takes: Duration::from_millis(10),
        slots: 1000,
        stops: None,
        status: StatusCode::OK,
        closes: false,
    };

    fn start(self, network: Rc<dyn Network>) -> Target {
        let mut listener = network.listen(SocketAddr::new(SERVER, 0)).expect("a port");
        let address = listener.local_addr();
        let (slots, started_at) = (Rc::new(Semaphore::new(self.slots)), Instant::now());
        spawn_local(async move {
            while let Ok((stream, _)) = accept(&mut *listener).await {
                let slots = slots.clone();
                spawn_local(async move {
                    let service = service_fn(|_| async {
                        let _slot = slots.acquire().await.expect("open");
                        sleep(self.takes).await;
                        if let Some(stops) = self.stops
                            && (stops..stops + Duration::from_secs(1))
                                .contains(&started_at.elapsed())
                        {
                            sleep_until(started_at + stops + Duration::from_secs(1)).await;
                        }
                        let mut answer = Response::new(Full::new(Bytes::from_static(b"done")));
                        *answer.status_mut() = self.status;
                        Ok::<_, Infallible>(answer)
                    });
                    let connection = hyper::server::conn::http1::Builder::new()
                        .keep_alive(!self.closes)
                        .serve_connection(TokioIo::new(stream), service);
                    let _ = connection.await;
                });
            }
        });
        Target { address, host: "standin".to_string() }
    }
}

/// Runs the load against a simulated server and returns the report.
fn run_load(server: SimulatedServer, profile: &Profile) -> Report {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let fabric = Fabric::new(Duration::ZERO, |_, _| Duration::ZERO);
        let target = server.start(fabric.host(SERVER));
        let account = run(fabric.host(CLIENT), target, profile, 5, Waiting::ByTimer, |_| {}).await;
        let open = matches!(profile.arrivals, Arrivals::Open(..));
        let about = About { target: "standin", seed: 5, open, length: profile.length };
        Report::of(&account, about, &["plain".to_string()])
    })
}

fn profile(arrivals: Arrivals, seconds: u64) -> Profile {
    let mut profile = Profile::plain("/");
    (profile.arrivals, profile.length) = (arrivals, Duration::from_secs(seconds));
    profile.classes[0].deadline = Duration::from_secs(600);
    profile.connections = 10_000;
    profile
}

fn even(rate: f64) -> Arrivals {
    Arrivals::Open(Spacing::Even, Rates::steady(rate))
}

#[test]
fn open_loop_latency_includes_a_stall_of_the_target_and_closed_loop_latency_omits_it() {
    let stops = SimulatedServer { stops: Some(Duration::from_secs(4)), ..SimulatedServer::QUICK };
    let open = run_load(stops, &profile(even(100.0), 10));
    // A tenth of the requests are due during the stall and wait for its end, so 1 % of all wait for over 0.9 s.
    let p99 = open.classes[0].latency_ms.p99;
    assert!((p99 / 910.0 - 1.0).abs() < 0.05, "{p99} ms");
    let closed = run_load(stops, &profile(Arrivals::Closed(1), 10));
    let p99 = closed.classes[0].latency_ms.p99;
    assert!(p99 < 20.0, "{p99} ms");
    assert!(closed.classes[0].latency_ms.most > 900.0);
    assert_eq!((open.doubt, closed.doubt), (None, None));
}

#[test]
fn mean_latency_of_one_slot_with_constant_service_time_matches_an_m_d_1_queue() {
    let takes = Duration::from_millis(100);
    let server = SimulatedServer { takes, slots: 1, ..SimulatedServer::QUICK };
    for load in [0.3, 0.5, 0.7] {
        let arrivals = Arrivals::Open(Spacing::Poisson, Rates::steady(load / 0.1));
        let report = run_load(server, &profile(arrivals, 40_000));
        // Pollaczek-Khinchine formula: the mean wait is load * service / (2 * (1 - load)).
        let expected = 100.0 + 100.0 * load / (2.0 * (1.0 - load));
        let mean = report.classes[0].latency_ms.mean;
        assert!(
            (mean / expected - 1.0).abs() < 0.04,
            "load {load}: {mean} ms, {expected} by theory"
        );
    }
}

#[test]
fn requests_are_counted_by_their_outcome() {
    let counts =
        |server: SimulatedServer, profile: &Profile| run_load(server, profile).classes[0].counts;
    let all = profile(even(100.0), 2);
    let c = counts(SimulatedServer::QUICK, &all);
    assert_eq!((c.asked, c.served), (199, 199));
    let c = counts(
        SimulatedServer { status: StatusCode::SERVICE_UNAVAILABLE, ..SimulatedServer::QUICK },
        &all,
    );
    assert_eq!((c.served, c.refused), (0, 199));
    let c =
        counts(SimulatedServer { status: StatusCode::BAD_GATEWAY, ..SimulatedServer::QUICK }, &all);
    assert_eq!((c.served, c.failed), (0, 199));
    let c = counts(SimulatedServer { closes: true, ..SimulatedServer::QUICK }, &all);
    assert_eq!((c.served, c.broken), (199, 0), "a new connection for each");
    let mut brief = all.clone();
    brief.classes[0].deadline = Duration::from_millis(200);
    let never = SimulatedServer { takes: Duration::from_secs(3600), ..SimulatedServer::QUICK };
    assert_eq!(counts(never, &brief).timed_out, 199);
}

#[test]
fn latency_includes_waiting_for_a_free_connection() {
    let mut few = profile(even(100.0), 5);
    few.connections = 1;
    let takes = Duration::from_millis(20);
    let report = run_load(SimulatedServer { takes, ..SimulatedServer::QUICK }, &few);
    // The rate is twice what one connection carries. The latency includes the time spent waiting for the connection.
    assert!(report.classes[0].latency_ms.p99 > 4000.0, "{report:?}");
    assert!(report.classes[0].from_sending_ms.p99 < 25.0 && report.waiting_ms.p99 > 4000.0);
    assert_eq!(report.connections, 1);
}

#[test]
fn responses_are_read_between_requests_due_at_the_same_time() {
    // Timers have a resolution of 1 ms, so 200 requests are due at each tick. If all of them started before any response
    // was read, none would find a free connection.
    let server = SimulatedServer { takes: Duration::ZERO, ..SimulatedServer::QUICK };
    let mut brief = profile(even(200_000.0), 1);
    brief.length = Duration::from_millis(50);
    let report = run_load(server, &brief);
    assert!(report.connections < 100, "{} connections", report.connections);
    assert_eq!(report.classes[0].counts.served, report.classes[0].counts.asked);
}

#[test]
fn missing_server_counts_as_unreachable() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let account = LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let fabric = Fabric::new(Duration::ZERO, |_, _| Duration::ZERO);
        let target = Target { address: SocketAddr::new(SERVER, 9), host: "nobody".to_string() };
        run(fabric.host(CLIENT), target, &profile(even(50.0), 1), 1, Waiting::ByTimer, |_| {}).await
    });
    let counts = account.classes[0].counts;
    assert_eq!((counts.asked, counts.unreachable), (49, 49));
}
