//! Requests of one balancer: who is asked where they go, how long, and what is done without an answer. Also
//! what this balancer itself sent, which it can tell when a home is lost.

use hollowpaddle_peer_transport::NodeId;

use crate::machine::{MINE, Out, PERMIT_MS, Sessions, Timer, millis, outside};
use crate::message::{KeyRecord, Message, RouteOutcome};
use crate::record_store::{KeyEntry, Ownership, ms, tick, tick_up};
use crate::{
    Action, Cell, Epoch, ExecutionStatus, Idempotency, IdempotencyKey, RoutingDecision,
    RoutingFailure, SessionId,
};

/// Requests that wait for a record at most. Beyond, they are placed at once as if nobody had answered.
const PENDING: usize = 4_096;
/// Placed requests that are not over, at most. Of those beyond nobody hears any more that they did not run.
const PLACED: usize = 16_384;
/// Copies at most.
const COPIES: usize = 8_192;
/// An asking is repeated after so long, in ms: four times within a wait, since datagrams are lost.
const ASK_AGAIN: u64 = 6;

/// A request that waits.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Pending {
    id: u64,
    session: SessionId,
    idempotency: Idempotency,
    first: bool,
    deadline: u64,
    asked: u64,
    give_up: u64,
    /// For a window's end.
    rests: bool,
    tries: usize,
    /// Allowed by this balancer itself, once a witness knows.
    allowed: Option<(Cell, Epoch)>,
}

impl Pending {
    /// Another table is in force: what was allowed under the old one is asked about anew.
    pub(crate) fn ask_anew(&mut self) {
        self.allowed = None;
    }
}

/// A request that was placed by a record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Placed {
    session: SessionId,
    key: Option<IdempotencyKey>,
    n: u32,
    until: u64,
}

/// Another's record, as long as it was lent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Copied {
    cell: Cell,
    epoch: Epoch,
    until: u64,
}

impl Sessions {
    #[allow(clippy::too_many_arguments)] // The fields of one event.
    pub(crate) fn request(
        &mut self,
        now: u64,
        id: u64,
        session: SessionId,
        idempotency: Idempotency,
        first: bool,
        deadline: u64,
        out: &mut Out,
    ) {
        let keyed = matches!(idempotency, Idempotency::Keyed(_));
        if self.cells.is_empty() {
            return self.place(id, RoutingDecision::Reject(RoutingFailure::NoCell), out);
        }
        if !self.seated(now) {
            return if keyed {
                self.place(id, RoutingDecision::Reject(RoutingFailure::NoSlot), out);
            } else {
                self.by_hash(now, id, session, deadline, out);
            };
        }
        if let Some((cell, epoch, until)) = self.at_hand(now, session).filter(|_| !keyed) {
            let n = self.number();
            return self.go(id, Placed { session, key: None, n, until }, cell, epoch, out);
        }
        let left = deadline.saturating_sub(now) / u64::from(self.config.wait_part.max(1));
        let wait = left.min(millis(self.config.wait));
        let (n, give_up) = (self.number(), now.saturating_add(wait));
        let pending = Pending {
            id,
            session,
            idempotency,
            first,
            deadline,
            asked: now,
            give_up,
            rests: false,
            tries: 0,
            allowed: None,
        };
        if wait == 0 || self.pending.len() >= PENDING {
            return self.without_record(now, &pending, out);
        }
        self.pending.insert(n, pending);
        self.asking.insert((session, n));
        self.ask_again(now, n, out);
    }

    /// Asks, or goes on without an answer.
    pub(crate) fn ask_again(&mut self, now: u64, n: u32, out: &mut Out) {
        let Some(mut pending) = self.pending.get(&n).cloned() else { return };
        if pending.rests {
            // The window has ended; this is another asking.
            self.forget(n);
            pending.rests = false;
            let Pending { id, session, idempotency, first, deadline, .. } = pending;
            return self.request(now, id, session, idempotency, first, deadline, out);
        }
        if now >= pending.give_up || !self.seated(now) {
            self.forget(n);
            return self.without_record(now, &pending, out);
        }
        let session = pending.session;
        if pending.allowed.is_some() {
            self.tell_witness(now, n, &pending, out);
        } else if let Some(home) = self.own_home(session) {
            let key =
                if let Idempotency::Keyed(key) = pending.idempotency { Some(key) } else { None };
            self.send(home, Message::RouteRequest { n, session, key, first: pending.first }, out);
        }
        if let Some(pending) = self.pending.get_mut(&n) {
            pending.tries += 1;
        }
        self.at(now.saturating_add(ASK_AGAIN).min(pending.give_up), Timer::RouteRequest(n));
    }

    fn forget(&mut self, n: u32) -> Option<Pending> {
        let pending = self.pending.remove(&n)?;
        self.asking.remove(&(pending.session, n));
        Some(pending)
    }

    /// Nobody said in time where it goes. A keyed one may have run somewhere, so it goes nowhere; others go
    /// by the hash.
    fn without_record(&mut self, now: u64, pending: &Pending, out: &mut Out) {
        if matches!(pending.idempotency, Idempotency::Keyed(_)) {
            return self.place(pending.id, RoutingDecision::Reject(RoutingFailure::NoRecord), out);
        }
        self.by_hash(now, pending.id, pending.session, pending.deadline, out);
    }

    fn by_hash(&mut self, now: u64, id: u64, session: SessionId, deadline: u64, out: &mut Out) {
        // What was last heard of the van is the better guess: its state may be there.
        let heard = self.store.get(session).map(|r| r.cell).filter(|p| self.usable(*p));
        let decision = match heard.or_else(|| self.hash(session)) {
            Some(cell) => {
                let until = outside(deadline.max(now));
                RoutingDecision::Send { cell, epoch: None, until }
            }
            None => RoutingDecision::Reject(RoutingFailure::NoCell),
        };
        self.place(id, decision, out);
    }

    fn place(&mut self, id: u64, decision: RoutingDecision, out: &mut Out) {
        match decision {
            RoutingDecision::Send { epoch: Some(_), .. } => self.counts.by_record += 1,
            RoutingDecision::Send { .. } => self.counts.by_hash += 1,
            RoutingDecision::Reject(_) => self.counts.refused += 1,
            RoutingDecision::Fail(_) => self.counts.failed += 1,
        }
        out.actions.push(Action::Route { id, decision });
    }

    fn go(&mut self, id: u64, placed: Placed, cell: Cell, epoch: Epoch, out: &mut Out) {
        let until = outside(placed.until);
        self.placing.insert((placed.session, id));
        self.placed.insert(id, placed);
        if self.placed.len() > PLACED
            && let Some((id, old)) = self.placed.pop_first()
        {
            self.placing.remove(&(old.session, id));
        }
        self.place(id, RoutingDecision::Send { cell, epoch: Some(epoch), until }, out);
    }

    /// A record or copy that can be used now, and up to when.
    pub(crate) fn at_hand(&self, now: u64, session: SessionId) -> Option<(Cell, Epoch, u64)> {
        if !self.seated(now) {
            return None;
        }
        let own = self.store.get(session).filter(|r| r.state == Ownership::Owned);
        let own = own.filter(|_| !self.leaving.contains_key(&session));
        let found = match own {
            Some(record) => {
                let until = now.saturating_add(millis(self.config.copy)).min(self.until);
                (record.cell, record.epoch, until)
            }
            None => {
                let copy = self.copies.get(&session).filter(|c| now < c.until.min(self.until))?;
                (copy.cell, copy.epoch, copy.until.min(self.until))
            }
        };
        self.usable(found.0).then_some(found)
    }

    pub(crate) fn on_answer(
        &mut self,
        now: u64,
        from: NodeId,
        n: u32,
        outcome: RouteOutcome,
        out: &mut Out,
    ) {
        let Some(pending) = self.pending.get_mut(&n) else { return };
        if pending.rests || pending.allowed.is_some() {
            return;
        }
        match outcome {
            RouteOutcome::Send { cell, epoch, copy } => {
                // The holder's end is earlier than the giver's: it counts from the asking, and a hundredth
                // less.
                let length = |ms: u64| ms - ms / 100;
                let copied = pending.asked.saturating_add(length(u64::from(copy))).min(self.until);
                let (session, node_id) = (pending.session, self.config.node_id);
                if copy > 0 && from != node_id && now < copied {
                    self.take_copy(session, Copied { cell, epoch, until: copied });
                }
                let Some(pending) = self.pending.get_mut(&n) else { return };
                if from == node_id && matches!(pending.idempotency, Idempotency::Keyed(_)) {
                    pending.allowed = Some((cell, epoch));
                    let pending = pending.clone();
                    if self.witnesses(session).is_empty() {
                        self.allowed(now, n, cell, epoch, out);
                    } else {
                        self.tell_witness(now, n, &pending, out);
                    }
                    return;
                }
                self.allowed(now, n, cell, epoch, out);
            }
            RouteOutcome::Busy { ms } => {
                let again = now.saturating_add(ms);
                let needed = again + millis(self.config.wait) + PERMIT_MS;
                if needed <= pending.deadline {
                    pending.rests = true;
                    self.at(again, Timer::RouteRequest(n));
                } else if let Some(pending) = self.forget(n) {
                    self.place(
                        pending.id,
                        RoutingDecision::Fail(RoutingFailure::MayHaveExecuted),
                        out,
                    );
                }
            }
            RouteOutcome::Full => {
                if let Some(pending) = self.forget(n) {
                    self.place(pending.id, RoutingDecision::Reject(RoutingFailure::Full), out);
                }
            }
        }
    }

    /// It may go. A keyed one is noted first: it may have run from here on.
    fn allowed(&mut self, now: u64, n: u32, cell: Cell, epoch: Epoch, out: &mut Out) {
        let Some(pending) = self.forget(n) else { return };
        let (session, id) = (pending.session, pending.id);
        let Idempotency::Keyed(key) = pending.idempotency else {
            let copy = self.copies.get(&session).map(|c| c.until);
            let until = copy.unwrap_or(now.saturating_add(PERMIT_MS)).min(self.until);
            return self.go(id, Placed { session, key: None, n, until }, cell, epoch, out);
        };
        let until = pending.asked.saturating_add(PERMIT_MS - PERMIT_MS / 100).min(self.until);
        if now >= until {
            return self.without_record(now, &pending, out);
        }
        let free = tick_up(until.saturating_add(self.age));
        if !self.speak(now, session, key, cell, free) {
            return self.place(id, RoutingDecision::Fail(RoutingFailure::MayHaveExecuted), out);
        }
        if !self.is_home(session) {
            let (run, window) = (millis(self.config.run), millis(self.config.window));
            let free = tick_up(until.saturating_add(run).saturating_add(window));
            let by = self.config.node_id;
            let note = KeyEntry { first: tick(pending.asked), free, ask: n, by, cell };
            if !self.keep_mine(now, session, key, note) {
                return self.place(id, RoutingDecision::Reject(RoutingFailure::Full), out);
            }
        }
        self.go(id, Placed { session, key: Some(key), n, until }, cell, epoch, out);
    }

    /// Notes where a key goes, whoever's it is. The same one under another van may have run in another pod:
    /// records don't tell, since they are found by the van, but what went out from here is known here.
    fn speak(
        &mut self,
        now: u64,
        session: SessionId,
        key: IdempotencyKey,
        cell: Cell,
        free: u32,
    ) -> bool {
        self.sweep(now);
        if let Some((van, at, end)) = self.spoken.get(&key).copied() {
            if van != session && at != cell && end > tick(now) {
                return false;
            }
            self.spoken_end.remove(&(end, key));
        }
        if self.spoken.len() >= MINE
            && let Some((_, eldest)) = self.spoken_end.pop_first()
        {
            // A second line only: what is forgotten here matters to a key with two vans.
            self.spoken.remove(&eldest);
        }
        self.spoken_end.insert((free, key));
        self.spoken.insert(key, (session, cell, free));
        true
    }

    fn take_copy(&mut self, session: SessionId, copied: Copied) {
        self.drop_copy(session);
        if self.copies.len() >= COPIES
            && let Some((_, first)) = self.copies_end.pop_first()
        {
            self.copies.remove(&first);
        }
        self.copies_end.insert((copied.until, session));
        self.copies.insert(session, copied);
    }

    fn drop_copy(&mut self, session: SessionId) {
        if let Some(old) = self.copies.remove(&session) {
            self.copies_end.remove(&(old.until, session));
        }
    }

    fn witnesses(&self, session: SessionId) -> Vec<NodeId> {
        self.zone()
            .map_or(Vec::new(), |zone| self.table.witnesses(session, zone, self.config.node_id))
    }

    /// A home that sends by itself would be the only one to know: another balancer of the site must know,
    /// too.
    fn tell_witness(&mut self, now: u64, n: u32, pending: &Pending, out: &mut Out) {
        let Idempotency::Keyed(key) = pending.idempotency else { return };
        let Some(note) = self.store.note(pending.session, key) else { return };
        let note = KeyRecord {
            key,
            cell: note.cell,
            first_permit_ago: now.saturating_sub(ms(note.first)),
            expires_in: ms(note.free).saturating_sub(now),
        };
        let all = self.witnesses(pending.session);
        // Another one each time: one that is down must not keep this van waiting.
        if let Some(to) = all.get(pending.tries % all.len().max(1)) {
            self.send(*to, Message::Replicate { n, session: pending.session, note }, out);
        }
    }

    pub(crate) fn on_keep(
        &mut self,
        now: u64,
        from: NodeId,
        n: u32,
        session: SessionId,
        message: KeyRecord,
        out: &mut Out,
    ) {
        let free = tick_up(now.saturating_add(message.expires_in));
        // When it was first sent is not known here: not lately enough to be sent again.
        let note = KeyEntry { first: 0, free, ask: 0, by: from, cell: message.cell };
        if self.keep_mine(now, session, message.key, note) {
            self.send(from, Message::ReplicateAck { n }, out);
        }
    }

    pub(crate) fn on_kept(&mut self, now: u64, n: u32, out: &mut Out) {
        let Some(pending) = self.pending.get_mut(&n) else { return };
        let Some((cell, epoch)) = pending.allowed.take() else { return };
        // The record may have been sealed meanwhile: then it is asked about anew.
        let record = self.store.get(pending.session).filter(|r| r.state == Ownership::Owned);
        if record.is_some_and(|r| r.epoch == epoch) && !self.leaving.contains_key(&pending.session)
        {
            self.allowed(now, n, cell, epoch, out);
        }
    }

    fn keep_mine(
        &mut self,
        now: u64,
        session: SessionId,
        key: IdempotencyKey,
        note: KeyEntry,
    ) -> bool {
        self.sweep(now);
        if let Some(old) = self.mine.get_mut(&(session, key)) {
            self.mine_end.remove(&(old.free, session, key));
            old.merge(note);
            self.mine_end.insert((old.free, session, key));
            return true;
        }
        if self.mine.len() >= MINE {
            return false;
        }
        self.mine_end.insert((note.free, session, key));
        self.mine.insert((session, key), note);
        true
    }

    /// Forgets what has aged, a little at a time.
    pub(crate) fn sweep(&mut self, now: u64) {
        for _ in 0..32 {
            let over = self.mine_end.first().copied().filter(|(free, ..)| *free <= tick(now));
            let Some((free, session, key)) = over else { break };
            self.mine_end.remove(&(free, session, key));
            self.mine.remove(&(session, key));
        }
        for _ in 0..32 {
            let over = self.spoken_end.first().copied().filter(|(free, _)| *free <= tick(now));
            let Some((free, key)) = over else { break };
            self.spoken_end.remove(&(free, key));
            self.spoken.remove(&key);
        }
        for _ in 0..32 {
            let over = self.copies_end.first().copied().filter(|(until, _)| *until <= now);
            let Some((until, session)) = over else { break };
            self.copies_end.remove(&(until, session));
            self.copies.remove(&session);
        }
    }

    pub(crate) fn sent(&mut self, now: u64, id: u64, out: &mut Out) {
        let Some(session) = self.placed.get(&id).map(|p| p.session) else { return };
        self.placing.remove(&(session, id));
        if self.placed.get(&id).is_some_and(|p| p.key.is_none()) {
            self.placed.remove(&id);
        }
        if self.leaving.contains_key(&session) {
            self.try_hand(now, session, out);
        }
    }

    pub(crate) fn ended(&mut self, now: u64, id: u64, status: ExecutionStatus, out: &mut Out) {
        self.sent(now, id, out);
        let Some(placed) = self.placed.remove(&id) else { return };
        let (Some(key), ExecutionStatus::NotExecuted) = (placed.key, status) else { return };
        let (node_id, n, session) = (self.config.node_id, placed.n, placed.session);
        if let Some(note) = self.mine.get(&(session, key)).filter(|m| (m.by, m.ask) == (node_id, n))
        {
            self.mine_end.remove(&(note.free, session, key));
            self.mine.remove(&(session, key));
        }
        if let Some(home) = self.own_home(session) {
            self.send(home, Message::AttemptNotRun { n, session, key }, out);
        }
    }

    /// Whether something of this van was placed and may still go out.
    pub(crate) fn outstanding(&self, now: u64, session: SessionId) -> bool {
        let of_it = self.placing.range((session, 0)..=(session, u64::MAX));
        of_it.filter_map(|(_, id)| self.placed.get(id)).any(|p| now < p.until)
    }

    pub(crate) fn on_withdraw(
        &mut self,
        now: u64,
        from: NodeId,
        session: SessionId,
        epoch: Epoch,
        out: &mut Out,
    ) {
        if self.copies.get(&session).is_some_and(|c| c.epoch <= epoch) {
            self.drop_copy(session);
        }
        // Answers to what was asked so far may be on their way, under the epoch that ends: they count no
        // more.
        let asked: Vec<u32> =
            self.asking.range((session, 0)..=(session, u32::MAX)).map(|(_, n)| *n).collect();
        for n in asked {
            if self.pending.get(&n).is_some_and(|p| p.rests || p.allowed.is_some()) {
                continue;
            }
            if let Some(pending) = self.forget(n) {
                let n = self.number();
                self.at(now.saturating_add(ASK_AGAIN).min(pending.give_up), Timer::RouteRequest(n));
                self.pending.insert(n, Pending { asked: now, ..pending });
                self.asking.insert((session, n));
            }
        }
        if !self.outstanding(now, session) {
            self.send(from, Message::RevokeAck { session, epoch }, out);
        }
    }
}
