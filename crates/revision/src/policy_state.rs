//! The replicated state machine of the routing policy. It applies the entries of the log and is the same at every
//! balancer. It has no notion of time, network or leases; log entries state which generations are confirmed.

mod fallback_change;
mod in_force_rules;
mod phases;
mod replicated;
mod revisions;
pub mod snapshot;
mod status;

use std::collections::BTreeSet;
use std::sync::Arc;

use hollowpaddle_peer_transport::NodeId;

use self::in_force_rules::in_force_rules;
use self::replicated::ReplicatedState;
pub use self::status::{Applied, Bootstrap, BootstrapError, CanaryStatus, PolicyStatus};
use crate::difference::Difference;
use crate::document::Document;
use crate::entry::{CommandId, Entry};
use crate::fallback_policy::{FallbackPolicy, FallbackPolicyError};
use crate::fleet::FleetFacts;
use crate::history::{ChangeStatus, History, Origin, ProposalResult, RetainedRevision};
use crate::node_set::MAX_NODES;
pub use crate::rejection::Rejection;
use crate::rules::Rules;

/// The replicated policy state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PolicyState {
    state: ReplicatedState,
    history: History,
    /// The rules in force, derived from the state.
    rules: Arc<Rules>,
    /// The fallback policy of balancers without a lease, derived from the state.
    effective_fallback: Arc<FallbackPolicy>,
}

impl PolicyState {
    /// Returns the state of a new cluster.
    ///
    /// # Errors
    /// If a part of `bootstrap` is invalid.
    pub fn bootstrap(bootstrap: Bootstrap) -> Result<Self, BootstrapError> {
        let Bootstrap { members, mandatory_fallback, fallback_policy, document } = bootstrap;
        if !(1..=MAX_NODES).contains(&members) {
            return Err(BootstrapError::NodeSet { found: members });
        }
        document.check()?;
        check_fallback_policies(&mandatory_fallback, &fallback_policy)?;
        let state = ReplicatedState {
            members,
            mandatory_fallback,
            fallback_policy,
            fallback_change: None,
            fallback_generation: 0,
            index: 0,
            generation: 0,
            unconfirmed: false,
            in_force: 0,
            target: None,
            pending: None,
            newest: 0,
            canary: None,
            dead: BTreeSet::new(),
        };
        let mut history = History::default();
        history.retain(0, document, Origin::Bootstrap, Some(ChangeStatus::Superseded(0)));
        Ok(Self::from_parts(state, history))
    }

    fn from_parts(state: ReplicatedState, history: History) -> Self {
        let in_force = in_force_rules(&state, &history);
        let (rules, effective_fallback) = (in_force.rules, in_force.fallback_policy);
        Self { state, history, rules, effective_fallback }
    }

    /// Applies the entry with this index. An entry that was applied before has no effect.
    pub fn apply(&mut self, index: u64, bytes: &[u8]) -> Applied {
        if index <= self.state.index {
            return Applied::default();
        }
        self.state.index = index;
        let entry = match Entry::from_bytes(bytes) {
            Ok(entry) => entry,
            Err(error) => return Applied { decode_error: Some(error), ..Applied::default() },
        };
        let previous_generation = self.state.generation;
        let result = self.execute(index, entry);
        self.start_next_generation(index);
        let is_changed = self.state.generation != previous_generation;
        if is_changed {
            let in_force = in_force_rules(&self.state, &self.history);
            (self.rules, self.effective_fallback) = (in_force.rules, in_force.fallback_policy);
        }
        self.history.compact(&self.state.referenced_revisions().collect());
        Applied { result, is_generation_changed: is_changed, decode_error: None }
    }

    fn execute(&mut self, index: u64, entry: Entry) -> Option<(CommandId, Result<u64, Rejection>)> {
        let id = entry.command_id();
        // A command that is in the log twice has an effect only once.
        if let Some(id) = id
            && let Some(result) = self.history.result(id)
        {
            return Some((id, result.outcome.clone()));
        }
        let outcome = match entry {
            Entry::Propose(options, document) => self.propose(index, &options, *document),
            Entry::Rollback(options, to) => self.roll_back(index, &options, to),
            Entry::FallbackPolicy(_, target, facts) => {
                self.propose_fallback_change(index, target, &facts)
            }
            Entry::ConfirmCanary(_, number) => self.confirm_canary(number),
            Entry::MarkDead(_, node) => self.mark_dead(node).map(|()| index),
            Entry::MarkAlive(_, node) => self.mark_alive(node).map(|()| index),
            Entry::GenerationConfirmed(generation) => {
                self.confirm_generation(generation);
                return None;
            }
            Entry::FallbackPolicyConfirmed(fallback_generation) => {
                self.confirm_fallback_change(fallback_generation);
                return None;
            }
            Entry::AutomaticRollback(number, cause) => {
                self.roll_back_canary(index, number, cause);
                return None;
            }
        };
        let id = id?;
        self.history.record_result(id, ProposalResult { index, outcome: outcome.clone() });
        Some((id, outcome))
    }

    fn mark_dead(&mut self, node: NodeId) -> Result<(), Rejection> {
        self.check_node(node)?;
        self.state.dead.insert(node.0);
        Ok(())
    }

    fn mark_alive(&mut self, node: NodeId) -> Result<(), Rejection> {
        self.check_node(node)?;
        self.state.dead.remove(&node.0);
        Ok(())
    }

    fn check_node(&self, node: NodeId) -> Result<(), Rejection> {
        let members = self.state.members;
        if node.0 < members {
            Ok(())
        } else {
            Err(Rejection::UnknownNode { member: node.0, members })
        }
    }

    /// Returns the retained revision with this number.
    ///
    /// # Errors
    /// If the revision is not retained. The error states the range of retained revisions.
    pub fn retained_revision(&self, number: u64) -> Result<&RetainedRevision, Rejection> {
        self.history.get(number).ok_or_else(|| {
            let mut numbers = self.history.revisions().map(|(number, _)| number);
            let oldest = numbers.next().unwrap_or(0);
            let newest = numbers.next_back().unwrap_or(oldest);
            Rejection::Unknown { number, oldest, newest }
        })
    }

    /// Returns the status after the last applied entry.
    pub fn status(&self) -> PolicyStatus {
        let state = &self.state;
        let awaits_fallback_confirmation =
            state.started_fallback_change().is_some_and(|c| !c.is_confirmed);
        PolicyStatus {
            index: state.index,
            generation: state.generation,
            unconfirmed: state.unconfirmed,
            rules: self.rules.clone(),
            revision: state.in_force,
            target_revision: state.target,
            fallback_policy: self.effective_fallback.clone(),
            fallback_generation: state.fallback_generation,
            awaits_fallback_confirmation,
            dead: state.dead.iter().map(|node| NodeId(*node)).collect(),
            members: state.members,
            canary: state.canary.filter(|canary| canary.revision == state.in_force),
        }
    }

    /// Returns the number of the newest revision, in force or not. It is the base of the next proposal.
    pub fn newest(&self) -> u64 {
        self.state.newest
    }

    /// Returns the result of a command; `None` if the command is not in the log, or if
    /// [`MAX_RESULTS`](crate::history::MAX_RESULTS) later commands have displaced its result.
    pub fn command_result(&self, id: CommandId) -> Option<&ProposalResult> {
        self.history.result(id)
    }

    /// Returns the status of a retained revision; `None` if it is not retained.
    pub fn change_status(&self, number: u64) -> Option<ChangeStatus> {
        let revision = self.history.get(number)?;
        if number == self.state.in_force {
            return Some(ChangeStatus::InForce);
        }
        if Some(number) == self.state.target {
            return Some(ChangeStatus::Restricting);
        }
        Some(revision.final_status.unwrap_or(ChangeStatus::Pending))
    }

    /// Returns all retained revisions, oldest first.
    pub fn revisions(&self) -> impl DoubleEndedIterator<Item = (u64, &RetainedRevision)> {
        self.history.revisions()
    }

    /// Returns the difference of a document from the newest revision, and its conflicts. The state is not changed.
    ///
    /// # Errors
    /// If the document is outside its bounds.
    pub fn dry_run(
        &self,
        document: &Document,
        facts: &FleetFacts,
    ) -> Result<Difference, Rejection> {
        document.check().map_err(|error| Rejection::Document(error.to_string()))?;
        let newest = &self.retained_revision(self.state.newest)?.document;
        Ok(Difference::of(newest, document, &self.fleet_conflicts(document, facts)))
    }

    /// Returns the difference that a rollback to this revision would make. The state is not changed.
    ///
    /// # Errors
    /// If the revision is not retained.
    pub fn dry_run_rollback(&self, to: u64, facts: &FleetFacts) -> Result<Difference, Rejection> {
        self.dry_run(&self.retained_revision(to)?.document, facts)
    }
}

fn check_fallback_policies(
    mandatory_fallback: &FallbackPolicy,
    fallback_policy: &FallbackPolicy,
) -> Result<(), FallbackPolicyError> {
    let no_cells = FallbackPolicy { cells: BTreeSet::new(), ..mandatory_fallback.clone() };
    mandatory_fallback.check(&no_cells)?;
    fallback_policy.check(mandatory_fallback)?;
    // The cells of excepted upstreams are not known yet, so each upstream might be in a mandatory cell.
    match fallback_policy.except.difference(&mandatory_fallback.except).next() {
        None => Ok(()),
        Some(name) => {
            let what = format!("upstream `{name}`");
            Err(FallbackPolicyError::MandatoryFallback { what })
        }
    }
}
