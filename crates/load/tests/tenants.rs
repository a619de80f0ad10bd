//! The `X-Tenant` header of generated requests.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::convert::Infallible;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollowpaddle_load::driver::{Target, Waiting, run};
use hollowpaddle_load::profile::{Arrivals, Profile};
use hollowpaddle_load::schedule::{Rates, Spacing};
use hollowpaddle_net::{Network, accept};
use hollowpaddle_simnet::Fabric;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::task::{LocalSet, spawn_local};

const SERVER: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 1));
const CLIENT: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2));

/// Tenants named by the requests that a server received; `None` stands for a request without a tenant.
type NamedTenants = Rc<RefCell<BTreeSet<Option<String>>>>;

fn serve(network: &Rc<dyn Network>, named: NamedTenants) -> SocketAddr {
    let mut listener = network.listen(SocketAddr::new(SERVER, 0)).expect("a port");
    let address = listener.local_addr();
    spawn_local(async move {
        while let Ok((stream, _)) = accept(&mut *listener).await {
            let named = named.clone();
            spawn_local(async move {
                let service = service_fn(|request: Request<Incoming>| {
                    let tenant = request.headers().get("x-tenant");
                    let tenant = tenant.map(|t| t.to_str().expect("text").to_string());
                    named.borrow_mut().insert(tenant);
                    async { Ok::<_, Infallible>(Response::new(Full::new(Bytes::new()))) }
                });
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                let _ = connection.await;
            });
        }
    });
    address
}

fn tenants_named_by_requests(tenants: u32) -> BTreeSet<Option<String>> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let fabric = Fabric::new(Duration::ZERO, |_, _| Duration::ZERO);
        let named = NamedTenants::default();
        let server: Rc<dyn Network> = fabric.host(SERVER);
        let target = Target { address: serve(&server, named.clone()), host: "server".to_string() };
        let profile = Profile {
            arrivals: Arrivals::Open(Spacing::Even, Rates::steady(100.0)),
            length: Duration::from_secs(2),
            platform: true,
            tenants,
            ..Profile::plain("/")
        };
        run(fabric.host(CLIENT), target, &profile, 5, Waiting::ByTimer, |_| {}).await;
        named.borrow().clone()
    })
}

#[test]
fn requests_name_every_tenant() {
    let expected = ["t0", "t1", "t2"].map(|name| Some(name.to_string()));
    assert_eq!(tenants_named_by_requests(3), BTreeSet::from(expected));
}

#[test]
fn requests_name_no_tenant_if_none_are_configured() {
    assert_eq!(tenants_named_by_requests(0), BTreeSet::from([None]));
}
