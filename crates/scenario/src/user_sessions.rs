//! The random parts of user sessions: their ids and zones, which of them move and when, and which requests are resubmitted
//! from the other zone.

use std::fmt;
use std::time::Duration;

use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;

use crate::plan::Arrival;
use crate::scenario::{Effect, Scenario, UserSessions};

/// A user session, which moves between zones at most twice: away, and back again.
#[derive(Clone, PartialEq)]
pub struct UserSession {
    /// Id in the session cookie.
    pub session_id: u64,
    /// Index of the zone in which the session begins.
    pub initial_zone: usize,
    /// Index of the zone that the session moves to, and the times of the move and of the return, if there is one; `None`
    /// for a session that stays.
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
    /// Returns the index of the zone that the session is in at a time.
    pub fn zone_at(&self, at: Duration) -> usize {
        match self.visit {
            Some((zone, from, to)) if at >= from && to.is_none_or(|to| at < to) => zone,
            _ => self.initial_zone,
        }
    }

    /// Returns the times at which the session changes its zone.
    fn zone_changes(&self) -> impl Iterator<Item = Duration> {
        self.visit.into_iter().flat_map(|(_, from, to)| std::iter::once(from).chain(to))
    }
}

/// Generates the sessions, and assigns each request to one of them. A resubmission becomes a request of its own.
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
        (arrival.session_id, arrival.session) =
            (session.session_id, Some((owner, session.zone_at(arrival.at))));
    }
    add_resubmissions(scenario, settings, rng, &sessions, arrivals);
    sessions
}

fn session(scenario: &Scenario, settings: &UserSessions, rng: &mut ChaCha8Rng) -> UserSession {
    let zones = scenario.fleet.zones.len();
    let (session_id, initial_zone, move_sample) =
        (rng.next_u64(), rng.random_range(0..zones), rng.random::<f64>());
    // Every session consumes the same number of samples, whether it moves or not.
    let (offset, when) = (rng.random_range(0..zones.max(2) - 1), rng.random::<f64>());
    let from = settings.moves_start + settings.moves_spread.mul_f64(when);
    let visit = (
        (initial_zone + 1 + offset) % zones,
        from,
        settings.return_after.map(|after| from + after),
    );
    UserSession {
        session_id,
        initial_zone,
        visit: (move_sample < settings.move_share && zones > 1).then_some(visit),
    }
}

/// Adds the resubmissions from the other zone, and sorts all requests by time. Requests that were generated before change
/// only their indexes.
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
        let is_keyed = scenario.classes[arrival.class].effect == Effect::Keyed;
        let session = &sessions[owner as usize];
        let next_change = session
            .zone_changes()
            .find(|m| arrival.at < *m && *m <= arrival.at + settings.resubmit_window);
        let Some(at) =
            next_change.map(|m| m + settings.resubmit_delay).filter(|at| *at < scenario.length)
        else {
            continue;
        };
        if is_keyed && sample < settings.resubmit_share {
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
    // The sort is stable: requests of the same time stay in the order in which they were generated. Until the loop below,
    // `original` holds the index from before the sort.
    let mut order: Vec<usize> = (0..arrivals.len()).collect();
    order.sort_by_key(|index| arrivals[*index].at);
    let mut index_after_sort = vec![0; order.len()];
    for (new_index, old_index) in order.iter().enumerate() {
        index_after_sort[*old_index] = new_index as u32;
    }
    arrivals.sort_by_key(|a| a.at);
    for arrival in arrivals {
        arrival.original = index_after_sort[arrival.original as usize];
    }
}
