//! Each balancer's machine for stages, leases, confirmations and the charter. What a stage means is the
//! book's; who leads is the council's; the shell keeps what is to be kept and sends what is to be sent.

mod granted;
mod interface;
pub mod status;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};

use self::granted::Children;
pub use self::interface::{Action, Event, LeaseConfig};
use crate::canary::CanaryMetric;
use crate::entry::Entry;
use crate::fallback_policy::FallbackPolicy;
use crate::in_force::InForce;
use crate::message::{Generation, LeaseRejection, Message};
use crate::node_set::NodeSet;
use crate::policy_state::PolicyStatus;
use crate::rules::Rules;

/// No two renewals follow each other sooner: also while forty revisions a second come, words are bounded.
const MIN_RENEWAL_INTERVAL: Duration = Duration::from_millis(20);
/// A renewal without an answer is made again after so long, then twice as long, up to a renewal. Without it a
/// change takes 730 ms instead of 430 at 36 balancers with 10 % lost.
const MIN_RENEWAL_RETRY: Duration = Duration::from_millis(60);
/// What was proposed and is not in the log is proposed again.
const PROPOSAL_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Former parents that are told what was confirmed. One that is not waits for the end of the lease.
const MAX_FORMER_PARENTS: usize = 4;
/// Askings that are remembered: answers to older ones come later than a lease is long.
const MAX_PENDING_RENEWALS: usize = 32;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Parent {
    member: NodeId,
    /// When it gave something last, or became the parent.
    fed: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Leadership {
    since: Duration,
    /// Epoch and index of the last entry that it has to have applied.
    from: (u32, u64),
    round: Option<Duration>,
}

/// The machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leases {
    pub(crate) terms: LeaseConfig,
    /// The latest time it was told. Time that steps back is none.
    pub(crate) now: Duration,
    /// Its first time.
    born: Option<Duration>,
    pub(crate) at: Option<(Generation, PolicyStatus)>,
    /// The lease: the stage that it names, and its end.
    lease: Option<(Generation, Duration)>,
    /// Whether it knows which charter its former lives have confirmed, or has one that they kept.
    knows: bool,
    /// What it keeps to past its lease, and the generation of that; `None` for the bedrock.
    pub(crate) fallback_policy: (Option<Generation>, Arc<FallbackPolicy>),
    fallback_rules: Arc<Rules>,
    /// The generation that is on disk.
    kept: Option<Generation>,
    /// Who holds the charter's present generation.
    pub(crate) said: (Generation, NodeSet),
    parent: Option<Parent>,
    /// Parents before it that may still count a lease as running, and until when.
    former: Vec<(NodeId, Duration)>,
    asked: VecDeque<Duration>,
    /// There is something to say that no renewal has said.
    news: bool,
    renewed: Option<Duration>,
    /// Renewals since the last one that was answered.
    tries: u32,
    pub(crate) children: Children,
    /// What was confirmed last.
    confirmed: Generation,
    lead: Option<Leadership>,
    pub(crate) canary: Option<(u64, Duration)>,
    pub(crate) worth: Option<CanaryMetric>,
    proposed: Option<(Entry, Duration)>,
    published: Option<InForce>,
    wakes: Option<Duration>,
    /// Members that were not heard of at the present stage, since when; at the leader.
    pub(crate) missing: BTreeMap<NodeId, Duration>,
}

impl Leases {
    /// Of a process that has just started: it holds to the bedrock, or to the charter that is stored.
    pub fn new(terms: LeaseConfig) -> Self {
        let fallback_policy = match &terms.stored {
            Some((fallback_generation, fallback_policy)) => {
                (Some(*fallback_generation), Arc::new(fallback_policy.clone()))
            }
            None => (None, Arc::new(terms.mandatory_fallback.clone())),
        };
        Self {
            fallback_rules: Arc::new(Rules::of_fallback_policy(&fallback_policy.1)),
            knows: fallback_policy.0.is_some(),
            kept: fallback_policy.0,
            fallback_policy,
            terms,
            now: Duration::ZERO,
            born: None,
            at: None,
            lease: None,
            said: (Generation::default(), NodeSet::default()),
            parent: None,
            former: Vec::new(),
            asked: VecDeque::new(),
            news: false,
            renewed: None,
            tries: 0,
            children: Children::default(),
            confirmed: Generation::default(),
            lead: None,
            canary: None,
            worth: None,
            proposed: None,
            published: None,
            wakes: None,
            missing: BTreeMap::new(),
        }
    }

    /// Takes in what happened at `now` and says what to do. `now` never steps back; where it does, the latest
    /// counts.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        // To the microsecond, as in words.
        self.now = self.now.max(Duration::from_micros(micros(now)));
        let now = self.now;
        self.born.get_or_insert(now);
        self.children.forget(now);
        match event {
            Event::Applied { epoch, status } => self.applied(epoch, *status),
            Event::Parent(member) => {
                if self.parent.as_ref().map(|p| p.member) != member {
                    self.part();
                    self.parent = member.map(|member| Parent { member, fed: now });
                    self.tell();
                }
            }
            Event::Message { from, incarnation, message } => {
                self.message(from, incarnation, message, actions)
            }
            Event::Leads { since, epoch, from } => {
                self.lead = Some(Leadership { since, from: (epoch, from), round: None });
            }
            Event::Round { began } => {
                // One that began before it led was answered to another leader, and one from the future to
                // nobody.
                let lead = self.lead.as_mut().filter(|l| (l.since..=now).contains(&began));
                if let Some(lead) = lead {
                    lead.round = lead.round.max(Some(began));
                }
            }
            Event::Follows => {
                self.lead = None;
                self.missing.clear();
            }
            Event::FallbackPolicyPersisted { fallback_generation } => {
                self.kept = self.kept.max(Some(fallback_generation))
            }
            Event::CanaryMetric(worth) => self.worth = worth,
            Event::Due => {}
        }
        self.hold(actions);
        self.confirm(actions);
        self.renew(actions);
        self.propose(actions);
        self.publish(actions);
        self.wake(actions);
    }

    fn applied(&mut self, epoch: u32, status: PolicyStatus) {
        let generation = Generation { epoch, index: status.generation };
        let (last, index) =
            self.at.as_ref().map_or((Generation::default(), 0), |(s, status)| (*s, status.index));
        if self.at.is_some() && (generation < last || epoch == last.epoch && status.index < index) {
            return;
        }
        if self.at.is_none() || generation != last {
            self.children.turn();
            self.tell();
            self.missing.clear();
        }
        let canary = status.canary.map(|t| t.revision);
        if self.canary.map(|(revision, _)| revision) != canary {
            self.canary = canary.map(|revision| (revision, self.now));
        }
        self.at = Some((generation, status));
    }

    /// The parent is to know at once.
    fn tell(&mut self) {
        self.news = true;
    }

    /// The parent becomes a former one. It counts the leases that it gave, also those that were lost on their
    /// way.
    fn part(&mut self) {
        let Some(last) = self.parent.take() else { return };
        let until = self.now.saturating_add(self.terms.more(self.terms.lease));
        self.former.retain(|(m, at)| *m != last.member && *at > self.now);
        self.former.push((last.member, until));
        if self.former.len() > MAX_FORMER_PARENTS {
            self.former.remove(0);
        }
    }

    fn generation(&self) -> Generation {
        self.at.as_ref().map_or(Generation::default(), |(generation, _)| *generation)
    }

    /// Until when this balancer may act on its stage, and give leases of it.
    fn until(&self) -> Option<Duration> {
        let (generation, status) = self.at.as_ref()?;
        // What another log agreed on may not be in this one.
        let counts = |named: Generation| {
            if self.terms.exact { named == *generation } else { named.epoch == generation.epoch }
        };
        let lease = self.lease.filter(|(named, _)| counts(*named)).map(|(_, until)| until);
        // A leader that has not applied all that others may have acted on knows less than they do.
        let lead = self.lead.as_ref().filter(|l| (generation.epoch, status.index) >= l.from);
        let round = lead
            .and_then(|l| l.round)
            .map(|began| began.saturating_add(self.terms.less(self.terms.lease)));
        lease.max(round).filter(|until| self.now < *until)
    }

    fn message(
        &mut self,
        from: NodeId,
        incarnation: Incarnation,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Message::Renew { asked, generation, confirmed, here, fallback_policy } => {
                if let Some((_, members)) = fallback_policy
                    .filter(|(fallback_generation, _)| *fallback_generation == self.said.0)
                {
                    self.said.1.extend(&members);
                }
                let message = self.answer((from, incarnation), asked, generation, confirmed, here);
                actions.push(Action::Send { to: from, message });
                if generation > self.generation() {
                    actions.push(Action::Learn { from, generation });
                }
            }
            Message::Departed { confirmed } => {
                self.children.left_by((from, incarnation), confirmed)
            }
            Message::Grant { to, asked, generation, length } => {
                let asked = Duration::from_micros(asked);
                if !self.answered(from, to, asked) {
                    return;
                }
                if let Some(parent) = &mut self.parent {
                    parent.fed = self.now;
                }
                // Longer than a lease none is, whatever is said.
                let length = Duration::from_micros(length).min(self.terms.lease);
                let until = asked.saturating_add(self.terms.less(length));
                if self.at.is_some()
                    && generation.epoch == self.generation().epoch
                    && generation <= self.generation()
                {
                    let rank = |(named, until): (Generation, Duration)| {
                        (self.terms.exact.then_some(named), until)
                    };
                    let new = (generation, until);
                    self.lease =
                        Some(self.lease.filter(|old| rank(*old) >= rank(new)).unwrap_or(new));
                    // It comes from a leader's round that began in this life: whatever former lives of this
                    // process have confirmed is known there. Failure, found by thought: one without a disk
                    // confirmed a smaller charter, restarted, learned the book up to before that from a
                    // balancer that was as late, was given the rest of its lease, and was cut off with the
                    // old charter.
                    let born = self.born.unwrap_or(self.now);
                    let late = asked >= born.saturating_add(self.terms.more(self.terms.lease));
                    self.knows |= late && generation == self.generation();
                } else if generation > self.generation() {
                    actions.push(Action::Learn { from, generation });
                }
            }
            Message::LeaseRejection { to, asked, generation, why } => {
                if !self.answered(from, to, Duration::from_micros(asked)) {
                    return;
                }
                if generation > self.generation() {
                    actions.push(Action::Learn { from, generation });
                }
                match why {
                    LeaseRejection::Full => actions.push(Action::ChangeParent { than: from }),
                    // One of the two is to learn; another parent would say the same.
                    LeaseRejection::Generation => {
                        self.parent.iter_mut().for_each(|p| p.fed = self.now)
                    }
                    LeaseRejection::Lease => {}
                }
            }
        }
    }

    /// Whether this is an answer to a question of this life, to the parent of now. Each is answered once.
    fn answered(&mut self, from: NodeId, to: Incarnation, asked: Duration) -> bool {
        let parent = self.parent.as_ref().is_some_and(|p| p.member == from);
        let known = self.asked.iter().position(|a| *a == asked);
        if to != self.terms.incarnation || !parent {
            return false;
        }
        let Some(at) = known else { return false };
        self.asked.remove(at);
        if self.renewed == Some(asked) {
            self.tries = 0;
        }
        true
    }

    fn answer(
        &mut self,
        who: (NodeId, Incarnation),
        asked: u64,
        generation: Generation,
        confirmed: Generation,
        here: NodeSet,
    ) -> Message {
        let (to, mine, until, now) = (who.1, self.generation(), self.until(), self.now);
        let no = |why| Message::LeaseRejection { to, asked, generation: mine, why };
        // Two that ask each other would wait for each other.
        if self.parent.as_ref().is_some_and(|p| p.member == who.0) && self.lead.is_none() {
            return no(LeaseRejection::Full);
        }
        let Some(child) = self.children.heard(now, who, asked, generation, confirmed, here) else {
            return no(LeaseRejection::Full);
        };
        if generation != mine || self.at.is_none() {
            return no(LeaseRejection::Generation);
        }
        let Some(until) = until else { return no(LeaseRejection::Lease) };
        let left = until.saturating_sub(now);
        child.until = child.until.max(now.saturating_add(self.terms.more(left)));
        Message::Grant {
            to,
            asked,
            generation,
            length: u64::try_from(left.as_micros()).unwrap_or(0),
        }
    }

    /// Takes over the charter that the book says, where this process knows which one it held; keeps it, and
    /// says so.
    fn hold(&mut self, actions: &mut Vec<Action>) {
        let Some((generation, status)) = &self.at else { return };
        let fallback_generation =
            Generation { epoch: generation.epoch, index: status.fallback_generation };
        // A leader that has applied all that was agreed before it knows it, too.
        self.knows |= self
            .lead
            .as_ref()
            .is_some_and(|l| l.round.is_some() && (generation.epoch, status.index) >= l.from);
        if self.knows && self.fallback_policy.0 < Some(fallback_generation) {
            if self.fallback_policy.1 != status.fallback_policy {
                self.fallback_rules = Arc::new(Rules::of_fallback_policy(&status.fallback_policy));
            }
            self.fallback_policy = (Some(fallback_generation), status.fallback_policy.clone());
            if self.kept < Some(fallback_generation) {
                actions.push(Action::PersistFallbackPolicy {
                    fallback_generation,
                    fallback_policy: status.fallback_policy.clone(),
                });
            }
        }
        if self.said.0 != fallback_generation {
            self.said = (fallback_generation, NodeSet::default());
        }
        if self.fallback_policy.0 == Some(fallback_generation)
            && self.kept >= Some(fallback_generation)
        {
            self.said.1.insert(self.terms.node_id);
        }
    }

    /// Whether nobody at or under this balancer acts on an older stage than its own.
    fn confirm(&mut self, actions: &mut Vec<Action>) {
        let generation = self.generation();
        if self.at.is_some()
            && self.confirmed != generation
            && self.children.left(self.now, generation).is_ok()
        {
            self.confirmed = generation;
            self.tell();
            self.tell_former(actions);
        }
    }

    fn tell_former(&self, actions: &mut Vec<Action>) {
        let message = Message::Departed { confirmed: self.confirmed };
        let waiting = self.former.iter().filter(|(_, until)| *until > self.now);
        actions.extend(waiting.map(|(m, _)| Action::Send { to: *m, message: message.clone() }));
    }

    fn renew(&mut self, actions: &mut Vec<Action>) {
        let Some(to) = self.parent.as_ref().map(|p| p.member) else { return };
        if self.renews_at().is_none_or(|at| self.now < at) {
            return;
        }
        let now = self.now;
        self.tell_former(actions);
        (self.news, self.renewed, self.tries) = (false, Some(now), self.tries.saturating_add(1));
        self.asked.push_back(Duration::from_micros(micros(now)));
        if self.asked.len() > MAX_PENDING_RENEWALS {
            self.asked.pop_front();
        }
        let generation = self.generation();
        let awaited = self.at.as_ref().is_some_and(|(_, status)| status.awaited);
        let message = Message::Renew {
            asked: micros(now),
            generation,
            confirmed: self.confirmed,
            here: self.here(),
            fallback_policy: awaited.then_some(self.said),
        };
        actions.push(Action::Send { to, message });
        let fed = self.parent.as_ref().map_or(now, |p| p.fed);
        if self.at.is_some() && now > fed.saturating_add(self.terms.lease) {
            // Not again before as long.
            if let Some(parent) = &mut self.parent {
                parent.fed = now;
            }
            actions.push(Action::ChangeParent { than: to });
        }
    }

    /// When the parent is asked next.
    fn renews_at(&self) -> Option<Duration> {
        self.parent.as_ref()?;
        let Some(last) = self.renewed else { return Some(self.now) };
        // With little left of a lease it is worth more words.
        let left = self.until().map_or(Duration::ZERO, |until| until.saturating_sub(self.now));
        let short = left.saturating_mul(2) < self.terms.lease;
        let renewal = if short { self.terms.renewal / 3 } else { self.terms.renewal };
        let wait = match self.tries {
            _ if self.news => MIN_RENEWAL_INTERVAL,
            0 => renewal,
            tries => MIN_RENEWAL_RETRY.saturating_mul(1 << (tries - 1).min(8)),
        };
        Some(last.saturating_add(wait.min(renewal)))
    }

    /// Who at and under this balancer is at its stage.
    pub(crate) fn here(&self) -> NodeSet {
        let mut here = self.children.here(self.now, self.generation());
        here.insert(self.terms.node_id);
        here
    }

    /// What the leader proposes: that a stage is confirmed, that a charter is, that a trial has failed.
    fn propose(&mut self, actions: &mut Vec<Action>) {
        if self.lead.is_some() {
            self.note_missing();
        }
        let Some(entry) = self.due() else { return };
        let again = self.now.saturating_sub(PROPOSAL_RETRY_INTERVAL);
        if self.proposed.as_ref().is_some_and(|(e, at)| *e == entry && *at > again) {
            return;
        }
        self.proposed = Some((entry.clone(), self.now));
        actions.push(Action::Propose(entry));
    }

    fn due(&self) -> Option<Entry> {
        let (generation, status) = self.at.as_ref()?;
        let lead = self.lead.as_ref().filter(|l| (generation.epoch, status.index) >= l.from)?;
        // Leases that the leader before gave, and that nobody here knows of, have ended by then.
        let others = lead.since.saturating_add(self.terms.more(self.terms.lease));
        if status.unconfirmed && self.confirmed == *generation && self.now >= others {
            return Some(Entry::GenerationConfirmed(generation.index));
        }
        if let (Some(canary), Some((_, since))) = (status.canary, self.canary)
            && let Some(why) = canary.terms.verdict(self.now.saturating_sub(since), self.worth)
        {
            return Some(Entry::AutomaticRollback(canary.revision, why));
        }
        if !status.awaited {
            return None;
        }
        let waits = NodeSet::first(status.members).without(&status.dead).without(&self.said.1);
        waits.is_empty().then_some(Entry::FallbackPolicyConfirmed(status.fallback_generation))
    }

    /// What requests read now.
    pub fn in_force(&self) -> InForce {
        let until = self.until().unwrap_or(Duration::ZERO);
        let rules = self.at.as_ref().map_or(&self.fallback_rules, |(_, status)| &status.rules);
        InForce {
            rules: rules.clone(),
            generation: self.generation(),
            until,
            fallback_policy: self.fallback_rules.clone(),
        }
    }

    fn publish(&mut self, actions: &mut Vec<Action>) {
        let now = self.in_force();
        if self.published.as_ref() != Some(&now) {
            self.published = Some(now.clone());
            actions.push(Action::Publish(now));
        }
    }

    fn wake(&mut self, actions: &mut Vec<Action>) {
        let past = |at: Duration| at.saturating_add(Duration::from_micros(1));
        let children = self.children.left(self.now, self.generation()).err().map(past);
        let lead = self.lead.as_ref().and_then(|lead| {
            let others = lead.since.saturating_add(self.terms.more(self.terms.lease));
            let again = self
                .proposed
                .as_ref()
                .map(|(_, at)| past(at.saturating_add(PROPOSAL_RETRY_INTERVAL)));
            let canary = self.at.as_ref().and_then(|(_, s)| s.canary).zip(self.canary);
            let canary = canary.map(|(t, (_, since))| {
                since.saturating_add(Duration::from_secs(t.terms.seconds.into()))
            });
            [Some(others), again, canary].into_iter().flatten().filter(|at| *at > self.now).min()
        });
        let next = [self.renews_at(), children, lead].into_iter().flatten().min();
        if let Some(next) = next.filter(|n| self.wakes != Some(*n) || *n <= self.now) {
            self.wakes = Some(next);
            actions.push(Action::WakeAt(next));
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
