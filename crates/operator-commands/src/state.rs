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
    /// Why what stands may not be all that operators have said, until one of them confirms it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub doubted: Option<String>,
    /// The processes that were not yet seen dead, by the number of their start, and whether each could serve.
    pub processes: BTreeMap<u64, bool>,
}

/// What operators have said, as it is copied to where it outlives the loss of the file that holds it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Words {
    /// As [`Said::cordoned`].
    pub cordoned: BTreeSet<String>,
    /// As [`Said::quiesced`].
    pub quiesced: bool,
    /// As [`Said::doubted`].
    pub doubted: Option<String>,
    /// Nothing was said after this copy: the process that made it ended in order.
    pub last: bool,
}

/// What there is of such a copy at a start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Copied {
    /// No process was here before, as far as anybody can tell.
    #[default]
    Nothing,
    /// A copy that can be read.
    Words(Words),
    /// There was one, and it is lost: why.
    Lost(String),
}

impl Said {
    /// A copy of what operators have said.
    pub fn words(&self) -> Words {
        let Self { cordoned, quiesced, doubted, .. } = self.clone();
        Words { cordoned, quiesced, doubted, last: false }
    }

    /// Takes in a copy, where the file that held this was gone or could not be read (`torn`: why). A cordon that was
    /// taken back meanwhile costs an upstream until an operator has looked; one that is forgotten sends to a machine
    /// that somebody may have in hand. So what the copy has is done, and doubted unless it is known to be the last word.
    pub fn recover(&mut self, torn: Option<&str>, copy: &Copied) {
        let why = match (copy, torn) {
            (Copied::Words(words), _) => {
                self.cordoned.extend(words.cordoned.iter().cloned());
                self.quiesced |= words.quiesced;
                let said = !words.cordoned.is_empty() || words.quiesced;
                match (&words.doubted, torn) {
                    (Some(before), _) => before.clone(),
                    (None, _) if words.last => return,
                    (None, Some(torn)) => format!("put back from this balancer's snapshot: {torn}"),
                    (None, None) if said => {
                        "put back from this balancer's snapshot: the file was gone".into()
                    }
                    (None, None) => return,
                }
            }
            (Copied::Lost(lost), torn) => {
                let torn = torn.unwrap_or("the file was gone");
                format!("every cordon may be forgotten: {torn}; and the copy of it is lost: {lost}")
            }
            (Copied::Nothing, Some(torn)) => format!("every cordon is forgotten: {torn}"),
            (Copied::Nothing, None) => return,
        };
        self.doubted.get_or_insert(why);
    }

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

    fn copy(cordoned: &[&str], last: bool) -> Copied {
        let cordoned = cordoned.iter().map(|c| c.to_string()).collect();
        Copied::Words(Words { cordoned, last, ..Words::default() })
    }

    #[test]
    fn what_a_copy_has_is_done_and_doubted_unless_it_is_the_last_word() {
        let lost = Copied::Lost("its sum is wrong".into());
        let torn = Some("line 1");
        for (torn, copy, cordoned, doubted) in [
            (None, Copied::Nothing, 0, None),
            (torn, Copied::Nothing, 0, Some("every cordon is forgotten: line 1")),
            (None, copy(&[], false), 0, None),
            (torn, copy(&[], false), 0, Some("snapshot: line 1")),
            (None, copy(&["s-1"], false), 1, Some("snapshot: the file was gone")),
            (torn, copy(&["s-1"], false), 1, Some("snapshot: line 1")),
            (None, copy(&["s-1"], true), 1, None),
            (torn, copy(&["s-1", "s-2"], true), 2, None),
            (None, lost.clone(), 0, Some("may be forgotten: the file was gone; and the copy")),
            (torn, lost, 0, Some("may be forgotten: line 1; and the copy of it is lost: its sum")),
        ] {
            let mut said = Said::default();
            said.recover(torn, &copy);
            assert_eq!(said.cordoned.len(), cordoned, "{torn:?} {copy:?}");
            match (&said.doubted, doubted) {
                (Some(is), Some(part)) => assert!(is.contains(part), "{is}"),
                (is, want) => assert_eq!(is.as_deref(), want, "{torn:?} {copy:?}"),
            }
        }
    }

    #[test]
    fn a_doubt_outlasts_copies_until_it_is_confirmed() {
        let mut said = Said::default();
        said.recover(Some("torn"), &Copied::Nothing);
        let first = said.doubted.clone();
        let words = Words { last: true, ..said.words() };
        let mut next = Said::default();
        next.recover(None, &Copied::Words(words));
        assert_eq!(next.doubted, first);
    }

    #[test]
    fn what_another_build_wrote_is_read_as_far_as_it_goes() {
        let text = r#"{"cordoned":["s-1"],"later":{"x":1}}"#;
        let said: Said = serde_json::from_str(text).expect("readable");
        assert!(said.cordoned.contains("s-1") && !said.quiesced && said.processes.is_empty());
    }
}
