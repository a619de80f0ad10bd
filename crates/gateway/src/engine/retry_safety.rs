//! Whether a further attempt, or a refusal, keeps the promise that nothing has an effect twice. The decision module decides;
//! this says once more, from what was really sent, whether it may, so that a fault of one is no fault of both.

use hollowpaddle_policy::interface::{Class, Effect, Group, Outcome};

/// Where an upstream's effects are remembered: its zone and its cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The zone.
    pub zone: u32,
    /// The cell in it.
    pub cell: u32,
}

/// An attempt that was made before.
#[derive(Clone, Copy, Debug)]
pub struct Earlier {
    /// Where.
    pub place: Option<Place>,
    /// How it ended; none while it is out.
    pub outcome: Option<Outcome>,
}

impl Earlier {
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// Whether another attempt at `place` may follow these.
pub fn may_repeat(class: &Class, earlier: &[Earlier], place: Option<Place>) -> bool {
    let mut risky = earlier.iter().filter(|attempt| attempt.may_have_run());
    match class.effect {
        Effect::Safe => true,
        Effect::Unsafe => risky.next().is_none(),
        Effect::Keyed => risky.all(|attempt| is_same_group(class.group, attempt.place, place)),
    }
}

/// Whether a refusal, which says that another try is harmless, may follow these.
pub fn may_refuse(class: &Class, earlier: &[Earlier]) -> bool {
    match class.effect {
        Effect::Safe => true,
        Effect::Keyed if class.group == Group::All => true,
        Effect::Keyed | Effect::Unsafe => !earlier.iter().any(Earlier::may_have_run),
    }
}

/// Whether two upstreams drop one another's repeats; one that is not known any more is in no group.
fn is_same_group(group: Group, one: Option<Place>, other: Option<Place>) -> bool {
    let (Some(one), Some(other)) = (one, other) else { return group == Group::All };
    match group {
        Group::All => true,
        Group::Zone => one.zone == other.zone,
        Group::Cell => one == other,
    }
}

#[cfg(test)]
mod tests;
