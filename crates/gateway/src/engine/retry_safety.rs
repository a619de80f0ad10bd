//! Checks that neither a retry nor a rejection can cause a request to take effect twice.
//!
//! The decision module decides on retries. This check applies the same rule independently, to the attempts that were
//! really sent, so that a fault in one of the two does not break the rule.

use hollowpaddle_policy::interface::{Class, Effect, Group, Outcome};

use crate::location::Location;

/// An earlier attempt of a request.
#[derive(Clone, Copy, Debug)]
pub struct PriorAttempt {
    /// Location of the attempt's upstream, if known.
    pub location: Option<Location>,
    /// Outcome of the attempt; `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

impl PriorAttempt {
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// Whether another attempt at `location` may follow the attempts in `prior`.
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

/// Whether a rejection, which promises that a retry is harmless, may follow the attempts in `prior`.
pub fn is_rejection_safe(class: &Class, prior: &[PriorAttempt]) -> bool {
    match class.effect {
        Effect::Safe => true,
        Effect::Keyed if class.group == Group::All => true,
        Effect::Keyed | Effect::Unsafe => !prior.iter().any(PriorAttempt::may_have_run),
    }
}

/// Whether two upstreams belong to one deduplication group, and so drop each other's repeated requests.
///
/// An upstream at an unknown location belongs only to the group of all upstreams.
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
