//! Bounds on sending and on memory under faults of the network and of processes.

mod net;

use std::time::Duration;

use hollowpaddle_peer_transport::{
    Budget, ConfigError, DeliveryMode, Event, Incarnation, MAX_MESSAGE_BYTES, MemoryUsage, NodeId,
    Transport,
};
use net::{Network, NetworkFaults, config, ms};

/// Returns a network in which every pair of nodes has completed the handshake.
fn established_network(members: u16, seed: u64) -> Network {
    let mut net = Network::new(members, seed, NetworkFaults::default());
    // Handshakes have a separate budget: the handshakes of 60 nodes take a second.
    for apart in 1..members {
        (0..members)
            .for_each(|from| _ = net.send(from, (from + apart) % members, 8, DeliveryMode::Normal));
        net.run(ms(30));
    }
    net.run(ms(200));
    for (at, transport) in net.transports.iter().enumerate() {
        let known = transport
            .as_ref()
            .map_or(0, |w| (0..members).filter(|m| w.incarnation(NodeId(*m)).is_some()).count());
        assert_eq!(known, usize::from(members) - 1, "{at}");
    }
    net
}

/// Asserts that in no span of time a node sends more than the rate and one burst allow.
fn assert_within_budget(budget: &Budget, net: &Network, sender: u16) {
    let (mut datagrams, mut bytes, mut worst) = (0.0, 0.0, [f64::MAX; 2]);
    for (at, .., length) in net.transmitted.iter().filter(|(_, from, ..)| from.0 == sender) {
        let at = at.as_secs_f64();
        // Comparing with the lowest value before this datagram covers each pair of times.
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
fn budget_holds_in_every_span_under_silence_retransmission_requests_and_restarts() {
    for seed in 0..12 {
        let mut net = established_network(24, seed);
        net.faults =
            NetworkFaults { loss: 0.3, jitter_ms: 5, copies: 0.1, replays: 0.2, flips: 0.01 };
        for other in (1..24).map(NodeId) {
            // All peers are silent: node 0 receives nothing from confirmed peers, nor does its next incarnation
            // receive anything.
            if seed % 4 == 0 {
                net.cut.insert((other, NodeId(0)));
            }
        }
        let before = net.transmitted.len();
        for step in 0..300u64 {
            for other in 1..24u16 {
                let mode = [DeliveryMode::Urgent, DeliveryMode::Normal, DeliveryMode::Bulk]
                    [usize::from(other) % 3];
                let length =
                    if (step + u64::from(other)) % 8 == 0 { MAX_MESSAGE_BYTES } else { 100 };
                net.send(0, other, length, mode);
                // Links are cut while messages are sent, so that peers request fragments repeatedly.
                if seed % 4 == 1 && net.rng.rand_range(0..10) == 0 {
                    let link = (NodeId(0), NodeId(other));
                    _ = net.cut.remove(&link) || net.cut.insert(link);
                }
                if seed % 4 >= 2 && net.rng.rand_range(0..20) == 0 {
                    net.restart(other);
                    net.send(other, 0, 30, DeliveryMode::Urgent);
                }
            }
            if seed % 4 == 0 && step == 150 {
                net.restart(0);
            }
            net.run(ms(10));
        }
        let datagrams =
            net.transmitted[before..].iter().filter(|(_, from, ..)| from.0 == 0).count();
        assert!(datagrams > 600, "seed {seed}: {datagrams}");
        // A new process has a full bucket, so node 0 is checked only if it did not restart.
        if seed % 4 != 0 {
            assert_within_budget(&Budget::default(), &net, 0);
            assert!(net.counts(0).messages.budget_timeout > 0, "the bucket was never empty");
            // Each message of node 0 has one outcome.
            net.run(Duration::from_secs(5));
            net.dispatch(NodeId(0), Event::Due);
            assert_eq!(net.finished_messages(0), 23 + 300 * 23, "{:?}", net.counts(0).messages);
        } else {
            let handshakes = net.counts(0).sent.handshakes;
            assert!(
                (100..=64 + 256 * 2).contains(&handshakes),
                "{handshakes} handshakes in 1.5 s to 23 silent peers"
            );
        }
    }
}

#[test]
fn bulk_traffic_and_one_busy_peer_delay_neither_urgent_messages_nor_other_peers() {
    let mut net = established_network(4, 1);
    (0..40).for_each(|_| _ = net.send(0, 1, MAX_MESSAGE_BYTES, DeliveryMode::Bulk));
    (0..40).for_each(|_| _ = net.send(0, 1, MAX_MESSAGE_BYTES, DeliveryMode::Normal));
    net.run(ms(500));
    let start = net.now;
    let (urgent, other) =
        (net.send(0, 1, 100, DeliveryMode::Urgent), net.send(0, 2, 100, DeliveryMode::Normal));
    net.run(ms(100));
    let took = |message| net.delivered.get(&message).map(|at| *at - start);
    assert!(took(urgent).is_some_and(|took| took < ms(3)), "{:?}", took(urgent));
    assert!(took(other).is_some_and(|took| took < ms(5)), "{:?}", took(other));
    assert_within_budget(&Budget::default(), &net, 0);
}

#[test]
fn memory_stays_bounded_when_messages_are_never_completed() {
    let most =
        MemoryUsage { incoming: 1 << 20, outgoing: 1 << 20, queued: 3 << 18, waiting: 1 << 19 };
    let mut net = established_network(60, 2);
    net.faults.loss = 0.9;
    net.restart(59);
    let (mut worst, mut of_one) = (MemoryUsage::default(), 0);
    for step in 0..200 {
        for other in 1..58 {
            net.send(other, 0, MAX_MESSAGE_BYTES, DeliveryMode::Normal);
        }
        for _ in 0..20 {
            net.send(0, step % 60, MAX_MESSAGE_BYTES, DeliveryMode::Bulk);
            net.send(59, step % 59, 2_000, DeliveryMode::Normal);
            net.send(
                58,
                57,
                MAX_MESSAGE_BYTES,
                [DeliveryMode::Urgent, DeliveryMode::Normal, DeliveryMode::Bulk]
                    [usize::from(step) % 3],
            );
        }
        net.run(ms(10));
        for transport in net.transports.iter().flatten() {
            let memory = transport.memory_usage();
            worst.incoming = worst.incoming.max(memory.incoming);
            worst.outgoing = worst.outgoing.max(memory.outgoing);
            worst.queued = worst.queued.max(memory.queued);
            worst.waiting = worst.waiting.max(memory.waiting);
        }
        of_one = of_one.max(net.transports[57].as_ref().expect("up").memory_usage().incoming);
    }
    println!("worst {worst:?}, of one peer {of_one}");
    let reached = |memory: usize, most: usize| memory <= most && memory > most / 2;
    assert!(
        reached(worst.incoming, most.incoming) && reached(worst.outgoing, most.outgoing),
        "{worst:?}"
    );
    assert!(
        reached(worst.queued, most.queued) && reached(worst.waiting, most.waiting),
        "{worst:?}"
    );
    assert!(reached(of_one, 64 << 10), "{of_one}");
    assert!(net.counts(0).delivered.abandoned > 0);
    // All memory is released: senders retain messages for 4 s, and receivers retain incomplete messages as long.
    net.run(Duration::from_secs(9));
    for at in 0..60 {
        net.dispatch(NodeId(at), Event::Due);
        let memory = net.transports[usize::from(at)].as_ref().expect("up").memory_usage();
        assert_eq!(memory, MemoryUsage::default(), "{at}");
    }
}

#[test]
fn handshakes_to_300_silent_peers_stay_within_their_own_budget() {
    let (mut transport, mut now, mut actions) =
        (net::transport(0, 300, 1), Duration::ZERO, Vec::new());
    for step in 0..400u32 {
        now += ms(5);
        for to in (1..300).filter(|_| step.is_multiple_of(100)).map(NodeId) {
            let message = vec![0; 40];
            let send = Event::Send {
                to,
                channel: hollowpaddle_peer_transport::Channel::Log,
                message,
                mode: DeliveryMode::Urgent,
            };
            transport.handle(now, send, &mut actions);
        }
        transport.handle(now, Event::Due, &mut actions);
    }
    let handshakes = transport.counts().sent.handshakes;
    assert!((400..=64 + 2 * 256).contains(&handshakes), "{handshakes} in 2 s");
    // Once no message waits, no handshake is sent.
    transport.handle(now + Duration::from_secs(2), Event::Due, &mut actions);
    assert_eq!(
        (transport.counts().sent.handshakes, transport.memory_usage()),
        (handshakes, MemoryUsage::default())
    );
}

#[test]
fn three_hundred_nodes_that_start_at_once_know_their_nine_neighbours_within_1500_ms() {
    let mut net = Network::new(
        300,
        1,
        NetworkFaults { loss: 0.1, jitter_ms: 10, ..NetworkFaults::default() },
    );
    let links: Vec<(u16, u16)> = (0..300)
        .flat_map(|from| [1, 2, 3, 5, 8, 30, 60, 90, 150].map(|d| (from, (from + d) % 300)))
        .collect();
    let open = |net: &Network| {
        let open = |(a, b): &&(u16, u16)| {
            net.transports[usize::from(*a)]
                .as_ref()
                .is_some_and(|w| w.incarnation(NodeId(*b)).is_some())
        };
        links.iter().filter(open).count()
    };
    let (mut half, mut all) = (None, None);
    for _ in 0..150 {
        if net.now.as_millis().is_multiple_of(100) {
            links.iter().for_each(|(from, to)| _ = net.send(*from, *to, 40, DeliveryMode::Urgent));
        }
        net.run(ms(10));
        half = half.or_else(|| (open(&net) * 2 >= links.len()).then_some(net.now));
        all = all.or_else(|| (open(&net) == links.len()).then_some(net.now));
    }
    let handshakes = (0..300).map(|m| net.counts(m).sent.handshakes).max();
    println!("half after {half:?}, all after {all:?}; handshakes {handshakes:?} at most");
    assert!(half.is_some_and(|at| at <= ms(100)) && all.is_some(), "{half:?}, {all:?}");
}

#[test]
fn invalid_configurations_are_rejected_with_their_cause() {
    let error_after = |change: fn(&mut hollowpaddle_peer_transport::Config)| {
        let mut config = config(0, 3, 1);
        change(&mut config);
        Transport::new(config).err()
    };
    assert_eq!(error_after(|_| ()), None);
    assert!(matches!(error_after(|c| c.node_id = NodeId(3)), Some(ConfigError::Members { .. })));
    assert!(matches!(error_after(|c| c.members = 5_000), Some(ConfigError::Members { .. })));
    assert_eq!(error_after(|c| c.incarnation = Incarnation(0)), Some(ConfigError::Incarnation));
    assert!(matches!(
        error_after(|c| c.budget.bytes_burst = 256),
        Some(ConfigError::Budget { .. })
    ));
}
