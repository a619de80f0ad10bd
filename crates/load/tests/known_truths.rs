//! The tool against stand-ins whose truth is known, in virtual time.

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

/// A server that takes so long for a request, and so many at once; for one second from `stops` on it does nothing.
#[derive(Clone, Copy)]
struct Standin {
    takes: Duration,
    slots: usize,
    stops: Option<Duration>,
    status: StatusCode,
    closes: bool,
}

impl Standin {
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
        let (slots, zero) = (Rc::new(Semaphore::new(self.slots)), Instant::now());
        spawn_local(async move {
            while let Ok((stream, _)) = accept(&mut *listener).await {
                let slots = slots.clone();
                spawn_local(async move {
                    let service = service_fn(|_| async {
                        let _slot = slots.acquire().await.expect("open");
                        sleep(self.takes).await;
                        if let Some(stops) = self.stops
                            && (stops..stops + Duration::from_secs(1)).contains(&zero.elapsed())
                        {
                            sleep_until(zero + stops + Duration::from_secs(1)).await;
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

/// Plays this load against a stand-in.
fn play(standin: Standin, profile: &Profile) -> Report {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let fabric = Fabric::new(Duration::ZERO, |_, _| Duration::ZERO);
        let target = standin.start(fabric.host(SERVER));
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
fn a_stop_of_the_target_shows_in_an_open_loop_and_hides_from_a_closed_one() {
    let stops = Standin { stops: Some(Duration::from_secs(4)), ..Standin::QUICK };
    let open = play(stops, &profile(even(100.0), 10));
    // A tenth of the requests are due within the stop and wait for its end: one in a hundred for over 0.9 s.
    let p99 = open.classes[0].latency_ms.p99;
    assert!((p99 / 910.0 - 1.0).abs() < 0.05, "{p99} ms");
    let closed = play(stops, &profile(Arrivals::Closed(1), 10));
    let p99 = closed.classes[0].latency_ms.p99;
    assert!(p99 < 20.0, "{p99} ms");
    assert!(closed.classes[0].latency_ms.most > 900.0);
    assert_eq!((open.doubt, closed.doubt), (None, None));
}

#[test]
fn one_slot_and_an_exact_service_time_are_the_queue_m_d_1() {
    let takes = Duration::from_millis(100);
    let standin = Standin { takes, slots: 1, ..Standin::QUICK };
    for load in [0.3, 0.5, 0.7] {
        let arrivals = Arrivals::Open(Spacing::Poisson, Rates::steady(load / 0.1));
        let report = play(standin, &profile(arrivals, 40_000));
        // Pollaczek and Khinchine: the mean wait is load * service / (2 * (1 - load)).
        let truth = 100.0 + 100.0 * load / (2.0 * (1.0 - load));
        let mean = report.classes[0].latency_ms.mean;
        assert!((mean / truth - 1.0).abs() < 0.04, "load {load}: {mean} ms, {truth} by theory");
    }
}

#[test]
fn every_end_is_counted_as_what_it_is() {
    let counts = |standin: Standin, profile: &Profile| play(standin, profile).classes[0].counts;
    let all = profile(even(100.0), 2);
    let c = counts(Standin::QUICK, &all);
    assert_eq!((c.asked, c.served), (199, 199));
    let c = counts(Standin { status: StatusCode::SERVICE_UNAVAILABLE, ..Standin::QUICK }, &all);
    assert_eq!((c.served, c.refused), (0, 199));
    let c = counts(Standin { status: StatusCode::BAD_GATEWAY, ..Standin::QUICK }, &all);
    assert_eq!((c.served, c.failed), (0, 199));
    let c = counts(Standin { closes: true, ..Standin::QUICK }, &all);
    assert_eq!((c.served, c.broken), (199, 0), "a new connection for each");
    let mut brief = all.clone();
    brief.classes[0].deadline = Duration::from_millis(200);
    let never = Standin { takes: Duration::from_secs(3600), ..Standin::QUICK };
    assert_eq!(counts(never, &brief).timed_out, 199);
}

#[test]
fn a_tool_with_too_few_connections_says_so_in_the_latency() {
    let mut few = profile(even(100.0), 5);
    few.connections = 1;
    let takes = Duration::from_millis(20);
    let report = play(Standin { takes, ..Standin::QUICK }, &few);
    // Twice as much as one connection carries: what waits for it is not left out.
    assert!(report.classes[0].latency_ms.p99 > 4000.0, "{report:?}");
    assert!(report.classes[0].from_sending_ms.p99 < 25.0 && report.waiting_ms.p99 > 4000.0);
    assert_eq!(report.connections, 1);
}

#[test]
fn answers_are_read_between_requests_that_are_due_at_once() {
    // Timers tell milliseconds apart, so 200 are due at each. Turned to in one go, each would find no free connection.
    let standin = Standin { takes: Duration::ZERO, ..Standin::QUICK };
    let mut brief = profile(even(200_000.0), 1);
    brief.length = Duration::from_millis(50);
    let report = play(standin, &brief);
    assert!(report.connections < 100, "{} connections", report.connections);
    assert_eq!(report.classes[0].counts.served, report.classes[0].counts.asked);
}

#[test]
fn nobody_there_is_unreachable_and_no_panic() {
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
