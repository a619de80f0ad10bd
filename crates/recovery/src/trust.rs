//! How far each kind of restored state is trusted at which age. What discovery delivers always goes before it.

use std::time::Duration;

/// A kind of restored state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestoredState {
    /// Estimates for the whole fleet: service times by class, concurrency levels and warm-up rates by machine type.
    Fleet,
    /// Estimates for single upstreams since their last start: round-trip time and slowness.
    Upstreams,
    /// The endpoint list that discovery delivered last, and when.
    EndpointList,
    /// What operators commanded: cordons and quiescing.
    OperatorState,
    /// Shares of a budget whose rest other balancers hold.
    Budgets,
}

/// How far restored state is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// As if it were new.
    Full,
    /// An endpoint list takes out what it says is out. An upstream that it alone names counts as just started, and none is
    /// gone because the list leaves it out.
    Cautious,
    /// Not at all.
    None,
}

/// Machines are replaced and loads move within minutes, and wrong estimates are corrected by some hundred answers.
const MAX_FLEET_AGE: Duration = Duration::from_secs(600);
/// One upstream may have been slow for a passing reason, and one wrong estimate moves a share of the load.
const MAX_UPSTREAM_AGE: Duration = Duration::from_secs(60);
/// By this age the upstreams that a list names, and those that it drains, may all be gone.
const MAX_FULL_LIST_AGE: Duration = Duration::from_secs(600);
/// Operator commands apply until they are taken back, and a list's drains until a newer list. Of a copy of this age nobody
/// knows any more what it was for.
const MAX_AGE: Duration = Duration::from_secs(30 * 24 * 3600);

/// How far state of this kind and age is trusted.
pub fn trust(state: RestoredState, age: Duration) -> Trust {
    match state {
        RestoredState::Fleet => full_until(MAX_FLEET_AGE, age),
        RestoredState::Upstreams => full_until(MAX_UPSTREAM_AGE, age),
        RestoredState::EndpointList if age <= MAX_FULL_LIST_AGE => Trust::Full,
        RestoredState::EndpointList if age <= MAX_AGE => Trust::Cautious,
        RestoredState::EndpointList => Trust::None,
        RestoredState::OperatorState => full_until(MAX_AGE, age),
        // The other balancers went on meanwhile, and may hold any share by now.
        RestoredState::Budgets => Trust::None,
    }
}

fn full_until(max_age: Duration, age: Duration) -> Trust {
    if age <= max_age { Trust::Full } else { Trust::None }
}

/// The age beyond which nothing is trusted.
pub fn max_age() -> Duration {
    MAX_AGE
}
