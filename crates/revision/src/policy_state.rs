//! What the log's entries mean: a state machine that is the same at every balancer. It knows no time, no
//! network and no lease; who has confirmed a stage is told to it by entries.

pub mod snapshot;
mod status;

use std::collections::BTreeSet;
use std::sync::Arc;

use hollowpaddle_peer_transport::NodeId;
use serde::{Deserialize, Serialize};

pub use self::status::{Applied, Bootstrap, BootstrapError, CanaryStatus, PolicyStatus, Refusal};
use crate::difference::Difference;
use crate::document::Document;
use crate::entry::{CommandId, Entry, ProposalOptions};
use crate::fallback_policy::{FallbackFloor, FallbackPolicy, FallbackPolicyError};
use crate::fleet::{Facts, FleetConflict};
use crate::history::{ChangeStatus, History, Origin, ProposalResult, RetainedRevision};
use crate::node_set::MAX_NODES;
use crate::rules::Rules;

/// A charter on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Change {
    pub(crate) to: FallbackPolicy,
    /// When it was asked for.
    pub(crate) since: u64,
    /// What both allow is what balancers keep to; what either allows can't be forbidden.
    pub(crate) begun: bool,
    /// Everyone has said so.
    pub(crate) confirmed: bool,
    /// It ends with the old one.
    pub(crate) withdrawn: bool,
}

/// All that is not revisions and answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct State {
    pub(crate) members: u16,
    pub(crate) mandatory_fallback: FallbackPolicy,
    /// The last charter that all have agreed to.
    pub(crate) fallback_policy: FallbackPolicy,
    pub(crate) change: Option<Change>,
    pub(crate) fallback_generation: u64,
    pub(crate) index: u64,
    pub(crate) generation: u64,
    pub(crate) unconfirmed: bool,
    pub(crate) in_force: u64,
    pub(crate) towards: Option<u64>,
    pub(crate) next: Option<u64>,
    pub(crate) newest: u64,
    pub(crate) canary: Option<CanaryStatus>,
    pub(crate) dead: BTreeSet<u16>,
}

/// The rule book.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PolicyState {
    pub(crate) state: State,
    pub(crate) history: History,
    /// Made of the state.
    rules: Arc<Rules>,
    held: Arc<FallbackPolicy>,
}

impl PolicyState {
    /// A bank's first.
    ///
    /// # Errors
    /// If it can't begin so.
    pub fn found(bootstrap: Bootstrap) -> Result<Self, BootstrapError> {
        let Bootstrap { members, mandatory_fallback, fallback_policy, document } = bootstrap;
        if !(1..=MAX_NODES).contains(&members) {
            return Err(BootstrapError::NodeSet { found: members });
        }
        document.check()?;
        mandatory_fallback
            .check(&FallbackPolicy { cells: BTreeSet::new(), ..mandatory_fallback.clone() })?;
        fallback_policy.check(&mandatory_fallback)?;
        // Nothing says yet which pods those are in.
        if let Some(name) = fallback_policy.except.difference(&mandatory_fallback.except).next() {
            return Err(FallbackPolicyError::MandatoryFallback {
                what: format!("upstream `{name}`"),
            }
            .into());
        }
        let state = State {
            members,
            mandatory_fallback,
            fallback_policy,
            change: None,
            fallback_generation: 0,
            index: 0,
            generation: 0,
            unconfirmed: false,
            in_force: 0,
            towards: None,
            next: None,
            newest: 0,
            canary: None,
            dead: BTreeSet::new(),
        };
        let mut history = History::default();
        history.keep(0, document, Origin::Bootstrap, Some(ChangeStatus::Superseded(0)));
        Ok(Self::of(state, history))
    }

    /// With what is made of the state.
    pub(crate) fn of(state: State, history: History) -> Self {
        let (rules, held) = made(&state, &history);
        Self { state, history, rules, held }
    }

    /// Takes in the next entry. One that was taken in before does nothing.
    pub fn apply(&mut self, index: u64, bytes: &[u8]) -> Applied {
        if index <= self.state.index {
            return Applied::default();
        }
        self.state.index = index;
        let entry = match Entry::from_bytes(bytes) {
            Ok(entry) => entry,
            Err(error) => return Applied { unreadable: Some(error), ..Applied::default() },
        };
        let generation = self.state.generation;
        let answered = self.take(index, entry);
        self.advance(index);
        let changed = self.state.generation != generation;
        if changed {
            (self.rules, self.held) = made(&self.state, &self.history);
        }
        let s = &self.state;
        let needed =
            [Some(s.in_force), s.towards, s.next, Some(s.newest), s.canary.map(|t| t.before)];
        self.history.compact(&needed.into_iter().flatten().collect());
        Applied { answered, generation: changed, unreadable: None }
    }

    fn take(&mut self, index: u64, entry: Entry) -> Option<(CommandId, Result<u64, Refusal>)> {
        let id = match &entry {
            Entry::Propose(ask, _) | Entry::Rollback(ask, _) => Some(ask.id),
            Entry::FallbackPolicy(id, ..)
            | Entry::Confirm(id, _)
            | Entry::Dead(id, _)
            | Entry::Alive(id, _) => Some(*id),
            Entry::GenerationConfirmed(_)
            | Entry::FallbackPolicyConfirmed(_)
            | Entry::AutomaticRollback(..) => None,
        };
        // A question that got into the log twice was asked once.
        if let Some(known) =
            id.and_then(|id| self.history.answers.get(&id).map(|a| (id, a.outcome.clone())))
        {
            return Some(known);
        }
        let outcome = match entry {
            Entry::Propose(ask, document) => {
                let origin = Origin::Proposed(ask.id);
                document
                    .check()
                    .map_err(|e| Refusal::Document(e.to_string()))
                    .and_then(|()| self.revise(index, &ask, *document, origin))
            }
            Entry::Rollback(ask, to) => match self.kept(to) {
                Ok(kept) => {
                    let (document, origin) =
                        ((*kept.document).clone(), Origin::Rollback(ask.id, to));
                    self.revise(index, &ask, document, origin)
                }
                Err(refusal) => Err(refusal),
            },
            Entry::FallbackPolicy(_, fallback_policy, facts) => {
                self.fallback_policy(index, fallback_policy, &facts)
            }
            Entry::Confirm(_, number) => self.confirm(number),
            Entry::Dead(_, member) => self.member(member, true).map(|()| index),
            Entry::Alive(_, member) => self.member(member, false).map(|()| index),
            Entry::GenerationConfirmed(generation) => {
                self.state.unconfirmed &= generation != self.state.generation;
                return None;
            }
            Entry::FallbackPolicyConfirmed(fallback_generation) => {
                let current = fallback_generation == self.state.fallback_generation;
                if let Some(change) = self.state.change.as_mut().filter(|c| c.begun && current) {
                    change.confirmed = true;
                }
                return None;
            }
            Entry::AutomaticRollback(number, why) => {
                if let Some(canary) = self.state.canary.filter(|t| t.revision == number)
                    && let Ok(before) = self.kept(canary.before)
                {
                    let document = (*before.document).clone();
                    self.accept(index, document, Origin::AutomaticRollback(number, why));
                    self.state.canary = None;
                }
                return None;
            }
        };
        let id = id?;
        self.history.answer(id, ProposalResult { index, outcome: outcome.clone() });
        Some((id, outcome))
    }

    /// A revision that is kept.
    ///
    /// # Errors
    /// Which are.
    pub fn kept(&self, number: u64) -> Result<&RetainedRevision, Refusal> {
        let edge = |n: Option<&u64>| n.copied().unwrap_or(0);
        self.history.kept.get(&number).ok_or_else(|| Refusal::Unknown {
            number,
            oldest: edge(self.history.kept.keys().next()),
            newest: edge(self.history.kept.keys().next_back()),
        })
    }

    fn base(&self, base: Option<u64>) -> Result<(), Refusal> {
        let newest = self.state.newest;
        let Some(base) = base.filter(|b| *b != newest) else { return Ok(()) };
        let first =
            self.history.kept.range(base.saturating_add(1)..).next().map_or(newest, |(n, _)| *n);
        Err(Refusal::Lost { base, first, newest })
    }

    /// What can't be forbidden: from the moment on at which a change of it was asked for.
    fn floor(&self) -> FallbackFloor {
        let to = self.state.change.as_ref().map_or(&self.state.fallback_policy, |c| &c.to);
        FallbackFloor::either(self.state.fallback_policy.clone(), to.clone())
    }

    fn fleet_conflicts(&self, document: &Document, facts: &Facts) -> Vec<FleetConflict> {
        facts.fleet_conflicts(&Rules::of(document.clone(), Arc::new(self.floor())))
    }

    fn revise(
        &mut self,
        index: u64,
        ask: &ProposalOptions,
        document: Document,
        origin: Origin,
    ) -> Result<u64, Refusal> {
        self.base(ask.base)?;
        if let Some(terms) = ask.canary.filter(|t| !t.is_valid()) {
            return Err(Refusal::CanaryTerms(terms));
        }
        let against = self.fleet_conflicts(&document, &ask.facts);
        if let Some(misfit) = against.into_iter().find(|m| !(ask.forced && m.is_overridable())) {
            return Err(Refusal::FleetConflict(misfit));
        }
        // Whoever builds on a revision that is on trial has accepted it, unless this one is on trial as well:
        // then both go back to what was there before either.
        let before = self.state.canary.map_or(self.state.newest, |t| t.before);
        self.state.canary = ask.canary.map(|terms| CanaryStatus { revision: index, before, terms });
        self.accept(index, document, origin);
        Ok(index)
    }

    /// It is the newest, and the next to come into force.
    fn accept(&mut self, number: u64, document: Document, origin: Origin) {
        self.history.keep(number, document, origin, None);
        if let Some(passed_over) =
            self.state.next.replace(number).and_then(|n| self.history.kept.get_mut(&n))
        {
            passed_over.change_status = Some(ChangeStatus::Skipped(number));
        }
        self.state.newest = number;
    }

    fn confirm(&mut self, number: u64) -> Result<u64, Refusal> {
        let on_trial = self.state.canary.is_some_and(|t| t.revision == number);
        if !on_trial {
            return Err(Refusal::NotOnCanary { number });
        }
        self.state.canary = None;
        Ok(number)
    }

    fn member(&mut self, member: NodeId, dead: bool) -> Result<(), Refusal> {
        if member.0 >= self.state.members {
            return Err(Refusal::UnknownNode { member: member.0, members: self.state.members });
        }
        if dead {
            self.state.dead.insert(member.0)
        } else {
            self.state.dead.remove(&member.0)
        };
        Ok(())
    }

    fn fallback_policy(
        &mut self,
        index: u64,
        to: FallbackPolicy,
        facts: &Facts,
    ) -> Result<u64, Refusal> {
        if let Some(change) = &mut self.state.change {
            // Given again, the old one takes the place of the new: what both allow is allowed by it.
            if to != self.state.fallback_policy {
                return Err(Refusal::Changing { since: change.since });
            }
            if change.begun {
                // What is in force until the next stage is made of both, still.
                (change.withdrawn, change.confirmed) = (true, true);
            } else {
                self.state.change = None;
            }
            return Ok(index);
        }
        to.check(&self.state.mandatory_fallback)?;
        facts.check()?;
        for name in to.except.difference(&self.state.fallback_policy.except) {
            // Of whom the list knows nothing, nobody can say that the bedrock doesn't hold it.
            let cell = facts.named.get(name).map(|(cell, _)| *cell);
            if cell.is_none_or(|cell| self.state.mandatory_fallback.cells.contains(&cell)) {
                return Err(FallbackPolicyError::MandatoryFallback {
                    what: format!("upstream `{name}`"),
                }
                .into());
            }
        }
        let floor = FallbackFloor::of(to.clone());
        let s = &self.state;
        let all = [Some(s.in_force), s.towards, s.next, Some(s.newest), s.canary.map(|t| t.before)];
        for kept in all.into_iter().flatten().filter_map(|n| self.history.kept.get(&n)) {
            if let Some(misfit) =
                facts.fallback_conflicts(&kept.document, &floor).into_iter().next()
            {
                return Err(Refusal::FleetConflict(misfit));
            }
        }
        if to != self.state.fallback_policy {
            self.state.change =
                Some(Change { to, since: index, begun: false, confirmed: false, withdrawn: false });
        }
        Ok(index)
    }

    /// Begins what waits, once nobody acts on an older stage. One change of what is in force a time: so of
    /// the rules that anybody acts on at one moment, each allows all that another does, or nothing more.
    fn advance(&mut self, index: u64) {
        let s = &mut self.state;
        if s.unconfirmed {
            return;
        }
        if let Some(to) = s.towards.take() {
            s.in_force = to;
            if let Some(kept) = self.history.kept.get_mut(&to) {
                kept.change_status = Some(ChangeStatus::Superseded(index));
            }
        } else if let Some(change) = s.change.as_mut().filter(|c| !c.begun) {
            change.begun = true;
            s.fallback_generation = index;
        } else if let Some(change) = s.change.take_if(|c| c.confirmed) {
            if !change.withdrawn {
                s.fallback_policy = change.to;
            }
            s.fallback_generation = index;
        } else if let Some(next) = s.next.take() {
            s.towards = Some(next);
        } else {
            return;
        }
        s.generation = index;
        s.unconfirmed = true;
    }

    /// Where it has got to.
    pub fn status(&self) -> PolicyStatus {
        let s = &self.state;
        let change = s.change.as_ref();
        PolicyStatus {
            index: s.index,
            generation: s.generation,
            unconfirmed: s.unconfirmed,
            rules: self.rules.clone(),
            revision: s.in_force,
            towards: s.towards,
            fallback_policy: self.held.clone(),
            fallback_generation: s.fallback_generation,
            awaited: change.is_some_and(|c| c.begun && !c.confirmed),
            dead: s.dead.iter().map(|m| NodeId(*m)).collect(),
            members: s.members,
            canary: s.canary.filter(|t| t.revision == s.in_force),
        }
    }

    /// The newest revision, in force or not: what a proposal is made against.
    pub fn newest(&self) -> u64 {
        self.state.newest
    }

    /// What was answered to a question; `None`: it is not in the log, or more than
    /// [`MAX_RESULTS`](crate::history::MOST_ANSWERS) came after it.
    pub fn answer(&self, id: CommandId) -> Option<&ProposalResult> {
        self.history.answers.get(&id)
    }

    /// What became of a revision that is kept.
    pub fn change_status(&self, number: u64) -> Option<ChangeStatus> {
        let kept = self.history.kept.get(&number)?;
        let s = &self.state;
        Some(match kept.change_status {
            _ if number == s.in_force => ChangeStatus::InForce,
            _ if Some(number) == s.towards => ChangeStatus::Restricting,
            Some(change_status) => change_status,
            None => ChangeStatus::Pending,
        })
    }

    /// All that are kept, the oldest first.
    pub fn revisions(&self) -> impl DoubleEndedIterator<Item = (u64, &RetainedRevision)> {
        self.history.kept.iter().map(|(n, k)| (*n, k))
    }

    /// What a document would change against the newest revision, and what speaks against it. Nothing is done.
    ///
    /// # Errors
    /// A document that is none.
    pub fn dry_run(&self, document: &Document, facts: &Facts) -> Result<Difference, Refusal> {
        document.check().map_err(|e| Refusal::Document(e.to_string()))?;
        let now = &self.kept(self.state.newest)?.document;
        Ok(Difference::of(now, document, &self.fleet_conflicts(document, facts)))
    }

    /// What going back to a revision would change.
    ///
    /// # Errors
    /// One that is not kept.
    pub fn dry_rollback(&self, to: u64, facts: &Facts) -> Result<Difference, Refusal> {
        self.dry_run(&self.kept(to)?.document, facts)
    }
}

/// The rules in force, and the charter that balancers keep to whose lease has ended.
fn made(s: &State, history: &History) -> (Arc<Rules>, Arc<FallbackPolicy>) {
    let begun = s.change.as_ref().filter(|c| c.begun);
    let floor = Arc::new(match begun {
        Some(change) => FallbackFloor::either(s.fallback_policy.clone(), change.to.clone()),
        None => FallbackFloor::of(s.fallback_policy.clone()),
    });
    let held = begun
        .map_or_else(|| s.fallback_policy.clone(), |change| s.fallback_policy.meet(&change.to));
    // Those in force are never dropped; a snapshot that lacks them is refused.
    let said = |n: u64| history.kept.get(&n).map(|k| (*k.document).clone()).unwrap_or_default();
    let old = Rules::of(said(s.in_force), floor.clone());
    let rules = match s.towards {
        Some(to) => Rules::narrow(&old, &Rules::of(said(to), floor)),
        None => old,
    };
    (Arc::new(rules), Arc::new(held))
}
