//! What may be believed of stored knowledge at which age: the one place that says so.

use std::time::Duration;

/// A kind of knowledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// What was learned of the fleet as a whole: service times by class, lanes and warm rates by kind.
    Fleet,
    /// What was learned of single upstreams since a start of theirs: their way and their slowness.
    Upstreams,
    /// The list of upstreams as last heard, and when that was.
    List,
    /// What operators have said.
    Words,
    /// Shares of something that others hold the rest of.
    Budgets,
}

/// How far something is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Belief {
    /// As if it had been learned just now.
    Whole,
    /// What it takes out is out. Whom it alone names is tried as one that has just started; nobody is gone by being left
    /// out of it.
    Cautious,
    /// Not at all.
    Nothing,
}

/// The fleet's figures: machines are replaced and loads move in a few minutes, and what is wrong of them is learned anew
/// within some hundred answers.
const FLEET: Duration = Duration::from_secs(600);
/// An upstream's own: it may have been slow for a passing reason, and one wrong figure sends a share of the load there.
const UPSTREAMS: Duration = Duration::from_secs(60);

/// Upstreams that it names and drains that it tells of may all be over by then.
const LIST: Duration = Duration::from_secs(600);
/// Operators' words count until they are taken back, and what a list took out until the list says otherwise. Of a copy as
/// old as this nobody knows any more what it was for.
const OLDEST: Duration = Duration::from_secs(30 * 24 * 3600);

/// How far knowledge of this age is believed, where the list has nothing to say against it. What the list says wins.
pub fn belief(what: What, age: Duration) -> Belief {
    let most = match what {
        What::Fleet => FLEET,
        What::Upstreams => UPSTREAMS,
        What::List if age <= LIST => return Belief::Whole,
        What::List if age <= OLDEST => return Belief::Cautious,
        What::List => return Belief::Nothing,
        What::Words => OLDEST,
        // The others went on meanwhile: whatever one held, somebody else may hold now.
        What::Budgets => return Belief::Nothing,
    };
    if age <= most { Belief::Whole } else { Belief::Nothing }
}

/// Beyond this age nothing is believed of anything.
pub fn oldest() -> Duration {
    OLDEST
}
