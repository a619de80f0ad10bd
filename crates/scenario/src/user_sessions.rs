//! What chance decides about vans: their sids and sites, who drives when, and what is pressed again at the
//! other site.

use std::fmt;
use std::time::Duration;

use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;

use crate::plan::Arrival;
use crate::scenario::{Effect, Scenario, UserSessions};

/// One van.
#[derive(Clone, PartialEq)]
pub struct UserSession {
    /// As in its cookie.
    pub session_id: u64,
    /// Site where it begins, by index among the zones.
    pub initial_zone: usize,
    /// Where it drives to, from when to when; `None` for one that stays.
    pub visit: Option<(usize, Duration, Option<Duration>)>,
}

/// Prints the original names, because [`Plan::digest`](crate::plan::Plan::digest) hashes this text.
impl fmt::Debug for UserSession {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { session_id, initial_zone, visit } = self;
        let mut s = f.debug_struct("Van");
        s.field("sid", session_id).field("home", initial_zone).field("away", visit).finish()
    }
}

impl UserSession {
    /// Where it is at a time.
    pub fn zone_at(&self, at: Duration) -> usize {
        match self.visit {
            Some((zone, from, to)) if at >= from && to.is_none_or(|to| at < to) => zone,
            _ => self.initial_zone,
        }
    }

    /// When it changes its site.
    fn zone_changes(&self) -> impl Iterator<Item = Duration> {
        self.visit.into_iter().flat_map(|(_, from, to)| std::iter::once(from).chain(to))
    }
}

/// Draws them, and makes each request one of theirs. What is pressed again becomes a request of its own.
pub(crate) fn generate(
    scenario: &Scenario,
    settings: &UserSessions,
    rng: &mut ChaCha8Rng,
    arrivals: &mut Vec<Arrival>,
) -> Vec<UserSession> {
    let sessions: Vec<UserSession> =
        (0..settings.count).map(|_| session(scenario, settings, rng)).collect();
    for arrival in arrivals.iter_mut() {
        let owner = rng.random_range(0..settings.count);
        let session = &sessions[owner as usize];
        (arrival.key, arrival.session) =
            (session.session_id, Some((owner, session.zone_at(arrival.at))));
    }
    add_resubmissions(scenario, settings, rng, &sessions, arrivals);
    sessions
}

fn session(scenario: &Scenario, settings: &UserSessions, rng: &mut ChaCha8Rng) -> UserSession {
    let zones = scenario.fleet.zones.len();
    let (session_id, initial_zone, drives) =
        (rng.next_u64(), rng.random_range(0..zones), rng.random::<f64>());
    // Every van draws the same amount of chance, whether it drives or not.
    let (step, when) = (rng.random_range(0..zones.max(2) - 1), rng.random::<f64>());
    let from = settings.moves_start + settings.moves_spread.mul_f64(when);
    let visit =
        ((initial_zone + 1 + step) % zones, from, settings.return_after.map(|after| from + after));
    UserSession {
        session_id,
        initial_zone,
        visit: (drives < settings.move_share && zones > 1).then_some(visit),
    }
}

/// Adds what drivers press again at the other site, in the order of time. All that was drawn before stays as
/// it is, but for its place.
fn add_resubmissions(
    scenario: &Scenario,
    settings: &UserSessions,
    rng: &mut ChaCha8Rng,
    sessions: &[UserSession],
    arrivals: &mut Vec<Arrival>,
) {
    let mut resubmitted = Vec::new();
    for arrival in arrivals.iter() {
        let (sample, balancer_sample, id) = (rng.random::<f64>(), rng.next_u64(), rng.next_u64());
        let Some((owner, _)) = arrival.session else { continue };
        let keyed = scenario.classes[arrival.class].effect == Effect::Keyed;
        let session = &sessions[owner as usize];
        let next = session
            .zone_changes()
            .find(|m| arrival.at < *m && *m <= arrival.at + settings.resubmit_window);
        let Some(at) = next.map(|m| m + settings.resubmit_delay).filter(|at| *at < scenario.length)
        else {
            continue;
        };
        if keyed && sample < settings.resubmit_share {
            let (id, session) = (format!("{id:016x}"), Some((owner, session.zone_at(at))));
            resubmitted.push(Arrival {
                at,
                id,
                balancer_sample,
                abandoned_after: None,
                session,
                ..arrival.clone()
            });
        }
    }
    arrivals.append(&mut resubmitted);
    // Stable: at one time, in the order they were drawn. `first` is still the old place.
    let mut order: Vec<usize> = (0..arrivals.len()).collect();
    order.sort_by_key(|place| arrivals[*place].at);
    let mut place_of = vec![0; order.len()];
    for (now, before) in order.iter().enumerate() {
        place_of[*before] = now as u32;
    }
    arrivals.sort_by_key(|a| a.at);
    for arrival in arrivals {
        arrival.original = place_of[arrival.original as usize];
    }
}
