//! The operator commands that apply, and the processes of this balancer, as plain data. The module [`store`](crate::store)
//! stores them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// The commands that apply, and the processes of this balancer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, expecting = "struct Said")]
pub struct OperatorState {
    /// Names of the upstreams that an operator has cordoned, as in the endpoint list.
    pub cordoned: BTreeSet<String>,
    /// Whether clients are rejected.
    pub quiesced: bool,
    /// Number of starts so far.
    pub starts: u64,
    /// Reason why the state may be outdated: commands may be missing, or may have been withdrawn since. The state is suspect
    /// until an operator confirms it.
    #[serde(rename = "doubted", skip_serializing_if = "Option::is_none")]
    pub suspect: Option<String>,
    /// Processes that have not been found dead, by the number of their start, and whether each serves.
    pub processes: BTreeMap<u64, bool>,
}

/// A copy of the commands that apply, for the case that the file with the state is lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, expecting = "struct Words")]
pub struct OperatorStateCopy {
    /// See [`OperatorState::cordoned`].
    pub cordoned: BTreeSet<String>,
    /// See [`OperatorState::quiesced`].
    pub quiesced: bool,
    /// See [`OperatorState::suspect`].
    #[serde(rename = "doubted")]
    pub suspect: Option<String>,
    /// Whether the process that made the copy ended in order, so that no command followed the copy.
    #[serde(rename = "last")]
    pub is_final: bool,
}

/// The copy that a start finds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RecoveredCopy {
    /// There is no copy, and no sign that one ever existed.
    #[default]
    Absent,
    /// The copy can be read.
    Found(OperatorStateCopy),
    /// The copy is lost, for this reason.
    Lost(String),
}

impl OperatorState {
    /// Returns a copy of the commands that apply now.
    pub fn copy(&self) -> OperatorStateCopy {
        OperatorStateCopy {
            cordoned: self.cordoned.clone(),
            quiesced: self.quiesced,
            suspect: self.suspect.clone(),
            is_final: false,
        }
    }

    /// Adds the commands of a copy, if the file with the state is missing or damaged. `damage` describes the damage.
    ///
    /// All commands of the copy apply, and the state is suspect unless the copy is known to be final. A cordon that was
    /// withdrawn since the copy excludes an upstream until an operator intervenes. This costs less than a cordon that is lost,
    /// after which requests are sent to a machine that may be under maintenance.
    pub fn recover(&mut self, damage: Option<&str>, copy: &RecoveredCopy) {
        if let RecoveredCopy::Found(copy) = copy {
            self.cordoned.extend(copy.cordoned.iter().cloned());
            self.quiesced |= copy.quiesced;
        }
        let Some(reason) = suspicion(damage, copy) else { return };
        self.suspect.get_or_insert(reason);
    }

    /// Records a start, removes the processes for which `is_alive` is false, and returns the number of the start, from 1.
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

    /// Returns the processes that were started before this one, the newest first.
    pub fn started_before(&self, start: u64) -> impl Iterator<Item = u64> + '_ {
        self.processes.range(..start).rev().map(|(number, _)| *number)
    }

    /// Returns the processes that were started after this one and serve, the newest first.
    pub fn serving_after(&self, start: u64) -> impl Iterator<Item = u64> + '_ {
        let after = self.processes.range(start + 1..).rev();
        after.filter(|(_, is_serving)| **is_serving).map(|(number, _)| *number)
    }
}

/// Returns the reason why state that was recovered from this copy is suspect; `None` if the state is not suspect.
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
