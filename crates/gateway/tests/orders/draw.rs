//! Plans to be drawn. Moments lie close to few points, so that much falls into one instant, in any order of turns.

use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use proptest::sample::select;

use crate::peers::*;

/// A moment at, right before or right behind one of these.
fn near(points: &'static [u64]) -> impl Strategy<Value = When> + Clone {
    (select(points), 0u64..3, 0u8..8)
        .prop_map(|(ms, by, turns)| When { ms: (ms + by).saturating_sub(1), turns })
}

fn site() -> impl Strategy<Value = Site> {
    let figures = (1usize..5, any::<bool>(), select(&[190u64, 300, 1150][..]));
    let times = (select(&[300u64, 400][..]), select(&[60u64, 260][..]), select(&[0u64, 1][..]));
    (figures, times).prop_map(|((max_attempts, hedging, window_ms), times)| {
        let (grace_ms, connect_ms, delay_ms) = times;
        let deadline_ms = 400;
        Site {
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

/// How late things are that cross with others.
const LATE: &[u64] = &[0, 0, 50, 100];

fn does() -> impl Strategy<Value = Does> {
    let serves = (near(LATE), option::weighted(0.3, near(LATE)));
    prop_oneof![
        4 => serves.prop_map(|(rest, closes)| Does::Serves { rest, closes }),
        2 => Just(Does::TurnsAway),
        1 => Just(Does::Errs),
        2 => any::<bool>().prop_map(|half| Does::Breaks { half }),
        1 => Just(Does::Hangs),
    ]
}

fn upstream(late: &'static [u64]) -> impl Strategy<Value = Upstream> {
    let connects = vec(prop_oneof![8 => near(late).prop_map(Some), 1 => Just(None)], 1..4);
    (0u32..2, vec((near(LATE), does()), 1..5), connects)
        .prop_map(|(cell, does, connects)| Upstream { cell, does, connects })
}

fn ask() -> impl Strategy<Value = Ask> {
    let class = select(&[Class::Safe, Class::Keyed, Class::Unsafe][..]);
    (class, near(LATE), option::weighted(0.3, near(LATE)))
        .prop_map(|(class, pause, last_byte)| Ask { class, pause, behind: false, last_byte })
}

fn client(comes: &'static [u64]) -> impl Strategy<Value = Client> {
    (near(comes), vec(ask(), 1..4)).prop_map(|(comes, asks)| Client { comes, asks, leaves: None })
}

fn plan(
    upstreams: impl Strategy<Value = Vec<Upstream>>,
    clients: impl Strategy<Value = Vec<Client>>,
) -> impl Strategy<Value = Plan> {
    (site(), upstreams, clients).prop_map(|(site, upstreams, clients)| Plan {
        site,
        upstreams,
        clients,
        discovery: Vec::new(),
        reload: None,
        stop: None,
    })
}

/// Requests and what their upstreams make of them.
pub fn attempts() -> impl Strategy<Value = Plan> {
    plan(vec(upstream(LATE), 1..4), vec(client(LATE), 1..5))
}

/// Clients that leave while their requests come, wait, are on their way, or are answered; some have sent more behind.
pub fn leaving() -> impl Strategy<Value = Plan> {
    let leaves = (near(&[1, 50, 100, 150, 200, 250]), select(&[Way::Close, Way::Reset][..]));
    let leaver = (client(&[0, 1, 50]), leaves, vec(any::<bool>(), 3));
    let leaver = leaver.prop_map(|(mut client, leaves, behind)| {
        client.leaves = Some(leaves);
        for (ask, behind) in client.asks.iter_mut().skip(1).zip(behind) {
            ask.behind = behind;
        }
        client
    });
    let clients = (vec(leaver, 1..4), vec(client(LATE), 0..2));
    let clients = clients.prop_map(|(a, b)| [a, b].concat());
    plan(vec(upstream(&[0, 50, 100, 200]), 1..3), clients)
}

/// A stop, and perhaps a reload, with requests in every state.
pub fn stopping() -> impl Strategy<Value = Plan> {
    let clients = vec(client(&[0, 1, 50, 100, 500, 550, 600]), 1..5);
    let when = || near(&[0, 1, 50, 100, 150, 200]);
    let plan = plan(vec(upstream(LATE), 1..4), clients);
    (plan, when(), option::weighted(0.3, when())).prop_map(|(plan, stop, reload)| Plan {
        stop: Some(stop),
        reload,
        ..plan
    })
}

/// The list's word, watches that end or fall silent, a discovery that is down or moves.
pub fn lists() -> impl Strategy<Value = Plan> {
    let upstreams = vec(upstream(&[0, 50, 100, 150, 250]), 2..4);
    let comes = &[0, 50, 50, 100, 100, 150, 300, 900, 1000, 1000, 2000, 6000, 7000, 8000];
    let clients = vec(client(comes), 4..8);
    let act = prop_oneof![
        4 => (0usize..3).prop_map(Act::Drains),
        2 => (0usize..3).prop_map(Act::Deleted),
        1 => Just(Act::Silent),
        1 => Just(Act::EndsWatches),
        1 => select(&[100u64, 1000, 2500][..]).prop_map(Act::Down),
    ];
    let acts = vec((near(&[50, 100, 150, 300, 900, 1000]), act), 2..6);
    let reload = option::weighted(0.3, near(&[50, 100, 150, 1000]));
    let how = (reload, any::<bool>());
    (plan(upstreams, clients), acts, how).prop_map(|(mut plan, mut acts, (reload, pushed))| {
        plan.site.pushed = pushed;
        acts.sort_by_key(|(when, _)| (when.ms, when.turns));
        let known = plan.upstreams.len();
        for (_, act) in &mut acts {
            if let Act::Drains(u) | Act::Deleted(u) = act {
                *u %= known;
            }
        }
        Plan { discovery: acts, reload, ..plan }
    })
}
