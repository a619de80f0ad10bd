//! What a home does: it owns records, allows what is sent under them, and moves them between sites. The move,
//! in words:
//!
//! 1. A home that is asked about a van it has no record of asks (`ClaimRequest`) the homes of all other sites.
//! 2. The owner seals: it allows nothing more, and takes back what it lent (`Revoke`, `RevokeAck`), or
//!    waits until that has ended.
//! 3. It hands over (`Transfer`) all that it knows under the next epoch, again and again, until the new one has
//!    said `TransferAck`. What stays is a tomb: it tells what it knew, and owns nothing.
//! 4. A home that has no record says so (`NoRecord`), with what it knows. If it asks for the same van itself,
//!    the site that goes first for this van gets an answer, and the other begins to ask anew: **who answers
//!    `NoRecord` voids its own question** (Ricart and Agrawala 1981, with sites for processes). So of two that
//!    both know nothing, one owns.
//! 5. Whoever has heard all others owns.

use std::collections::BTreeSet;

use hollowpaddle_peer_transport::NodeId;

use crate::machine::{AGAIN, Out, PERMIT_MS, Sessions, Timer, millis};
use crate::message::{Message, RouteOutcome, SessionRecord};
use crate::ownership_table::precedes;
use crate::record_store::{KeyEntry, Ownership, UNKNOWN_CELL, ms, tick, tick_up};
use crate::{Cell, Epoch, IdempotencyKey, OwnerSlot, SessionId, Zone};

/// Copies out and rights to send at a time, at most: those beyond wait for some to end.
const LENT: usize = 8_192;
/// Those that wait for one record at most; others ask again by themselves.
const WAITERS: usize = 8;
/// Moves that wait for room. The eldest is dropped: whoever asked for it has gone on without.
const WAITING: usize = 1_024;

/// Somebody who wants to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Waiter {
    from: NodeId,
    n: u32,
    key: Option<IdempotencyKey>,
    first: bool,
}

/// A record that this home asks others for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct OwnershipClaim {
    ask: u32,
    asked: u64,
    answered: BTreeSet<Zone>,
    floor: Epoch,
    /// The highest epoch that was known when this round of asking began.
    base: Epoch,
    waiters: Vec<Waiter>,
}

/// A record that this home gives away.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct OutgoingTransfer {
    pub to: OwnerSlot,
    ask: u32,
    pub epoch: Epoch,
    pub handed: bool,
    /// Of the table under which it began: what is left of an older one must be settled first.
    pub version: u64,
}

impl Sessions {
    #[allow(clippy::too_many_arguments)] // The fields of one word.
    pub(crate) fn on_ask(
        &mut self,
        now: u64,
        from: NodeId,
        n: u32,
        session: SessionId,
        key: Option<IdempotencyKey>,
        first: bool,
        out: &mut Out,
    ) {
        let near = self.table.slot(from).map(|s| s.zone) == self.zone();
        if !near || !self.is_home(session) || self.leaving.contains_key(&session) {
            return;
        }
        let waiter = Waiter { from, n, key, first };
        if self.store.get(session).is_none_or(|r| r.state != Ownership::Owned) {
            return self.find(now, session, Some(waiter));
        }
        let room = self.permits.len() < LENT || self.permits.contains_key(&(session, from));
        if from != self.config.node_id && !room {
            self.permits.retain(|_, until| *until > now);
            return;
        }
        if let Some(outcome) = self.say(now, session, waiter) {
            if let (RouteOutcome::Send { .. }, true) = (outcome, from != self.config.node_id) {
                let copy = millis(self.config.copy).max(PERMIT_MS);
                let until = now.saturating_add(copy + copy.div_ceil(100));
                self.permits.insert((session, from), until);
            }
            self.send(from, Message::RouteResponse { n, outcome }, out);
        }
    }

    /// What the owner says to one who wants to send; `None`: nothing, no pod is in force.
    fn say(&mut self, now: u64, session: SessionId, waiter: Waiter) -> Option<RouteOutcome> {
        let hash = self.hash(session);
        let record = *self.store.get(session)?;
        // Its pod is out: another one for all that is new.
        let cell = if self.usable(record.cell) { record.cell } else { hash? };
        // There is such a record, so there is room for it.
        let _ = self.store.change(now, session, hash, |r| r.cell = cell);
        let copy = u32::try_from(millis(self.config.copy)).unwrap_or(0);
        let go = |cell| Some(RouteOutcome::Send { cell, epoch: record.epoch, copy });
        let Some(key) = waiter.key else { return go(cell) };
        let (run, window) = (millis(self.config.run), millis(self.config.window));
        // Rights end at the holder's clock earlier than here.
        let sent_by = now.saturating_add(PERMIT_MS + PERMIT_MS.div_ceil(100));
        let free = tick_up(sent_by.saturating_add(run).saturating_add(window));
        if let Some(note) = self.store.note(session, key).copied().filter(|n| n.free > tick(now)) {
            // The pod must still remember when this one runs.
            let remembers = ms(note.first).saturating_add(window);
            if !self.usable(note.cell) || sent_by.saturating_add(run) > remembers {
                return Some(RouteOutcome::Busy { ms: ms(note.free).saturating_sub(now) });
            }
            let sole = (note.by, note.ask) == (waiter.from, waiter.n);
            self.store.renew(now, session, key, free, if sole { waiter.n } else { 0 });
            // A copy says where new ones go; this one may go elsewhere.
            return Some(RouteOutcome::Send {
                cell: note.cell,
                epoch: record.epoch,
                copy: if note.cell == cell { copy } else { 0 },
            });
        }
        if record.blind > tick(now) && !waiter.first {
            return Some(RouteOutcome::Busy { ms: ms(record.blind).saturating_sub(now) });
        }
        let note = KeyEntry { first: tick(now), free, ask: waiter.n, by: waiter.from, cell };
        match self.store.add_note(now, session, key, note) {
            Ok(()) => go(cell),
            Err(_) => Some(RouteOutcome::Full),
        }
    }

    /// Begins to ask for a record, or lets one more wait for it.
    pub(crate) fn find(&mut self, now: u64, session: SessionId, waiter: Option<Waiter>) {
        if let Some(finding) = self.findings.get_mut(&session) {
            if let Some(waiter) = waiter {
                let same = |w: &Waiter| (w.from, w.n) == (waiter.from, waiter.n);
                if finding.waiters.len() < WAITERS && !finding.waiters.iter().any(same) {
                    finding.waiters.push(waiter);
                }
            }
            return;
        }
        if self.findings.len() >= self.config.moves {
            // The newest need first. What had room before its turn came is asked again by whoever waits.
            if !self.waiting.contains(&session) {
                self.waiting.push_back(session);
            }
            if self.waiting.len() > WAITING {
                self.waiting.pop_front();
                self.counts.dropped_claims += 1;
            }
            return;
        }
        self.begin(now, session, waiter);
    }

    /// The first words go with the timer, at once.
    fn begin(&mut self, now: u64, session: SessionId, waiter: Option<Waiter>) {
        let (ask, waiters) = (self.number(), waiter.into_iter().collect());
        let answered = BTreeSet::new();
        let known = self.store.get(session).map_or(Epoch::default(), |r| r.epoch);
        let base = self.store.floor.max(known);
        let finding = OwnershipClaim { ask, asked: now, answered, floor: base, base, waiters };
        self.findings.insert(session, finding);
        self.at(now, Timer::Find(session));
    }

    pub(crate) fn find_again(&mut self, now: u64, session: SessionId, out: &mut Out) {
        let Some(finding) = self.findings.get(&session) else { return };
        let (ask, own) = (finding.ask, self.zone());
        let floor =
            self.store.floor.max(self.store.get(session).map_or(Epoch::default(), |r| r.epoch));
        let open = self.table.zones().filter(|s| Some(*s) != own && !finding.answered.contains(s));
        let homes: Vec<NodeId> = open.filter_map(|zone| self.table.home(session, zone)).collect();
        if homes.is_empty() {
            return self.try_own(now, session, out);
        }
        let arrived = self.store.get(session).is_some_and(|r| r.state == Ownership::Received);
        for home in homes {
            self.send(home, Message::ClaimRequest { ask, session, floor, arrived }, out);
        }
        self.at(now.saturating_add(AGAIN), Timer::Find(session));
    }

    /// Owns, if all that must be heard has been.
    pub(crate) fn try_own(&mut self, now: u64, session: SessionId, out: &mut Out) {
        let Some(finding) = self.findings.get(&session) else { return };
        let own = self.zone();
        let all = self.table.zones().all(|s| Some(s) == own || finding.answered.contains(&s));
        if !all || !self.pulls.is_empty() || !self.seated(now) {
            return;
        }
        // Of three sites, one may have said that it has nothing, and then have been handed the record by
        // another that says so since: that one knows a higher epoch. Then all are asked once more.
        if finding.floor > finding.base && self.table.zones().count() > 2 {
            let ask = self.number();
            if let Some(finding) = self.findings.get_mut(&session) {
                (finding.ask, finding.asked, finding.base) = (ask, now, finding.floor);
                finding.answered.clear();
            }
            return self.at(now, Timer::Find(session));
        }
        let Some(finding) = self.findings.remove(&session) else { return };
        let hash = self.hash(session);
        let record = self.store.get(session).copied();
        let arrived = record.is_some_and(|r| r.state == Ownership::Received);
        let doubt = if arrived { 0 } else { self.losses.doubt(session, self.age) };
        let known = record.map_or(Epoch::default(), |r| r.epoch);
        let above = finding.floor.max(self.store.floor).max(known);
        let above = above.max(Epoch::of_table(self.table.version));
        let usable: Vec<Cell> = self.cells.iter().map(|w| w.cell).collect();
        let owned = self.store.change(now, session, hash, |r| {
            r.epoch = if arrived { r.epoch } else { above.next() };
            r.cell = if usable.contains(&r.cell) { r.cell } else { hash.unwrap_or(UNKNOWN_CELL) };
            r.blind = r.blind.max(tick_up(doubt));
            r.state = Ownership::Owned;
        });
        for waiter in finding.waiters {
            let Waiter { from, n, key, first } = waiter;
            match owned {
                Ok(()) => self.on_ask(now, from, n, session, key, first, out),
                // Without a record nobody could say later where it ran.
                Err(_) if key.is_some() => {
                    self.send(from, Message::RouteResponse { n, outcome: RouteOutcome::Full }, out)
                }
                Err(_) => {}
            }
        }
        while self.findings.len() < self.config.moves
            && let Some(next) = self.waiting.pop_back()
        {
            let open = self.store.get(next).is_none_or(|r| r.state != Ownership::Owned);
            if open && self.is_home(next) && !self.findings.contains_key(&next) {
                self.begin(now, next, None);
            }
        }
    }

    /// Whether a word about a van comes from its home at another site, and is for its home here.
    fn between_homes(&self, from: NodeId, session: SessionId) -> Option<OwnerSlot> {
        let slot = *self.table.slot(from)?;
        let is =
            Some(slot.zone) != self.zone() && self.table.home(session, slot.zone) == Some(from);
        (is && self.is_home(session)).then_some(slot)
    }

    pub(crate) fn on_want(
        &mut self,
        now: u64,
        from: NodeId,
        ask: u32,
        session: SessionId,
        (floor, arrived): (Epoch, bool),
        out: &mut Out,
    ) {
        let Some(slot) = self.between_homes(from, session) else { return };
        let version = self.table.version;
        if let Some(leaving) = self.leaving.get_mut(&session) {
            if leaving.to == slot {
                leaving.ask = ask;
            }
            return;
        }
        match self.store.get(session).map(|r| (r.state, r.epoch)) {
            Some((Ownership::Owned, epoch)) => {
                let epoch = epoch.max(floor).next();
                let leaving = OutgoingTransfer { to: slot, ask, epoch, handed: false, version };
                self.leaving.insert(session, leaving);
                self.store.hold(now, session, now.saturating_add(self.age));
                self.withdraw(now, session, out);
                self.try_hand(now, session, out);
                self.at(now.saturating_add(AGAIN), Timer::Leave(session));
            }
            Some((Ownership::Received, _)) => {}
            _ if !self.pulls.is_empty() => {}
            _ => {
                if self.findings.contains_key(&session) {
                    // Whoever has the record already goes before all: there is one such at most.
                    if !arrived && self.zone().is_some_and(|own| precedes(session, own, slot.zone))
                    {
                        return;
                    }
                    let ask = self.number();
                    if let Some(finding) = self.findings.get_mut(&session) {
                        finding.ask = ask;
                        finding.asked = now;
                        finding.answered.clear();
                    }
                    self.at(now.saturating_add(AGAIN), Timer::Find(session));
                }
                let floor = self.store.floor;
                let session_record = self.store.session_record(now, session);
                self.send(from, Message::NoRecord { ask, floor, session_record }, out);
            }
        }
    }

    fn withdraw(&mut self, now: u64, session: SessionId, out: &mut Out) {
        let Some(epoch) = self.store.get(session).map(|r| r.epoch) else { return };
        let of_it = (session, NodeId(0))..=(session, NodeId(u16::MAX));
        let permits: Vec<(NodeId, u64)> =
            self.permits.range(of_it).map(|((_, to), until)| (*to, *until)).collect();
        for (to, until) in permits {
            // One that has lost its seat may use nothing any more.
            if until <= now || self.table.slot(to).is_none() {
                self.permits.remove(&(session, to));
            } else {
                self.send(to, Message::Revoke { session, epoch }, out);
            }
        }
    }

    pub(crate) fn on_withdrawn(
        &mut self,
        now: u64,
        from: NodeId,
        session: SessionId,
        epoch: Epoch,
        out: &mut Out,
    ) {
        let sealed = self.leaving.contains_key(&session);
        if sealed && self.store.get(session).is_some_and(|r| r.epoch == epoch) {
            self.permits.remove(&(session, from));
            self.try_hand(now, session, out);
        }
    }

    /// Hands over once nothing is out under the old epoch.
    pub(crate) fn try_hand(&mut self, now: u64, session: SessionId, out: &mut Out) {
        let permits =
            self.permits.range((session, NodeId(0))..=(session, NodeId(u16::MAX))).next().is_some();
        if permits || self.outstanding(now, session) || !self.seated(now) {
            return;
        }
        let Some(leaving) = self.leaving.get_mut(&session) else { return };
        leaving.handed = true;
        let (to, ask, epoch) = (leaving.to.node, leaving.ask, leaving.epoch);
        let session_record = SessionRecord { epoch, ..self.store.session_record(now, session) };
        self.send(to, Message::Transfer { ask, session_record }, out);
    }

    pub(crate) fn leave_again(&mut self, now: u64, session: SessionId, out: &mut Out) {
        let Some(handed) = self.leaving.get(&session).map(|l| l.handed) else { return };
        if !handed {
            self.withdraw(now, session, out);
        }
        self.try_hand(now, session, out);
        self.at(now.saturating_add(AGAIN), Timer::Leave(session));
    }

    pub(crate) fn on_nothing(
        &mut self,
        now: u64,
        from: NodeId,
        ask: u32,
        floor: Epoch,
        session_record: &SessionRecord,
        out: &mut Out,
    ) {
        let session = session_record.session;
        let Some(slot) = self.between_homes(from, session) else { return };
        let Some(finding) = self.findings.get_mut(&session).filter(|f| f.ask == ask) else {
            return;
        };
        finding.floor = finding.floor.max(floor).max(session_record.epoch);
        let asked = finding.asked;
        if session_record.says_something() && !self.learn(now, asked, session_record) {
            return self.no_room(session, out);
        }
        if let Some(finding) = self.findings.get_mut(&session) {
            finding.answered.insert(slot.zone);
        }
        self.try_own(now, session, out);
    }

    pub(crate) fn learn(&mut self, now: u64, base: u64, session_record: &SessionRecord) -> bool {
        let hash = self.hash(session_record.session);
        self.store.learn(now, base, hash, session_record).is_ok()
    }

    /// What another knows of a van can't be kept here, so it can't be owned.
    fn no_room(&mut self, session: SessionId, out: &mut Out) {
        let Some(finding) = self.findings.remove(&session) else { return };
        for waiter in finding.waiters.iter().filter(|w| w.key.is_some()) {
            self.send(
                waiter.from,
                Message::RouteResponse { n: waiter.n, outcome: RouteOutcome::Full },
                out,
            );
        }
    }

    pub(crate) fn on_hand(
        &mut self,
        now: u64,
        from: NodeId,
        ask: u32,
        session_record: &SessionRecord,
        out: &mut Out,
    ) {
        let (session, epoch) = (session_record.session, session_record.epoch);
        let record = self.store.get(session).map(|r| (r.state, r.epoch));
        let got = |taken| Message::TransferAck { session, epoch, taken };
        if record.is_some_and(|(_, known)| known >= epoch) {
            return self.send(from, got(true), out);
        }
        // Whoever hands it back has got it, though its word was lost.
        let handed = self.leaving.get(&session).filter(|l| l.handed && l.to.node == from);
        if let Some(known) = handed.map(|l| l.epoch).filter(|known| *known < epoch) {
            self.on_got(now, from, session, known, true);
        }
        let owns = self.store.get(session).is_some_and(|r| r.state != Ownership::Tombstone);
        let slot = self.between_homes(from, session).filter(|_| !owns && epoch > self.store.floor);
        let Some(slot) = slot else { return self.not_taken(from, session, epoch, out) };
        let finding = self.findings.get(&session);
        let base = finding.filter(|f| f.ask == ask).map_or(0, |f| f.asked);
        if !self.learn(now, base, session_record) {
            self.no_room(session, out);
            return self.not_taken(from, session, epoch, out);
        }
        let hash = self.hash(session);
        // It was learned just now, so there is room for it.
        let _ = self.store.change(now, session, hash, |r| r.state = Ownership::Received);
        self.store.hold(now, session, now.saturating_add(self.age));
        self.counts.arrived += 1;
        self.send(from, got(true), out);
        if !self.findings.contains_key(&session) {
            self.begin(now, session, None);
        }
        if let Some(finding) = self.findings.get_mut(&session) {
            finding.answered.insert(slot.zone);
        }
        self.try_own(now, session, out);
    }

    /// It stays the other's. A copy of that word may come later, when it would be taken: so never under this
    /// epoch.
    fn not_taken(&mut self, to: NodeId, session: SessionId, epoch: Epoch, out: &mut Out) {
        self.store.floor = self.store.floor.max(epoch);
        self.send(to, Message::TransferAck { session, epoch, taken: false }, out);
    }

    pub(crate) fn on_got(
        &mut self,
        now: u64,
        from: NodeId,
        session: SessionId,
        epoch: Epoch,
        taken: bool,
    ) {
        let is = |l: &OutgoingTransfer| l.handed && l.to.node == from && l.epoch == epoch;
        if !self.leaving.get(&session).is_some_and(is) {
            return;
        }
        self.leaving.remove(&session);
        let stays = !taken && self.is_home(session);
        let state = if stays { Ownership::Owned } else { Ownership::Tombstone };
        // There is such a record: what leaves is held.
        let _ = self.store.change(now, session, None, |r| (r.state, r.epoch) = (state, epoch));
        self.store.hold(now, session, now.saturating_add(self.age));
        if taken {
            self.counts.left += 1;
        } else if !stays && let Some(home) = self.own_home(session) {
            self.outbox.entry(home).or_default().push(session);
        }
    }
}
