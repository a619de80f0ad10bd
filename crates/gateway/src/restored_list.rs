//! What a start takes from the list that the process before it had heard last. Pure. Whatever discovery says wins; until
//! it speaks, nobody is sent to whom that list had taken out.

use std::time::Duration;

use hollowpaddle_recovery::{RestoredState, Trust, trust};
use rustc_hash::FxHashSet;

use crate::members::{List, Phase};

/// A stored list as far as it counts.
#[derive(Debug)]
pub struct RestoredList {
    /// With the version of the list that it is laid over: discovery, asked for all that it has, speaks after it.
    pub list: List,
    /// Whom it leaves out is gone.
    pub whole: bool,
}

/// What counts of a list that was last heard `age` ago, over the one that the configuration names; nothing, where that
/// is as new or too little is left to believe. `now` is Unix time.
pub fn restored_list(
    stored: &List,
    known: &List,
    age: Duration,
    now: Duration,
) -> Option<RestoredList> {
    if stored.revision <= known.revision && !known.members.is_empty() {
        return None;
    }
    let whole = match trust(RestoredState::EndpointList, age) {
        Trust::Full => true,
        Trust::Cautious => false,
        Trust::None => return None,
    };
    let named: FxHashSet<&str> = known.members.iter().map(|m| &*m.id).collect();
    let mut list = List { revision: known.revision, complete: whole, ..stored.clone() };
    for entry in &mut list.members {
        if !whole && entry.phase == Phase::Serving && !named.contains(&*entry.id) {
            entry.up_since_ms = now.as_secs_f64() * 1e3;
        }
    }
    Some(RestoredList { list, whole })
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    const MINUTE: Duration = Duration::from_secs(60);
    const NOW: Duration = Duration::from_secs(1_000_000);

    fn list(revision: u64, members: &[(&str, &str)]) -> List {
        let entry =
            |(id, phase): &(&str, &str)| json!({"id": id, "phase": phase, "up_since_ms": 7.0});
        let members: Vec<_> = members.iter().map(entry).collect();
        serde_json::from_value(json!({"revision": revision, "members": members})).expect("a list")
    }

    fn since(of: &RestoredList) -> Vec<f64> {
        of.list.members.iter().map(|m| m.up_since_ms).collect()
    }

    #[test]
    fn the_newer_of_two_lists_counts_and_the_configurations_in_doubt() {
        let known = list(5, &[("a", "SERVING")]);
        for (revision, counts) in [(4, false), (5, false), (6, true)] {
            let stored = list(revision, &[("a", "DRAINING")]);
            assert_eq!(restored_list(&stored, &known, MINUTE, NOW).is_some(), counts, "{revision}");
        }
        let stored = list(0, &[("a", "SERVING")]);
        assert!(restored_list(&stored, &List::default(), MINUTE, NOW).is_some(), "the only one");
    }

    #[test]
    fn a_young_one_counts_as_it_is_and_speaks_with_the_version_of_the_other() {
        let (stored, known) =
            (list(9, &[("a", "DRAINING"), ("b", "SERVING")]), list(5, &[("c", "SERVING")]));
        let young = restored_list(&stored, &known, 10 * MINUTE, NOW).expect("it counts");
        assert!(young.whole && young.list.revision == 5, "{young:?}");
        assert_eq!(since(&young), [7.0, 7.0]);
    }

    #[test]
    fn an_old_one_takes_out_and_has_newcomers_tried() {
        let stored = list(9, &[("a", "DRAINING"), ("b", "SERVING"), ("c", "SERVING")]);
        let known = list(5, &[("a", "SERVING"), ("c", "SERVING"), ("d", "SERVING")]);
        let old = restored_list(&stored, &known, 11 * MINUTE, NOW).expect("it counts");
        assert!(!old.whole);
        assert_eq!(since(&old), [7.0, 1e9, 7.0], "only `b` is tried");
        assert!(restored_list(&stored, &known, 31 * 24 * 60 * MINUTE, NOW).is_none());
    }
}
