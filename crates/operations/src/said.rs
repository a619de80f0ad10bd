//! What stands of all that operators have said, and which processes of this balancer there are. Plain data.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// What stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Said {
    /// Upstreams that are out by an operator's hand, by the name that discovery gives them.
    pub cordoned: BTreeSet<String>,
    /// Clients are sent away.
    pub quiesced: bool,
    /// How often the program was started here.
    pub starts: u64,
    /// The processes that were not yet seen dead, by the number of their start, and whether each could serve.
    pub processes: BTreeMap<u64, bool>,
}

impl Said {
    /// Notes one more start; its number, from 1 on. Processes that are no longer `alive` are forgotten.
    pub fn start(&mut self, alive: impl Fn(u64) -> bool) -> u64 {
        self.processes.retain(|n, _| alive(*n));
        self.starts += 1;
        self.processes.insert(self.starts, false);
        self.starts
    }

    /// The process of this start can serve.
    pub fn serves(&mut self, start: u64) {
        self.processes.insert(start, true);
    }

    /// Those that were started before this one, the newest first.
    pub fn before(&self, start: u64) -> impl Iterator<Item = u64> + '_ {
        self.processes.range(..start).rev().map(|(n, _)| *n)
    }

    /// Those that were started after this one and can serve, the newest first.
    pub fn after(&self, start: u64) -> impl Iterator<Item = u64> + '_ {
        self.processes.range(start + 1..).rev().filter(|(_, serves)| **serves).map(|(n, _)| *n)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn starts_are_numbered_and_the_dead_forgotten() {
        let mut said = Said::default();
        assert_eq!(said.start(|_| false), 1);
        said.serves(1);
        assert_eq!(said.start(|n| n == 1), 2);
        assert_eq!(
            (said.before(2).collect(), said.after(1).collect()),
            (vec![1], Vec::<u64>::new())
        );
        said.serves(2);
        assert_eq!(said.after(1).collect::<Vec<_>>(), [2]);
        assert_eq!(said.after(2).count(), 0);
        // Both have died: nobody is before the next.
        assert_eq!(said.start(|_| false), 3);
        assert_eq!(said.before(3).count(), 0);
    }

    #[test]
    fn what_another_build_wrote_is_read_as_far_as_it_goes() {
        let text = r#"{"cordoned":["s-1"],"later":{"x":1}}"#;
        let said: Said = serde_json::from_str(text).expect("readable");
        assert!(said.cordoned.contains("s-1") && !said.quiesced && said.processes.is_empty());
    }
}
