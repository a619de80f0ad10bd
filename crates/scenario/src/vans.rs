//! What chance decides about vans: their sids and sites, who drives when, and what is pressed again at the
//! other site.

use std::time::Duration;

use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;

use crate::plan::Arrival;
use crate::scenario::{Effect, Scenario, Vans};

/// One van.
#[derive(Clone, Debug, PartialEq)]
pub struct Van {
    /// As in its cookie.
    pub sid: u64,
    /// Site where it begins, by index among the zones.
    pub home: usize,
    /// Where it drives to, from when to when; `None` for one that stays.
    pub away: Option<(usize, Duration, Option<Duration>)>,
}

impl Van {
    /// Where it is at a time.
    pub fn site_at(&self, at: Duration) -> usize {
        match self.away {
            Some((site, from, to)) if at >= from && to.is_none_or(|to| at < to) => site,
            _ => self.home,
        }
    }

    /// When it changes its site.
    fn moves(&self) -> impl Iterator<Item = Duration> {
        self.away.into_iter().flat_map(|(_, from, to)| std::iter::once(from).chain(to))
    }
}

/// Draws them, and makes each request one of theirs. What is pressed again becomes a request of its own.
pub(crate) fn draw(
    scenario: &Scenario,
    of: &Vans,
    rng: &mut ChaCha8Rng,
    arrivals: &mut Vec<Arrival>,
) -> Vec<Van> {
    let vans: Vec<Van> = (0..of.count).map(|_| van(scenario, of, rng)).collect();
    for arrival in arrivals.iter_mut() {
        let whose = rng.random_range(0..of.count);
        let van = &vans[whose as usize];
        (arrival.key, arrival.van) = (van.sid, Some((whose, van.site_at(arrival.at))));
    }
    press_again(scenario, of, rng, &vans, arrivals);
    vans
}

fn van(scenario: &Scenario, of: &Vans, rng: &mut ChaCha8Rng) -> Van {
    let zones = scenario.fleet.zones.len();
    let (sid, home, drives) = (rng.next_u64(), rng.random_range(0..zones), rng.random::<f64>());
    // Every van draws the same amount of chance, whether it drives or not.
    let (step, when) = (rng.random_range(0..zones.max(2) - 1), rng.random::<f64>());
    let from = of.moves_at + of.moves_over.mul_f64(when);
    let away = ((home + 1 + step) % zones, from, of.back_after.map(|after| from + after));
    Van { sid, home, away: (drives < of.move_share && zones > 1).then_some(away) }
}

/// Adds what drivers press again at the other site, in the order of time. All that was drawn before stays as
/// it is, but for its place.
fn press_again(
    scenario: &Scenario,
    of: &Vans,
    rng: &mut ChaCha8Rng,
    vans: &[Van],
    arrivals: &mut Vec<Arrival>,
) {
    let mut pressed = Vec::new();
    for arrival in arrivals.iter() {
        let (draw, entry, id) = (rng.random::<f64>(), rng.next_u64(), rng.next_u64());
        let Some((whose, _)) = arrival.van else { continue };
        let keyed = scenario.classes[arrival.class].effect == Effect::Keyed;
        let van = &vans[whose as usize];
        let next = van.moves().find(|m| arrival.at < *m && *m <= arrival.at + of.again_within);
        let Some(at) = next.map(|m| m + of.again_after).filter(|at| *at < scenario.length) else {
            continue;
        };
        if keyed && draw < of.again_share {
            let (id, van) = (format!("{id:016x}"), Some((whose, van.site_at(at))));
            pressed.push(Arrival { at, id, entry, leaves: None, van, ..arrival.clone() });
        }
    }
    arrivals.append(&mut pressed);
    // Stable: at one time, in the order they were drawn. `first` is still the old place.
    let mut order: Vec<usize> = (0..arrivals.len()).collect();
    order.sort_by_key(|place| arrivals[*place].at);
    let mut place_of = vec![0; order.len()];
    for (now, before) in order.iter().enumerate() {
        place_of[*before] = now as u32;
    }
    arrivals.sort_by_key(|a| a.at);
    for arrival in arrivals {
        arrival.first = place_of[arrival.first as usize];
    }
}
