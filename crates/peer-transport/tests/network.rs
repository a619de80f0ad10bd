//! Messages over faulty networks between processes that restart: delivered at most once, complete, and only
//! from current incarnations.

mod net;

use std::time::Duration;

use hollowpaddle_peer_transport::{
    DeliveryMode, Event, MAX_MESSAGE_BYTES, MAX_UNFRAGMENTED_BYTES, NodeId,
};
use net::{Network, NetworkFaults, ms};

const MODES: [DeliveryMode; 3] = [DeliveryMode::Urgent, DeliveryMode::Normal, DeliveryMode::Bulk];

/// Simulates random traffic and restarts; [`Network`] checks each message that is delivered.
fn simulate(seed: u64, faults: NetworkFaults, restarts: u64) -> Network {
    let members = 5;
    let mut net = Network::new(members, seed, faults);
    for step in 0..400u64 {
        for _ in 0..3 {
            let mut sample = |n: u64| net.rng.rand_range(0..n);
            let (from, to, mode) = (sample(5) as u16, sample(5) as u16, MODES[sample(3) as usize]);
            let length = if sample(6) == 0 { 8 + sample(4_000) } else { 8 + sample(240) } as usize;
            net.send(from, to, length, mode);
        }
        if restarts > 0 && net.rng.rand_range(0..restarts) == 0 {
            let member = net.rng.rand_range(0..u64::from(members)) as u16;
            net.restart(member);
            // In every third step, two processes restart at once.
            if step % 3 == 0 {
                net.restart((member + 1) % members);
            }
        }
        net.run(ms(5));
    }
    net.run(Duration::from_secs(6));
    net
}

#[test]
fn delivers_messages_complete_at_most_once_and_only_from_the_current_incarnation() {
    check_seeds(0..60);
}

/// Run with `cargo test -p hollowpaddle-peer-transport --test network -- --ignored`.
#[test]
#[ignore = "43 s: 5,000 seeds"]
fn delivers_messages_as_guaranteed_for_five_thousand_more_seeds() {
    check_seeds(60..5_060);
}

fn check_seeds(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let loss = [0.0, 0.1, 0.3][seed as usize % 3];
        let faults = NetworkFaults { loss, copies: 0.1, flips: 0.05, replays: 0.3, jitter_ms: 30 };
        let net = simulate(seed, faults, 20);
        (0..5).for_each(|m| net.assert_each_datagram_is_counted_once(m));
        assert!(net.delivered.len() > 100, "seed {seed}: {}", net.delivered.len());
        let all = net.ended.iter().chain((0..5).map(|m| net.counts(m)));
        let (previous_incarnation, duplicates, corrupted) =
            all.fold((0, 0, 0), |(f, c, t), counts| {
                let d = &counts.dropped;
                (
                    f + d.previous_incarnation,
                    c + d.duplicate,
                    t + d.corrupted + d.unsupported_version,
                )
            });
        assert!(
            previous_incarnation > 20 && duplicates > 50 && corrupted > 10,
            "the run had too few faults: {previous_incarnation}, {duplicates}, {corrupted}"
        );
    }
}

#[test]
fn the_same_seed_sends_the_same_datagrams() {
    let faults =
        NetworkFaults { loss: 0.3, copies: 0.1, jitter_ms: 30, ..NetworkFaults::default() };
    let [one, other] = [simulate(7, faults, 20), simulate(7, faults, 20)];
    assert_eq!(one.transmitted, other.transmitted);
    assert_eq!(one.transports, other.transports);
    assert_ne!(one.transmitted, simulate(8, faults, 20).transmitted);
}

#[test]
fn lossless_links_deliver_everything_and_count_everything_once() {
    for seed in 0..5 {
        let net = simulate(seed, NetworkFaults { jitter_ms: 20, ..NetworkFaults::default() }, 0);
        let mut sent_messages = 0;
        for m in 0..5 {
            let counts = net.counts(m);
            let messages = &counts.messages;
            let lost = messages.too_long
                + messages.queue_full
                + messages.budget_timeout
                + messages.handshake_timeout
                + messages.previous_incarnation
                + messages.sequences_exhausted;
            assert_eq!(lost, 0, "{messages:?}");
            sent_messages += messages.sent;
            net.assert_each_datagram_is_counted_once(m);
            let memory = net.transports[usize::from(m)].as_ref().expect("up").memory_usage();
            assert_eq!((memory.queued, memory.waiting, memory.incoming), (0, 0, 0));
        }
        let no_such_peer: u64 = (0..5).map(|m| net.counts(m).messages.no_such_peer).sum();
        assert_eq!(
            (sent_messages, sent_messages + no_such_peer),
            (net.delivered.len() as u64, 1_200)
        );
    }
}

#[test]
fn long_messages_arrive_with_30_percent_loss_in_both_directions() {
    let (mut received, mut took, mut cost) = (0u32, Vec::new(), 0);
    for seed in 0..200 {
        let mut net = Network::new(
            2,
            seed,
            NetworkFaults { loss: 0.3, jitter_ms: 5, ..NetworkFaults::default() },
        );
        // The handshake completes with short messages.
        (0..20).for_each(|_| {
            net.send(0, 1, 20, DeliveryMode::Normal);
            net.run(ms(100));
        });
        let before = net.transmitted.len();
        let start = net.now;
        let id = net.send(0, 1, MAX_MESSAGE_BYTES, DeliveryMode::Normal);
        net.run(Duration::from_secs(5));
        cost += net.transmitted.len() - before;
        if let Some(at) = net.delivered.get(&id) {
            received += 1;
            took.push(*at - start);
        }
    }
    took.sort();
    let (median, slowest) = (took[took.len() / 2], took[took.len() - 1]);
    println!(
        "{received} of 200 messages of 89 fragments, in {median:?}, {slowest:?} at most; {} datagrams",
        cost / 200
    );
    assert!(received >= 199, "{received} of 200");
    assert!(
        cost / 200 < 160 && median < ms(600),
        "{} datagrams for 89 fragments, {median:?}",
        cost / 200
    );
}

#[test]
fn a_restarted_process_receives_nothing_sent_to_its_previous_incarnation() {
    // All datagrams for two incarnations of node 1 are replayed to the third, in many orders.
    let mut net = Network::new(2, 3, NetworkFaults { replays: 1e-9, ..NetworkFaults::default() });
    let mut replayed: Vec<Vec<u8>> = Vec::new();
    for _ in 0..2 {
        for _ in 0..10 {
            net.send(0, 1, 100, DeliveryMode::Normal);
            net.send(0, 1, 900, DeliveryMode::Normal);
            net.run(ms(50));
        }
        replayed.extend(net.every(NodeId(0), NodeId(1)));
        net.restart(1);
    }
    net.cut.insert((NodeId(0), NodeId(1)));
    net.cut.insert((NodeId(1), NodeId(0)));
    let delivered = net.delivered.len();
    for round in 0..20 {
        for i in 0..replayed.len() {
            let bytes = replayed[(i * 7 + round) % replayed.len()].clone();
            net.dispatch(NodeId(1), Event::Received { from: NodeId(0), bytes: &bytes });
            net.run(ms(1));
        }
    }
    let transport = net.transports[1].as_ref().expect("up");
    assert_eq!(
        (transport.incarnation(NodeId(0)), net.delivered.len()),
        (None, delivered),
        "a replayed response confirmed an incarnation"
    );
    assert!(
        transport.counts().received.stale_responses > 0
            && transport.counts().dropped.previous_incarnation > 0
    );
}

#[test]
fn two_peers_that_restart_at_once_reestablish_within_30_ms() {
    for seed in 0..50 {
        let mut net =
            Network::new(2, seed, NetworkFaults { jitter_ms: 3, ..NetworkFaults::default() });
        net.send(0, 1, 50, DeliveryMode::Normal);
        net.run(ms(50));
        net.restart(0);
        net.restart(1);
        let messages =
            [net.send(0, 1, 50, DeliveryMode::Normal), net.send(1, 0, 900, DeliveryMode::Normal)];
        net.run(ms(30));
        for message in messages {
            assert!(net.delivered.contains_key(&message), "seed {seed}");
        }
    }
}

#[test]
fn a_restarted_peer_that_sends_nothing_is_reached_again() {
    let mut net = Network::new(2, 1, NetworkFaults::default());
    net.send(0, 1, 50, DeliveryMode::Normal);
    net.run(ms(50));
    net.restart(1);
    net.send(0, 1, 50, DeliveryMode::Normal);
    net.run(ms(20));
    let message = net.send(0, 1, 50, DeliveryMode::Normal);
    net.run(ms(20));
    assert!(net.delivered.contains_key(&message));
}

#[test]
fn small_messages_share_a_datagram_and_framing_costs_at_most_24_bytes() {
    let mut net = Network::new(2, 1, NetworkFaults::default());
    net.send(0, 1, 8, DeliveryMode::Normal);
    net.run(ms(50));
    let cost = |net: &mut Network, lengths: &[usize]| {
        let before = net.transmitted.len();
        let ids: Vec<u64> =
            lengths.iter().map(|l| net.send(0, 1, *l, DeliveryMode::Normal)).collect();
        net.run(ms(50));
        assert!(ids.iter().all(|id| net.delivered.contains_key(id)));
        net.transmitted[before..].iter().map(|(.., bytes)| *bytes).collect::<Vec<_>>()
    };
    assert_eq!(cost(&mut net, &[200]), [223]);
    assert_eq!(cost(&mut net, &[MAX_UNFRAGMENTED_BYTES]), [256]);
    assert_eq!(cost(&mut net, &[20, 30, 40, 50]), [20 + 2 * 4 + 140]);
    assert_eq!(cost(&mut net, &[MAX_UNFRAGMENTED_BYTES + 1]), [256, 24 + 2]);
    let longest = cost(&mut net, &[MAX_MESSAGE_BYTES]);
    assert_eq!((longest.len(), longest.iter().sum::<usize>()), (89, MAX_MESSAGE_BYTES + 24 * 89));
}
