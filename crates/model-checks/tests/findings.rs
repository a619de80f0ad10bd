//! What was found and is not mended yet: each fails, and is run by name until it doesn't. Then it loses its `#[ignore]`.

use std::collections::BTreeMap;
use std::time::Duration;

use hollowpaddle_model_checks::world::{Plan, World, ms};
use hollowpaddle_peer_transport::{
    Action, Budget, Channel, Config, DeliveryMode, Event, Incarnation, NodeId, Transport,
};

fn wire(node_id: u16, incarnation: u32) -> Transport {
    let config = Config {
        node_id: NodeId(node_id),
        members: 2,
        incarnation: Incarnation(incarnation),
        seed: 7,
        budget: Budget::default(),
    };
    Transport::new(config).expect("a wire of two")
}

/// Two wires, a word every 25 ms each way. The second begins anew at 2 s; until 5 s the link carries nothing to the first.
/// When both know each other's lives again.
fn known_again(words: Duration) -> Option<Duration> {
    let mut wires = [wire(0, 1), wire(1, 2)];
    let mut due: [Option<Duration>; 2] = [None; 2];
    let mut under_way: BTreeMap<(Duration, u64), (usize, Vec<u8>)> = BTreeMap::new();
    let (mut count, mut born) = (0, Duration::ZERO);
    let mut now = Duration::ZERO;
    while now < ms(40_000) {
        now += ms(1);
        if now == ms(2000) {
            (wires[1], due[1], born) = (wire(1, 3), None, now);
        }
        let mut came: Vec<(usize, Option<Vec<u8>>)> = Vec::new();
        while let Some(first) = under_way.first_entry().filter(|e| e.key().0 <= now) {
            let (to, bytes) = first.remove();
            came.push((to, Some(bytes)));
        }
        came.extend((0..2).filter(|at| due[*at].is_some_and(|d| d <= now)).map(|at| (at, None)));
        let says = now.as_millis().is_multiple_of(words.as_millis());
        for at in 0..2 {
            let clock = if at == 1 { now - born } else { now };
            let mut actions = Vec::new();
            if says {
                let (to, channel) = (NodeId(1 - at as u16), Channel::Consensus);
                let event =
                    Event::Send { to, channel, message: vec![1; 50], mode: DeliveryMode::Urgent };
                wires[at].handle(clock, event, &mut actions);
            }
            for (_, bytes) in came.iter().filter(|c| c.0 == at) {
                let event = match bytes {
                    Some(bytes) => Event::Received { from: NodeId(1 - at as u16), bytes },
                    None => Event::Due,
                };
                due[at] = if bytes.is_none() { None } else { due[at] };
                wires[at].handle(clock, event, &mut actions);
            }
            for action in actions {
                match action {
                    Action::Transmit { bytes, .. } => {
                        count += 1;
                        let lost = at == 1 && (ms(2000)..ms(5000)).contains(&now);
                        if !lost {
                            under_way.insert((now + ms(8), count), (1 - at, bytes));
                        }
                    }
                    Action::WakeAt(when) => {
                        due[at] = Some(when + if at == 1 { born } else { ms(0) })
                    }
                    Action::PeerRestarted { .. } | Action::Deliver { .. } => {}
                }
            }
        }
        if now > ms(5000) && wires[0].incarnation(NodeId(1)) == Some(Incarnation(3)) {
            return Some(now - ms(5000));
        }
    }
    None
}

#[test]
#[ignore = "fails: a hello's answer has no token left while words to a former life take them all; run by name"]
fn a_peer_that_began_anew_is_known_soon_after_the_link_is_whole() {
    let quiet = known_again(ms(500));
    assert!(quiet.is_some_and(|t| t < ms(1000)), "with two words a second: {quiet:?}");
    let busy = known_again(ms(25));
    assert!(busy.is_some_and(|t| t < ms(1000)), "with forty words a second: {busy:?}");
}

#[test]
#[ignore = "fails: a moment that was asked for and has come is not asked for again if it is the same; run by name"]
fn a_machine_always_asks_to_be_woken() {
    let mut world = World::new(Plan::whole(3, 36));
    world.run(Duration::from_secs(20));
    assert_eq!(world.without_timer, 0);
}

#[test]
#[ignore = "fails: a guest of a full parent gets the log and no lease, and nobody sends it elsewhere; run by name"]
fn everybody_holds_a_lease_with_a_tenth_lost() {
    let mut world = World::new(Plan { loss: 0.1, ..Plan::whole(1, 300) });
    world.look_every = ms(50);
    world.run(Duration::from_secs(15));
    let mut least = 300;
    for _ in 0..20 {
        world.run(ms(500));
        least = least.min(hollowpaddle_model_checks::figures::share_leased(&world));
    }
    assert!(least >= 297, "{least} of 300 hold a lease in the worst moment of 10 s");
}
