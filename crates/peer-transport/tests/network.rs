//! Words over bad networks between processes that end: at most once, whole, and of lives that are there.

mod net;

use std::time::Duration;

use hollowpaddle_peer_transport::{Event, How, MAX_MESSAGE_BYTES, NodeId, ONE_DATAGRAM};
use net::{Net, Weather, ms};

const HOWS: [How; 3] = [How::Urgent, How::Usual, How::Bulk];

/// A day of chance: the judge in [`Net`] looks at each word that is handed over.
fn day(seed: u64, weather: Weather, restarts: u64) -> Net {
    let members = 5;
    let mut net = Net::new(members, seed, weather);
    for step in 0..400u64 {
        for _ in 0..3 {
            let mut draw = |n: u64| net.chance.rand_range(0..n);
            let (from, to, how) = (draw(5) as u16, draw(5) as u16, HOWS[draw(3) as usize]);
            let length = if draw(6) == 0 { 8 + draw(4_000) } else { 8 + draw(240) } as usize;
            net.say(from, to, length, how);
        }
        if restarts > 0 && net.chance.rand_range(0..restarts) == 0 {
            let who = net.chance.rand_range(0..u64::from(members)) as u16;
            net.restart(who);
            // Two ends at once, each third time.
            if step % 3 == 0 {
                net.restart((who + 1) % members);
            }
        }
        net.run(ms(5));
    }
    net.run(Duration::from_secs(6));
    net
}

#[test]
fn a_word_comes_whole_at_most_once_and_only_from_the_life_that_is_there() {
    judge(0..60);
}

/// By hand: `cargo test -p hollowpaddle-peer-transport --test network -- --ignored`. The last run found nothing.
#[test]
#[ignore = "43 s: 5,000 days"]
fn and_so_it_is_on_five_thousand_more_days() {
    judge(60..5_060);
}

fn judge(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let loss = [0.0, 0.1, 0.3][seed as usize % 3];
        let weather = Weather { loss, copies: 0.1, flips: 0.05, replays: 0.3, jitter_ms: 30 };
        let net = day(seed, weather, 20);
        (0..5).for_each(|m| net.each_is_counted_once(m));
        assert!(net.delivered.len() > 100, "seed {seed}: {}", net.delivered.len());
        let all = net.ended.iter().chain((0..5).map(|m| net.counts(m)));
        let (former, copies, torn) = all.fold((0, 0, 0), |(f, c, t), counts| {
            let d = &counts.dropped;
            (f + d.previous_incarnation, c + d.copy, t + d.torn + d.version)
        });
        assert!(
            former > 20 && copies > 50 && torn > 10,
            "the day was too easy: {former}, {copies}, {torn}"
        );
    }
}

#[test]
fn the_same_seed_sends_the_same_datagrams() {
    let weather = Weather { loss: 0.3, copies: 0.1, jitter_ms: 30, ..Weather::default() };
    let [one, other] = [day(7, weather, 20), day(7, weather, 20)];
    assert_eq!(one.transmitted, other.transmitted);
    assert_eq!(one.wires, other.wires);
    assert_ne!(one.transmitted, day(8, weather, 20).transmitted);
}

#[test]
fn whole_links_lose_nothing_and_every_word_and_datagram_is_counted_once() {
    for seed in 0..5 {
        let net = day(seed, Weather { jitter_ms: 20, ..Weather::default() }, 0);
        let mut said = 0;
        for m in 0..5 {
            let counts = net.counts(m);
            let w = &counts.words;
            let lost = w.too_long
                + w.no_room
                + w.no_tokens
                + w.waited_in_vain
                + w.previous_incarnation
                + w.used_up;
            assert_eq!(lost, 0, "{w:?}");
            said += w.said;
            net.each_is_counted_once(m);
            let held = net.wires[usize::from(m)].as_ref().expect("up").held();
            assert_eq!((held.queued, held.waiting, held.incoming), (0, 0, 0));
        }
        let nowhere: u64 = (0..5).map(|m| net.counts(m).words.nowhere).sum();
        assert_eq!((said, said + nowhere), (net.delivered.len() as u64, 1_200));
    }
}

#[test]
fn long_words_arrive_with_30_percent_lost_either_way() {
    let (mut came, mut took, mut cost) = (0u32, Vec::new(), 0);
    for seed in 0..200 {
        let mut net = Net::new(2, seed, Weather { loss: 0.3, jitter_ms: 5, ..Weather::default() });
        // Words that one datagram holds make the two known to each other.
        (0..20).for_each(|_| {
            net.say(0, 1, 20, How::Usual);
            net.run(ms(100));
        });
        let before = net.transmitted.len();
        let start = net.now;
        let id = net.say(0, 1, MAX_MESSAGE_BYTES, How::Usual);
        net.run(Duration::from_secs(5));
        cost += net.transmitted.len() - before;
        if let Some(at) = net.delivered.get(&id) {
            came += 1;
            took.push(*at - start);
        }
    }
    took.sort();
    let (median, slowest) = (took[took.len() / 2], took[took.len() - 1]);
    println!(
        "{came} of 200 words of 89 pieces, in {median:?}, {slowest:?} at most; {} datagrams",
        cost / 200
    );
    assert!(came >= 199, "{came} of 200");
    assert!(
        cost / 200 < 160 && median < ms(600),
        "{} datagrams for 89 pieces, {median:?}",
        cost / 200
    );
}

#[test]
fn a_process_hears_nothing_that_was_said_to_the_one_before_however_late() {
    // All that two lives of member 1 ever received comes once more to the third, in many orders.
    let mut net = Net::new(2, 3, Weather { replays: 1e-9, ..Weather::default() });
    let mut heard: Vec<Vec<u8>> = Vec::new();
    for _ in 0..2 {
        for _ in 0..10 {
            net.say(0, 1, 100, How::Usual);
            net.say(0, 1, 900, How::Usual);
            net.run(ms(50));
        }
        heard.extend(net.every(NodeId(0), NodeId(1)));
        net.restart(1);
    }
    net.cut.insert((NodeId(0), NodeId(1)));
    net.cut.insert((NodeId(1), NodeId(0)));
    let delivered = net.delivered.len();
    for round in 0..20 {
        for i in 0..heard.len() {
            let bytes = heard[(i * 7 + round) % heard.len()].clone();
            net.hand(NodeId(1), Event::Received { from: NodeId(0), bytes: &bytes });
            net.run(ms(1));
        }
    }
    let wire = net.wires[1].as_ref().expect("up");
    assert_eq!(
        (wire.incarnation(NodeId(0)), net.delivered.len()),
        (None, delivered),
        "a nonce was replayed"
    );
    assert!(wire.counts().heard.stale_nonces > 0 && wire.counts().dropped.previous_incarnation > 0);
}

#[test]
fn two_ends_that_restart_at_once_know_each_other_again_at_once() {
    for seed in 0..50 {
        let mut net = Net::new(2, seed, Weather { jitter_ms: 3, ..Weather::default() });
        net.say(0, 1, 50, How::Usual);
        net.run(ms(50));
        net.restart(0);
        net.restart(1);
        let words = [net.say(0, 1, 50, How::Usual), net.say(1, 0, 900, How::Usual)];
        net.run(ms(30));
        for message in words {
            assert!(net.delivered.contains_key(&message), "seed {seed}");
        }
    }
}

#[test]
fn a_peer_that_restarts_is_heard_again_also_by_those_to_whom_it_says_nothing() {
    let mut net = Net::new(2, 1, Weather::default());
    net.say(0, 1, 50, How::Usual);
    net.run(ms(50));
    net.restart(1);
    net.say(0, 1, 50, How::Usual);
    net.run(ms(20));
    let message = net.say(0, 1, 50, How::Usual);
    net.run(ms(20));
    assert!(net.delivered.contains_key(&message));
}

#[test]
fn a_word_of_200_bytes_is_one_datagram_small_ones_share_one_and_a_frame_costs_24_bytes() {
    let mut net = Net::new(2, 1, Weather::default());
    net.say(0, 1, 8, How::Usual);
    net.run(ms(50));
    let cost = |net: &mut Net, lengths: &[usize]| {
        let before = net.transmitted.len();
        let ids: Vec<u64> = lengths.iter().map(|l| net.say(0, 1, *l, How::Usual)).collect();
        net.run(ms(50));
        assert!(ids.iter().all(|id| net.delivered.contains_key(id)));
        net.transmitted[before..].iter().map(|(.., bytes)| *bytes).collect::<Vec<_>>()
    };
    assert_eq!(cost(&mut net, &[200]), [223]);
    assert_eq!(cost(&mut net, &[ONE_DATAGRAM]), [256]);
    assert_eq!(cost(&mut net, &[20, 30, 40, 50]), [20 + 2 * 4 + 140]);
    assert_eq!(cost(&mut net, &[ONE_DATAGRAM + 1]), [256, 24 + 2]);
    let longest = cost(&mut net, &[MAX_MESSAGE_BYTES]);
    assert_eq!((longest.len(), longest.iter().sum::<usize>()), (89, MAX_MESSAGE_BYTES + 24 * 89));
}
