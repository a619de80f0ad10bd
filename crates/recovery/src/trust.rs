//! How far each kind of restored state is trusted, by its age. What discovery delivers always takes precedence over restored
//! state.

use std::time::Duration;

/// A kind of restored state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestoredState {
    /// Estimates for all upstreams together: service times by class, concurrency levels and warm-up rates by machine type.
    Fleet,
    /// Estimates for single upstreams since their last start: round-trip time and slowness.
    Upstreams,
    /// The endpoint list that discovery delivered last, and the time of its delivery.
    EndpointList,
    /// The operator commands that apply: cordons and quiescing.
    OperatorState,
    /// This balancer's shares of budgets whose other shares belong to other balancers.
    Budgets,
}

/// How far restored state is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// Like new state.
    Full,
    /// Upstreams that an endpoint list marks as draining or ended are excluded. An upstream that only this list names counts
    /// as just started. An upstream is not removed because the list omits it.
    Cautious,
    /// Not at all.
    None,
}

/// Machines are replaced and loads move within minutes, and some hundred responses correct wrong estimates.
const MAX_FLEET_AGE: Duration = Duration::from_secs(600);
/// An upstream may have been slow for a temporary reason, and one wrong estimate moves a share of the load.
const MAX_UPSTREAM_AGE: Duration = Duration::from_secs(60);
/// Beyond this age, all the upstreams that a list names or drains may be gone.
const MAX_FULL_LIST_AGE: Duration = Duration::from_secs(600);
/// Operator commands apply until they are withdrawn, and the drains of a list until a newer list. Beyond this age, the
/// reason for the commands in a copy is no longer known.
const MAX_AGE: Duration = Duration::from_secs(30 * 24 * 3600);

/// Returns how far state of this kind and age is trusted.
pub fn trust(state: RestoredState, age: Duration) -> Trust {
    match state {
        RestoredState::Fleet => full_until(MAX_FLEET_AGE, age),
        RestoredState::Upstreams => full_until(MAX_UPSTREAM_AGE, age),
        RestoredState::EndpointList if age <= MAX_FULL_LIST_AGE => Trust::Full,
        RestoredState::EndpointList if age <= MAX_AGE => Trust::Cautious,
        RestoredState::EndpointList => Trust::None,
        RestoredState::OperatorState => full_until(MAX_AGE, age),
        // The other balancers have kept running since, and may have taken any share.
        RestoredState::Budgets => Trust::None,
    }
}

fn full_until(max_age: Duration, age: Duration) -> Trust {
    if age <= max_age { Trust::Full } else { Trust::None }
}

/// Returns the age beyond which no restored state is trusted.
pub fn max_age() -> Duration {
    MAX_AGE
}
