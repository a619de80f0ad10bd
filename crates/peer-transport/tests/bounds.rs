//! What a balancer says and holds at most while everything fails.

mod net;

use std::time::Duration;

use hollowpaddle_peer_transport::{
    Budget, ConfigError, Event, Held, How, Incarnation, MAX_MESSAGE_BYTES, NodeId, Wire,
};
use net::{Net, Weather, config, ms};

/// Everybody knows everybody.
fn acquainted(members: u16, seed: u64) -> Net {
    let mut net = Net::new(members, seed, Weather::default());
    // Hellos have a pace of their own: with 60 all of them at once take a second.
    for apart in 1..members {
        (0..members).for_each(|from| _ = net.say(from, (from + apart) % members, 8, How::Usual));
        net.run(ms(30));
    }
    net.run(ms(200));
    for (at, wire) in net.wires.iter().enumerate() {
        let known = wire
            .as_ref()
            .map_or(0, |w| (0..members).filter(|m| w.incarnation(NodeId(*m)).is_some()).count());
        assert_eq!(known, usize::from(members) - 1, "{at}");
    }
    net
}

/// Of no span of time is there more than one burst and the rate.
fn within(budget: &Budget, net: &Net, who: u16) {
    let (mut datagrams, mut bytes, mut worst) = (0.0, 0.0, [f64::MAX; 2]);
    for (at, .., length) in net.transmitted.iter().filter(|(_, from, ..)| from.0 == who) {
        let at = at.as_secs_f64();
        // The state before it; each pair of moments is compared by the lowest before.
        worst[0] = worst[0].min(datagrams - at * f64::from(budget.datagrams));
        worst[1] = worst[1].min(bytes - at * f64::from(budget.bytes));
        (datagrams, bytes) = (datagrams + 1.0, bytes + *length as f64);
        let most = [f64::from(budget.datagrams_burst), f64::from(budget.bytes_burst)];
        assert!(
            datagrams - at * f64::from(budget.datagrams) - worst[0] <= most[0] + 0.01,
            "at {at}"
        );
        assert!(bytes - at * f64::from(budget.bytes) - worst[1] <= most[1] + 0.3, "bytes at {at}");
    }
}

#[test]
fn the_budget_holds_in_every_span_whoever_is_silent_asks_for_all_or_restarts_all_the_time() {
    for seed in 0..12 {
        let mut net = acquainted(24, seed);
        net.weather = Weather { loss: 0.3, jitter_ms: 5, copies: 0.1, replays: 0.2, flips: 0.01 };
        for other in (1..24).map(NodeId) {
            // All silent: those known say nothing, and a new life of member 0 hears from nobody.
            if seed % 4 == 0 {
                net.cut.insert((other, NodeId(0)));
            }
        }
        let before = net.transmitted.len();
        for step in 0..300u64 {
            for other in 1..24u16 {
                let how = [How::Urgent, How::Usual, How::Bulk][usize::from(other) % 3];
                let length =
                    if (step + u64::from(other)) % 8 == 0 { MAX_MESSAGE_BYTES } else { 100 };
                net.say(0, other, length, how);
                // What they begin to hear is cut off in between: they ask for pieces, and ask again.
                if seed % 4 == 1 && net.chance.rand_range(0..10) == 0 {
                    let link = (NodeId(0), NodeId(other));
                    _ = net.cut.remove(&link) || net.cut.insert(link);
                }
                if seed % 4 >= 2 && net.chance.rand_range(0..20) == 0 {
                    net.restart(other);
                    net.say(other, 0, 30, How::Urgent);
                }
            }
            if seed % 4 == 0 && step == 150 {
                net.restart(0);
            }
            net.run(ms(10));
        }
        let went = net.transmitted[before..].iter().filter(|(_, from, ..)| from.0 == 0).count();
        assert!(went > 600, "seed {seed}: {went}");
        // A process that begins has a bucket of its own: of member 0 only whole lives are judged.
        if seed % 4 != 0 {
            within(&Budget::default(), &net, 0);
            assert!(net.counts(0).words.no_tokens > 0, "it was never dry");
            // And each of the words that it was to say met one end.
            net.run(Duration::from_secs(5));
            net.hand(NodeId(0), Event::Due);
            assert_eq!(net.ended_words(0), 23 + 300 * 23, "{:?}", net.counts(0).words);
        } else {
            let hellos = net.counts(0).sent.hellos;
            assert!(
                (100..=64 + 256 * 2).contains(&hellos),
                "{hellos} hellos in 1.5 s to 23 silent peers"
            );
        }
    }
}

#[test]
fn bulk_and_one_peer_s_flood_keep_neither_urgent_words_nor_other_peers_waiting() {
    let mut net = acquainted(4, 1);
    (0..40).for_each(|_| _ = net.say(0, 1, MAX_MESSAGE_BYTES, How::Bulk));
    (0..40).for_each(|_| _ = net.say(0, 1, MAX_MESSAGE_BYTES, How::Usual));
    net.run(ms(500));
    let start = net.now;
    let (urgent, other) = (net.say(0, 1, 100, How::Urgent), net.say(0, 2, 100, How::Usual));
    net.run(ms(100));
    let took = |message| net.delivered.get(&message).map(|at| *at - start);
    assert!(took(urgent).is_some_and(|took| took < ms(3)), "{:?}", took(urgent));
    assert!(took(other).is_some_and(|took| took < ms(5)), "{:?}", took(other));
    within(&Budget::default(), &net, 0);
}

#[test]
fn memory_stays_within_its_bounds_whatever_is_begun_and_never_ended() {
    let most = Held { incoming: 1 << 20, outgoing: 1 << 20, queued: 3 << 18, waiting: 1 << 19 };
    let mut net = acquainted(60, 2);
    net.weather.loss = 0.9;
    net.restart(59);
    let (mut worst, mut of_one) = (Held::default(), 0);
    for step in 0..200 {
        for other in 1..58 {
            net.say(other, 0, MAX_MESSAGE_BYTES, How::Usual);
        }
        for _ in 0..20 {
            net.say(0, step % 60, MAX_MESSAGE_BYTES, How::Bulk);
            net.say(59, step % 59, 2_000, How::Usual);
            net.say(
                58,
                57,
                MAX_MESSAGE_BYTES,
                [How::Urgent, How::Usual, How::Bulk][usize::from(step) % 3],
            );
        }
        net.run(ms(10));
        for wire in net.wires.iter().flatten() {
            let held = wire.held();
            worst.incoming = worst.incoming.max(held.incoming);
            worst.outgoing = worst.outgoing.max(held.outgoing);
            worst.queued = worst.queued.max(held.queued);
            worst.waiting = worst.waiting.max(held.waiting);
        }
        of_one = of_one.max(net.wires[57].as_ref().expect("up").held().incoming);
    }
    println!("worst {worst:?}, of one peer {of_one}");
    let reached = |held: usize, most: usize| held <= most && held > most / 2;
    assert!(
        reached(worst.incoming, most.incoming) && reached(worst.outgoing, most.outgoing),
        "{worst:?}"
    );
    assert!(
        reached(worst.queued, most.queued) && reached(worst.waiting, most.waiting),
        "{worst:?}"
    );
    assert!(reached(of_one, 64 << 10), "{of_one}");
    assert!(net.counts(0).delivered.pieces_given_up > 0);
    // And nothing of it stays: senders keep words for 4 s, and receivers what has begun.
    net.run(Duration::from_secs(9));
    for at in 0..60 {
        net.hand(NodeId(at), Event::Due);
        let held = net.wires[usize::from(at)].as_ref().expect("up").held();
        assert_eq!(held, Held::default(), "{at}");
    }
}

#[test]
fn hellos_to_three_hundred_silent_peers_stay_within_a_budget_of_their_own() {
    let (mut wire, mut now, mut actions) = (net::wire(0, 300, 1), Duration::ZERO, Vec::new());
    for step in 0..400u32 {
        now += ms(5);
        for to in (1..300).filter(|_| step.is_multiple_of(100)).map(NodeId) {
            let message = vec![0; 40];
            let send = Event::Send {
                to,
                channel: hollowpaddle_peer_transport::Channel::Log,
                message,
                how: How::Urgent,
            };
            wire.handle(now, send, &mut actions);
        }
        wire.handle(now, Event::Due, &mut actions);
    }
    let hellos = wire.counts().sent.hellos;
    assert!((400..=64 + 2 * 256).contains(&hellos), "{hellos} in 2 s");
    // No word waits any more: no hello goes.
    wire.handle(now + Duration::from_secs(2), Event::Due, &mut actions);
    assert_eq!((wire.counts().sent.hellos, wire.held()), (hellos, Held::default()));
}

#[test]
fn three_hundred_that_start_at_once_know_their_nine_neighbours_within_a_second_and_a_half() {
    let mut net = Net::new(300, 1, Weather { loss: 0.1, jitter_ms: 10, ..Weather::default() });
    let links: Vec<(u16, u16)> = (0..300)
        .flat_map(|from| [1, 2, 3, 5, 8, 30, 60, 90, 150].map(|d| (from, (from + d) % 300)))
        .collect();
    let open = |net: &Net| {
        let open = |(a, b): &&(u16, u16)| {
            net.wires[usize::from(*a)].as_ref().is_some_and(|w| w.incarnation(NodeId(*b)).is_some())
        };
        links.iter().filter(open).count()
    };
    let (mut half, mut all) = (None, None);
    for _ in 0..150 {
        if net.now.as_millis().is_multiple_of(100) {
            links.iter().for_each(|(from, to)| _ = net.say(*from, *to, 40, How::Urgent));
        }
        net.run(ms(10));
        half = half.or_else(|| (open(&net) * 2 >= links.len()).then_some(net.now));
        all = all.or_else(|| (open(&net) == links.len()).then_some(net.now));
    }
    let hellos = (0..300).map(|m| net.counts(m).sent.hellos).max();
    println!("half after {half:?}, all after {all:?}; hellos {hellos:?} at most");
    assert!(half.is_some_and(|at| at <= ms(100)) && all.is_some(), "{half:?}, {all:?}");
}

#[test]
fn a_wire_that_cant_be_is_an_error_that_says_why() {
    let not = |change: fn(&mut hollowpaddle_peer_transport::Config)| {
        let mut config = config(0, 3, 1);
        change(&mut config);
        Wire::new(config).err()
    };
    assert_eq!(not(|_| ()), None);
    assert!(matches!(not(|c| c.node_id = NodeId(3)), Some(ConfigError::Members { .. })));
    assert!(matches!(not(|c| c.members = 5_000), Some(ConfigError::Members { .. })));
    assert_eq!(not(|c| c.incarnation = Incarnation(0)), Some(ConfigError::Incarnation));
    assert!(matches!(not(|c| c.budget.bytes_burst = 256), Some(ConfigError::Budget { .. })));
}
