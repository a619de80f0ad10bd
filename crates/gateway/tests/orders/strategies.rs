//! Strategies that generate plans. Moments lie close to a few points in time, so that many events coincide, in any order of
//! turns.

use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use proptest::sample::select;

use crate::peers::*;

/// Generates a moment at most one millisecond from one of the points, and at any of several turns.
fn near(points: &'static [u64]) -> impl Strategy<Value = Timing> + Clone {
    (select(points), 0u64..3, 0u8..8)
        .prop_map(|(ms, offset, turns)| Timing { ms: (ms + offset).saturating_sub(1), turns })
}

fn settings() -> impl Strategy<Value = BalancerSettings> {
    let limits = (1usize..5, any::<bool>(), select(&[190u64, 300, 1150][..]));
    let times = (select(&[300u64, 400][..]), select(&[60u64, 260][..]), select(&[0u64, 1][..]));
    (limits, times).prop_map(|((max_attempts, hedging, window_ms), times)| {
        let (grace_ms, connect_ms, delay_ms) = times;
        let deadline_ms = 400;
        BalancerSettings {
            max_attempts,
            hedging,
            window_ms,
            grace_ms,
            connect_ms,
            deadline_ms,
            pushed: false,
            delay_ms,
        }
    })
}

/// Delays of events that cross with others, in milliseconds.
const DELAYS: &[u64] = &[0, 0, 50, 100];

fn behaviour() -> impl Strategy<Value = Behaviour> {
    let serves = (near(DELAYS), option::weighted(0.3, near(DELAYS)));
    prop_oneof![
        4 => serves.prop_map(|(second_half_delay, close_delay)| Behaviour::Serve { second_half_delay, close_delay }),
        2 => Just(Behaviour::Reject),
        1 => Just(Behaviour::Fail),
        2 => any::<bool>().prop_map(|after_half| Behaviour::Reset { after_half }),
        1 => Just(Behaviour::Hang),
    ]
}

fn upstream(delays: &'static [u64]) -> impl Strategy<Value = Upstream> {
    let connect_delays = vec(prop_oneof![8 => near(delays).prop_map(Some), 1 => Just(None)], 1..4);
    (0u32..2, vec((near(DELAYS), behaviour()), 1..5), connect_delays).prop_map(
        |(cell, behaviours, connect_delays)| Upstream { cell, behaviours, connect_delays },
    )
}

fn request() -> impl Strategy<Value = PlannedRequest> {
    let class = select(&[Class::Safe, Class::Keyed, Class::Unsafe][..]);
    (class, near(DELAYS), option::weighted(0.3, near(DELAYS))).prop_map(
        |(class, delay, last_byte_delay)| PlannedRequest {
            class,
            delay,
            pipelined: false,
            last_byte_delay,
        },
    )
}

fn client(connects_at: &'static [u64]) -> impl Strategy<Value = Client> {
    (near(connects_at), vec(request(), 1..4)).prop_map(|(connects_at, requests)| Client {
        connects_at,
        requests,
        disconnect: None,
    })
}

fn plan(
    upstreams: impl Strategy<Value = Vec<Upstream>>,
    clients: impl Strategy<Value = Vec<Client>>,
) -> impl Strategy<Value = Plan> {
    (settings(), upstreams, clients).prop_map(|(settings, upstreams, clients)| Plan {
        settings,
        upstreams,
        clients,
        discovery: Vec::new(),
        reload: None,
        stop: None,
    })
}

/// Generates plans of requests and upstreams with various behaviours.
pub fn attempts() -> impl Strategy<Value = Plan> {
    plan(vec(upstream(DELAYS), 1..4), vec(client(DELAYS), 1..5))
}

/// Generates plans of clients that disconnect while their requests are sent, queued, forwarded or answered. Some clients
/// pipeline requests.
pub fn disconnections() -> impl Strategy<Value = Plan> {
    let disconnect = (
        near(&[1, 50, 100, 150, 200, 250]),
        select(&[DisconnectKind::Close, DisconnectKind::Reset][..]),
    );
    let disconnecting = (client(&[0, 1, 50]), disconnect, vec(any::<bool>(), 3));
    let disconnecting = disconnecting.prop_map(|(mut client, disconnect, pipelined)| {
        client.disconnect = Some(disconnect);
        for (request, pipelined) in client.requests.iter_mut().skip(1).zip(pipelined) {
            request.pipelined = pipelined;
        }
        client
    });
    let clients = (vec(disconnecting, 1..4), vec(client(DELAYS), 0..2));
    let clients = clients.prop_map(|(a, b)| [a, b].concat());
    plan(vec(upstream(&[0, 50, 100, 200]), 1..3), clients)
}

/// Generates plans with a shutdown, and sometimes a reload, with requests in every state.
pub fn shutdowns() -> impl Strategy<Value = Plan> {
    let clients = vec(client(&[0, 1, 50, 100, 500, 550, 600]), 1..5);
    let stop_or_reload_at = || near(&[0, 1, 50, 100, 150, 200]);
    let plan = plan(vec(upstream(DELAYS), 1..4), clients);
    (plan, stop_or_reload_at(), option::weighted(0.3, stop_or_reload_at()))
        .prop_map(|(plan, stop, reload)| Plan { stop: Some(stop), reload, ..plan })
}

/// Generates plans with changes of the endpoint list, watches that end or become silent, and discovery outages and moves.
pub fn list_changes() -> impl Strategy<Value = Plan> {
    let upstreams = vec(upstream(&[0, 50, 100, 150, 250]), 2..4);
    let connects_at = &[0, 50, 50, 100, 100, 150, 300, 900, 1000, 1000, 2000, 6000, 7000, 8000];
    let clients = vec(client(connects_at), 4..8);
    let action = prop_oneof![
        4 => (0usize..3).prop_map(DiscoveryAction::Drain),
        2 => (0usize..3).prop_map(DiscoveryAction::Delete),
        1 => Just(DiscoveryAction::Silence),
        1 => Just(DiscoveryAction::CloseWatches),
        1 => select(&[100u64, 1000, 2500][..]).prop_map(DiscoveryAction::Outage),
    ];
    let actions = vec((near(&[50, 100, 150, 300, 900, 1000]), action), 2..6);
    let reload = option::weighted(0.3, near(&[50, 100, 150, 1000]));
    let options = (reload, any::<bool>());
    (plan(upstreams, clients), actions, options).prop_map(
        |(mut plan, mut actions, (reload, pushed))| {
            plan.settings.pushed = pushed;
            actions.sort_by_key(|(moment, _)| (moment.ms, moment.turns));
            let count = plan.upstreams.len();
            for (_, action) in &mut actions {
                if let DiscoveryAction::Drain(u) | DiscoveryAction::Delete(u) = action {
                    *u %= count;
                }
            }
            Plan { discovery: actions, reload, ..plan }
        },
    )
}
