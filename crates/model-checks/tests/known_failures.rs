//! Tests of known faults that are not fixed yet. Each test fails, and is run by name until its fault is fixed; then it
//! loses its `#[ignore]`.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowpaddle_model_checks::simulated_cluster::{SimulatedCluster, SimulationConfig, ms};
use hollowpaddle_peer_transport::{
    Action, Budget, Channel, Config, DeliveryMode, Event, Incarnation, NodeId, Transport,
};

fn transport(node_id: u16, incarnation: u32) -> Transport {
    let config = Config {
        node_id: NodeId(node_id),
        members: 2,
        incarnation: Incarnation(incarnation),
        seed: 7,
        budget: Budget::default(),
    };
    Transport::new(config).expect("a transport of two nodes")
}

/// Simulates two transports that send each other a message at this interval, such as 25 ms. The second one restarts at
/// 2 s; until 5 s the link delivers nothing to the first. Returns the time from then until the first one knows the
/// second one's new incarnation.
fn time_until_known_again(message_interval: Duration) -> Option<Duration> {
    let mut transports = [transport(0, 1), transport(1, 2)];
    let mut timers: [Option<Duration>; 2] = [None; 2];
    let mut in_flight: BTreeMap<(Duration, u64), (usize, Vec<u8>)> = BTreeMap::new();
    let (mut sent_count, mut restarted_at) = (0, Duration::ZERO);
    let mut now = Duration::ZERO;
    while now < ms(40_000) {
        now += ms(1);
        if now == ms(2000) {
            (transports[1], timers[1], restarted_at) = (transport(1, 3), None, now);
        }
        let mut received: Vec<(usize, Option<Vec<u8>>)> = Vec::new();
        while let Some(earliest) = in_flight.first_entry().filter(|entry| entry.key().0 <= now) {
            let (to, bytes) = earliest.remove();
            received.push((to, Some(bytes)));
        }
        received.extend(
            (0..2)
                .filter(|index| timers[*index].is_some_and(|time| time <= now))
                .map(|index| (index, None)),
        );
        let sends_now = now.as_millis().is_multiple_of(message_interval.as_millis());
        for index in 0..2 {
            let clock = if index == 1 { now - restarted_at } else { now };
            let mut actions = Vec::new();
            if sends_now {
                let (to, channel) = (NodeId(1 - index as u16), Channel::Consensus);
                let event =
                    Event::Send { to, channel, message: vec![1; 50], mode: DeliveryMode::Urgent };
                transports[index].handle(clock, event, &mut actions);
            }
            for (_, bytes) in received.iter().filter(|c| c.0 == index) {
                let event = match bytes {
                    Some(bytes) => Event::Received { from: NodeId(1 - index as u16), bytes },
                    None => Event::Due,
                };
                timers[index] = if bytes.is_none() { None } else { timers[index] };
                transports[index].handle(clock, event, &mut actions);
            }
            for action in actions {
                match action {
                    Action::Transmit { bytes, .. } => {
                        sent_count += 1;
                        let lost = index == 1 && (ms(2000)..ms(5000)).contains(&now);
                        if !lost {
                            in_flight.insert((now + ms(8), sent_count), (1 - index, bytes));
                        }
                    }
                    Action::WakeAt(wake_at) => {
                        timers[index] =
                            Some(wake_at + if index == 1 { restarted_at } else { ms(0) })
                    }
                    Action::PeerRestarted { .. } | Action::Deliver { .. } => {}
                }
            }
        }
        if now > ms(5000) && transports[0].incarnation(NodeId(1)) == Some(Incarnation(3)) {
            return Some(now - ms(5000));
        }
    }
    None
}

#[test]
#[ignore = "fails: no token is left for the response to a handshake while messages to the previous incarnation take all; run by name"]
fn knows_a_restarted_peer_soon_after_the_link_is_restored() {
    let with_few_messages = time_until_known_again(ms(500));
    assert!(
        with_few_messages.is_some_and(|t| t < ms(1000)),
        "two messages a second: {with_few_messages:?}"
    );
    let with_many_messages = time_until_known_again(ms(25));
    assert!(
        with_many_messages.is_some_and(|t| t < ms(1000)),
        "forty messages a second: {with_many_messages:?}"
    );
}

#[test]
#[ignore = "fails: a timer that has fired is not requested again if the new deadline is the same; run by name"]
fn a_machine_always_has_a_timer() {
    let mut cluster = SimulatedCluster::new(SimulationConfig::without_faults(3, 36));
    cluster.run_for(Duration::from_secs(20));
    assert_eq!(cluster.events_without_timer, 0);
}

#[test]
#[ignore = "fails: a node whose parent is full gets the log but no lease, and is not redirected to another parent; run by name"]
fn nodes_hold_leases_with_ten_percent_datagram_loss() {
    let mut cluster = SimulatedCluster::new(SimulationConfig {
        loss: 0.1,
        ..SimulationConfig::without_faults(1, 300)
    });
    cluster.check_interval = ms(50);
    cluster.run_for(Duration::from_secs(15));
    let mut lowest_count = 300;
    for _ in 0..20 {
        cluster.run_for(ms(500));
        lowest_count = lowest_count.min(hollowpaddle_model_checks::figures::count_leased(&cluster));
    }
    assert!(lowest_count >= 297, "{lowest_count} of 300 hold a lease at the worst moment of 10 s");
}
