//! Checks that neither a retry nor a rejection can break the rule that nothing takes effect twice.
//!
//! The decision module decides on retries. This check repeats the rule from what was really sent, so that a fault of one
//! is no fault of both.

use hollowpaddle_policy::interface::{Class, Effect, Group, Outcome};

use crate::location::Location;

/// An attempt that was made before.
#[derive(Clone, Copy, Debug)]
pub struct PriorAttempt {
    /// Where its upstream runs, if that was known.
    pub location: Option<Location>,
    /// How it ended; nothing while it is in flight.
    pub outcome: Option<Outcome>,
}

impl PriorAttempt {
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// Whether another attempt at `location` may follow these.
pub fn is_retry_safe(class: &Class, prior: &[PriorAttempt], location: Option<Location>) -> bool {
    let mut may_have_run = prior.iter().filter(|attempt| attempt.may_have_run());
    match class.effect {
        Effect::Safe => true,
        Effect::Unsafe => may_have_run.next().is_none(),
        Effect::Keyed => {
            may_have_run.all(|attempt| is_same_group(class.group, attempt.location, location))
        }
    }
}

/// Whether a rejection, which says that a retry is harmless, may follow these.
pub fn is_rejection_safe(class: &Class, prior: &[PriorAttempt]) -> bool {
    match class.effect {
        Effect::Safe => true,
        Effect::Keyed if class.group == Group::All => true,
        Effect::Keyed | Effect::Unsafe => !prior.iter().any(PriorAttempt::may_have_run),
    }
}

/// Whether two upstreams drop one another's repeats. One at an unknown location is in no group.
fn is_same_group(group: Group, one: Option<Location>, other: Option<Location>) -> bool {
    let (Some(one), Some(other)) = (one, other) else { return group == Group::All };
    match group {
        Group::All => true,
        Group::Zone => one.zone == other.zone,
        Group::Cell => one == other,
    }
}

#[cfg(test)]
mod tests;
