//! What applies of all commands of operators, and which processes of this balancer there are. Plain data; storing it is
//! left to [`store`](crate::store).

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// The commands that apply, and the processes of this balancer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, expecting = "struct Said")]
pub struct OperatorState {
    /// Upstreams that an operator has cordoned, by their name in the endpoint list.
    pub cordoned: BTreeSet<String>,
    /// Whether clients are turned away.
    pub quiesced: bool,
    /// Number of starts so far.
    pub starts: u64,
    /// Why commands may be missing here or taken back since, until an operator confirms the state.
    #[serde(rename = "doubted", skip_serializing_if = "Option::is_none")]
    pub suspect: Option<String>,
    /// Processes that were not yet seen dead, by the number of their start, and whether each serves.
    pub processes: BTreeMap<u64, bool>,
}

/// A copy of the commands that apply, for the case that the file with the state is lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, expecting = "struct Words")]
pub struct OperatorStateCopy {
    /// As [`OperatorState::cordoned`].
    pub cordoned: BTreeSet<String>,
    /// As [`OperatorState::quiesced`].
    pub quiesced: bool,
    /// As [`OperatorState::suspect`].
    #[serde(rename = "doubted")]
    pub suspect: Option<String>,
    /// Whether the process that made the copy ended in order, so that no command came after it.
    #[serde(rename = "last")]
    pub is_final: bool,
}

/// The copy that a start finds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RecoveredCopy {
    /// There is none, and nothing says that there ever was.
    #[default]
    Absent,
    /// A copy that can be read.
    Found(OperatorStateCopy),
    /// There was a copy, and it is lost; the text says why.
    Lost(String),
}

impl OperatorState {
    /// A copy of the commands that apply now.
    pub fn copy(&self) -> OperatorStateCopy {
        OperatorStateCopy {
            cordoned: self.cordoned.clone(),
            quiesced: self.quiesced,
            suspect: self.suspect.clone(),
            is_final: false,
        }
    }

    /// Adds the commands of a copy, where the file with the state is missing or damaged (`damage` says how).
    ///
    /// A cordon that was taken back since costs an upstream until an operator looks; one that is forgotten sends requests to
    /// a machine that somebody may be working on. So all commands of the copy apply, and the state is suspect unless the copy
    /// is known to be final.
    pub fn recover(&mut self, damage: Option<&str>, copy: &RecoveredCopy) {
        if let RecoveredCopy::Found(copy) = copy {
            self.cordoned.extend(copy.cordoned.iter().cloned());
            self.quiesced |= copy.quiesced;
        }
        let Some(reason) = suspicion(damage, copy) else { return };
        self.suspect.get_or_insert(reason);
    }

    /// Records a start, forgets processes that are not `is_alive`, and returns the number of the start, from 1 on.
    pub fn add_process(&mut self, is_alive: impl Fn(u64) -> bool) -> u64 {
        self.processes.retain(|number, _| is_alive(*number));
        self.starts += 1;
        self.processes.insert(self.starts, false);
        self.starts
    }

    /// Records that the process of this start serves.
    pub fn mark_serving(&mut self, start: u64) {
        self.processes.insert(start, true);
    }

    /// Processes that were started before this one, the newest first.
    pub fn started_before(&self, start: u64) -> impl Iterator<Item = u64> + '_ {
        self.processes.range(..start).rev().map(|(number, _)| *number)
    }

    /// Processes that were started after this one and serve, the newest first.
    pub fn serving_after(&self, start: u64) -> impl Iterator<Item = u64> + '_ {
        let after = self.processes.range(start + 1..).rev();
        after.filter(|(_, is_serving)| **is_serving).map(|(number, _)| *number)
    }
}

/// Why state that was recovered from this copy is suspect, if it is.
fn suspicion(damage: Option<&str>, copy: &RecoveredCopy) -> Option<String> {
    match (copy, damage) {
        (RecoveredCopy::Found(copy), damage) => {
            let has_commands = !copy.cordoned.is_empty() || copy.quiesced;
            match (&copy.suspect, damage) {
                (Some(reason), _) => Some(reason.clone()),
                (None, _) if copy.is_final => None,
                (None, Some(damage)) => {
                    Some(format!("put back from this balancer's snapshot: {damage}"))
                }
                (None, None) if has_commands => {
                    Some("put back from this balancer's snapshot: the file was gone".into())
                }
                (None, None) => None,
            }
        }
        (RecoveredCopy::Lost(cause), damage) => {
            let damage = damage.unwrap_or("the file was gone");
            Some(format!(
                "every cordon may be forgotten: {damage}; and the copy of it is lost: {cause}"
            ))
        }
        (RecoveredCopy::Absent, Some(damage)) => {
            Some(format!("every cordon is forgotten: {damage}"))
        }
        (RecoveredCopy::Absent, None) => None,
    }
}

#[cfg(test)]
mod tests;
