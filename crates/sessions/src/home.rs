//! What a home does: it owns records, allows what is sent under them, and moves them between sites. The move,
//! in words:
//!
//! 1. A home that is asked about a van it has no record of asks (`Want`) the homes of all other sites.
//! 2. The owner seals: it allows nothing more, and takes back what it lent (`Withdraw`, `Withdrawn`), or
//!    waits until that has ended.
//! 3. It hands over (`Hand`) all that it knows under the next epoch, again and again, until the new one has
//!    said `Got`. What stays is a tomb: it tells what it knew, and owns nothing.
//! 4. A home that has no record says so (`Nothing`), with what it knows. If it asks for the same van itself,
//!    the site that goes first for this van gets an answer, and the other begins to ask anew: **who answers
//!    `Nothing` voids its own question** (Ricart and Agrawala 1981, with sites for processes). So of two that
//!    both know nothing, one owns.
//! 5. Whoever has heard all others owns.

use std::collections::BTreeSet;

use hollowpaddle_peer_transport::NodeId;

use crate::machine::{AGAIN, Out, PERMIT_MS, Sessions, Timer, millis};
use crate::message::{Estate, Message, Said};
use crate::store::{NO_POD, Note, State, ms, tick, tick_up};
use crate::table::goes_first;
use crate::{Epoch, Key, Pod, Seat, Sid, Site};

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
    key: Option<Key>,
    first: bool,
}

/// A record that this home asks others for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Finding {
    ask: u32,
    asked: u64,
    answered: BTreeSet<Site>,
    floor: Epoch,
    /// The highest epoch that was known when this round of asking began.
    base: Epoch,
    waiters: Vec<Waiter>,
}

/// A record that this home gives away.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Leaving {
    pub to: Seat,
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
        sid: Sid,
        key: Option<Key>,
        first: bool,
        out: &mut Out,
    ) {
        let near = self.table.seat(from).map(|s| s.site) == self.site();
        if !near || !self.is_home(sid) || self.leaving.contains_key(&sid) {
            return;
        }
        let waiter = Waiter { from, n, key, first };
        if self.store.get(sid).is_none_or(|r| r.state != State::Owned) {
            return self.find(now, sid, Some(waiter));
        }
        let room = self.lent.len() < LENT || self.lent.contains_key(&(sid, from));
        if from != self.config.node_id && !room {
            self.lent.retain(|_, until| *until > now);
            return;
        }
        if let Some(said) = self.say(now, sid, waiter) {
            if let (Said::Go { .. }, true) = (said, from != self.config.node_id) {
                let copy = millis(self.config.copy).max(PERMIT_MS);
                let until = now.saturating_add(copy + copy.div_ceil(100));
                self.lent.insert((sid, from), until);
            }
            self.send(from, Message::Answer { n, said }, out);
        }
    }

    /// What the owner says to one who wants to send; `None`: nothing, no pod is in force.
    fn say(&mut self, now: u64, sid: Sid, waiter: Waiter) -> Option<Said> {
        let hash = self.hash(sid);
        let record = *self.store.get(sid)?;
        // Its pod is out: another one for all that is new.
        let pod = if self.usable(record.pod) { record.pod } else { hash? };
        // There is such a record, so there is room for it.
        let _ = self.store.change(now, sid, hash, |r| r.pod = pod);
        let copy = u32::try_from(millis(self.config.copy)).unwrap_or(0);
        let go = |pod| Some(Said::Go { pod, epoch: record.epoch, copy });
        let Some(key) = waiter.key else { return go(pod) };
        let (run, window) = (millis(self.config.run), millis(self.config.window));
        // Rights end at the holder's clock earlier than here.
        let sent_by = now.saturating_add(PERMIT_MS + PERMIT_MS.div_ceil(100));
        let free = tick_up(sent_by.saturating_add(run).saturating_add(window));
        if let Some(note) = self.store.note(sid, key).copied().filter(|n| n.free > tick(now)) {
            // The pod must still remember when this one runs.
            let remembers = ms(note.first).saturating_add(window);
            if !self.usable(note.pod) || sent_by.saturating_add(run) > remembers {
                return Some(Said::Busy { ms: ms(note.free).saturating_sub(now) });
            }
            let sole = (note.by, note.ask) == (waiter.from, waiter.n);
            self.store.renew(now, sid, key, free, if sole { waiter.n } else { 0 });
            // A copy says where new ones go; this one may go elsewhere.
            return Some(Said::Go {
                pod: note.pod,
                epoch: record.epoch,
                copy: if note.pod == pod { copy } else { 0 },
            });
        }
        if record.blind > tick(now) && !waiter.first {
            return Some(Said::Busy { ms: ms(record.blind).saturating_sub(now) });
        }
        let note = Note { first: tick(now), free, ask: waiter.n, by: waiter.from, pod };
        match self.store.add_note(now, sid, key, note) {
            Ok(()) => go(pod),
            Err(_) => Some(Said::Full),
        }
    }

    /// Begins to ask for a record, or lets one more wait for it.
    pub(crate) fn find(&mut self, now: u64, sid: Sid, waiter: Option<Waiter>) {
        if let Some(finding) = self.findings.get_mut(&sid) {
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
            if !self.waiting.contains(&sid) {
                self.waiting.push_back(sid);
            }
            if self.waiting.len() > WAITING {
                self.waiting.pop_front();
                self.counts.crowded_out += 1;
            }
            return;
        }
        self.begin(now, sid, waiter);
    }

    /// The first words go with the timer, at once.
    fn begin(&mut self, now: u64, sid: Sid, waiter: Option<Waiter>) {
        let (ask, waiters) = (self.number(), waiter.into_iter().collect());
        let answered = BTreeSet::new();
        let known = self.store.get(sid).map_or(Epoch::default(), |r| r.epoch);
        let base = self.store.floor.max(known);
        let finding = Finding { ask, asked: now, answered, floor: base, base, waiters };
        self.findings.insert(sid, finding);
        self.at(now, Timer::Find(sid));
    }

    pub(crate) fn find_again(&mut self, now: u64, sid: Sid, out: &mut Out) {
        let Some(finding) = self.findings.get(&sid) else { return };
        let (ask, own) = (finding.ask, self.site());
        let floor = self.store.floor.max(self.store.get(sid).map_or(Epoch::default(), |r| r.epoch));
        let open = self.table.sites().filter(|s| Some(*s) != own && !finding.answered.contains(s));
        let homes: Vec<NodeId> = open.filter_map(|site| self.table.home(sid, site)).collect();
        if homes.is_empty() {
            return self.try_own(now, sid, out);
        }
        let arrived = self.store.get(sid).is_some_and(|r| r.state == State::Arrived);
        for home in homes {
            self.send(home, Message::Want { ask, sid, floor, arrived }, out);
        }
        self.at(now.saturating_add(AGAIN), Timer::Find(sid));
    }

    /// Owns, if all that must be heard has been.
    pub(crate) fn try_own(&mut self, now: u64, sid: Sid, out: &mut Out) {
        let Some(finding) = self.findings.get(&sid) else { return };
        let own = self.site();
        let all = self.table.sites().all(|s| Some(s) == own || finding.answered.contains(&s));
        if !all || !self.pulls.is_empty() || !self.seated(now) {
            return;
        }
        // Of three sites, one may have said that it has nothing, and then have been handed the record by
        // another that says so since: that one knows a higher epoch. Then all are asked once more.
        if finding.floor > finding.base && self.table.sites().count() > 2 {
            let ask = self.number();
            if let Some(finding) = self.findings.get_mut(&sid) {
                (finding.ask, finding.asked, finding.base) = (ask, now, finding.floor);
                finding.answered.clear();
            }
            return self.at(now, Timer::Find(sid));
        }
        let Some(finding) = self.findings.remove(&sid) else { return };
        let hash = self.hash(sid);
        let record = self.store.get(sid).copied();
        let arrived = record.is_some_and(|r| r.state == State::Arrived);
        let doubt = if arrived { 0 } else { self.losses.doubt(sid, self.age) };
        let known = record.map_or(Epoch::default(), |r| r.epoch);
        let above = finding.floor.max(self.store.floor).max(known);
        let above = above.max(Epoch::of_table(self.table.version));
        let usable: Vec<Pod> = self.pods.iter().map(|w| w.pod).collect();
        let owned = self.store.change(now, sid, hash, |r| {
            r.epoch = if arrived { r.epoch } else { above.next() };
            r.pod = if usable.contains(&r.pod) { r.pod } else { hash.unwrap_or(NO_POD) };
            r.blind = r.blind.max(tick_up(doubt));
            r.state = State::Owned;
        });
        for waiter in finding.waiters {
            let Waiter { from, n, key, first } = waiter;
            match owned {
                Ok(()) => self.on_ask(now, from, n, sid, key, first, out),
                // Without a record nobody could say later where it ran.
                Err(_) if key.is_some() => {
                    self.send(from, Message::Answer { n, said: Said::Full }, out)
                }
                Err(_) => {}
            }
        }
        while self.findings.len() < self.config.moves
            && let Some(next) = self.waiting.pop_back()
        {
            let open = self.store.get(next).is_none_or(|r| r.state != State::Owned);
            if open && self.is_home(next) && !self.findings.contains_key(&next) {
                self.begin(now, next, None);
            }
        }
    }

    /// Whether a word about a van comes from its home at another site, and is for its home here.
    fn between_homes(&self, from: NodeId, sid: Sid) -> Option<Seat> {
        let seat = *self.table.seat(from)?;
        let is = Some(seat.site) != self.site() && self.table.home(sid, seat.site) == Some(from);
        (is && self.is_home(sid)).then_some(seat)
    }

    pub(crate) fn on_want(
        &mut self,
        now: u64,
        from: NodeId,
        ask: u32,
        sid: Sid,
        (floor, arrived): (Epoch, bool),
        out: &mut Out,
    ) {
        let Some(seat) = self.between_homes(from, sid) else { return };
        let version = self.table.version;
        if let Some(leaving) = self.leaving.get_mut(&sid) {
            if leaving.to == seat {
                leaving.ask = ask;
            }
            return;
        }
        match self.store.get(sid).map(|r| (r.state, r.epoch)) {
            Some((State::Owned, epoch)) => {
                let epoch = epoch.max(floor).next();
                let leaving = Leaving { to: seat, ask, epoch, handed: false, version };
                self.leaving.insert(sid, leaving);
                self.store.hold(now, sid, now.saturating_add(self.age));
                self.withdraw(now, sid, out);
                self.try_hand(now, sid, out);
                self.at(now.saturating_add(AGAIN), Timer::Leave(sid));
            }
            Some((State::Arrived, _)) => {}
            _ if !self.pulls.is_empty() => {}
            _ => {
                if self.findings.contains_key(&sid) {
                    // Whoever has the record already goes before all: there is one such at most.
                    if !arrived && self.site().is_some_and(|own| goes_first(sid, own, seat.site)) {
                        return;
                    }
                    let ask = self.number();
                    if let Some(finding) = self.findings.get_mut(&sid) {
                        finding.ask = ask;
                        finding.asked = now;
                        finding.answered.clear();
                    }
                    self.at(now.saturating_add(AGAIN), Timer::Find(sid));
                }
                let floor = self.store.floor;
                let estate = self.store.estate(now, sid);
                self.send(from, Message::Nothing { ask, floor, estate }, out);
            }
        }
    }

    fn withdraw(&mut self, now: u64, sid: Sid, out: &mut Out) {
        let Some(epoch) = self.store.get(sid).map(|r| r.epoch) else { return };
        let of_it = (sid, NodeId(0))..=(sid, NodeId(u16::MAX));
        let lent: Vec<(NodeId, u64)> =
            self.lent.range(of_it).map(|((_, to), until)| (*to, *until)).collect();
        for (to, until) in lent {
            // One that has lost its seat may use nothing any more.
            if until <= now || self.table.seat(to).is_none() {
                self.lent.remove(&(sid, to));
            } else {
                self.send(to, Message::Withdraw { sid, epoch }, out);
            }
        }
    }

    pub(crate) fn on_withdrawn(
        &mut self,
        now: u64,
        from: NodeId,
        sid: Sid,
        epoch: Epoch,
        out: &mut Out,
    ) {
        let sealed = self.leaving.contains_key(&sid);
        if sealed && self.store.get(sid).is_some_and(|r| r.epoch == epoch) {
            self.lent.remove(&(sid, from));
            self.try_hand(now, sid, out);
        }
    }

    /// Hands over once nothing is out under the old epoch.
    pub(crate) fn try_hand(&mut self, now: u64, sid: Sid, out: &mut Out) {
        let lent = self.lent.range((sid, NodeId(0))..=(sid, NodeId(u16::MAX))).next().is_some();
        if lent || self.outstanding(now, sid) || !self.seated(now) {
            return;
        }
        let Some(leaving) = self.leaving.get_mut(&sid) else { return };
        leaving.handed = true;
        let (to, ask, epoch) = (leaving.to.member, leaving.ask, leaving.epoch);
        let estate = Estate { epoch, ..self.store.estate(now, sid) };
        self.send(to, Message::Hand { ask, estate }, out);
    }

    pub(crate) fn leave_again(&mut self, now: u64, sid: Sid, out: &mut Out) {
        let Some(handed) = self.leaving.get(&sid).map(|l| l.handed) else { return };
        if !handed {
            self.withdraw(now, sid, out);
        }
        self.try_hand(now, sid, out);
        self.at(now.saturating_add(AGAIN), Timer::Leave(sid));
    }

    pub(crate) fn on_nothing(
        &mut self,
        now: u64,
        from: NodeId,
        ask: u32,
        floor: Epoch,
        estate: &Estate,
        out: &mut Out,
    ) {
        let sid = estate.sid;
        let Some(seat) = self.between_homes(from, sid) else { return };
        let Some(finding) = self.findings.get_mut(&sid).filter(|f| f.ask == ask) else { return };
        finding.floor = finding.floor.max(floor).max(estate.epoch);
        let asked = finding.asked;
        if estate.says_something() && !self.learn(now, asked, estate) {
            return self.no_room(sid, out);
        }
        if let Some(finding) = self.findings.get_mut(&sid) {
            finding.answered.insert(seat.site);
        }
        self.try_own(now, sid, out);
    }

    pub(crate) fn learn(&mut self, now: u64, base: u64, estate: &Estate) -> bool {
        let hash = self.hash(estate.sid);
        self.store.learn(now, base, hash, estate).is_ok()
    }

    /// What another knows of a van can't be kept here, so it can't be owned.
    fn no_room(&mut self, sid: Sid, out: &mut Out) {
        let Some(finding) = self.findings.remove(&sid) else { return };
        for waiter in finding.waiters.iter().filter(|w| w.key.is_some()) {
            self.send(waiter.from, Message::Answer { n: waiter.n, said: Said::Full }, out);
        }
    }

    pub(crate) fn on_hand(
        &mut self,
        now: u64,
        from: NodeId,
        ask: u32,
        estate: &Estate,
        out: &mut Out,
    ) {
        let (sid, epoch) = (estate.sid, estate.epoch);
        let record = self.store.get(sid).map(|r| (r.state, r.epoch));
        let got = |taken| Message::Got { sid, epoch, taken };
        if record.is_some_and(|(_, known)| known >= epoch) {
            return self.send(from, got(true), out);
        }
        // Whoever hands it back has got it, though its word was lost.
        let handed = self.leaving.get(&sid).filter(|l| l.handed && l.to.member == from);
        if let Some(known) = handed.map(|l| l.epoch).filter(|known| *known < epoch) {
            self.on_got(now, from, sid, known, true);
        }
        let owns = self.store.get(sid).is_some_and(|r| r.state != State::Tomb);
        let seat = self.between_homes(from, sid).filter(|_| !owns && epoch > self.store.floor);
        let Some(seat) = seat else { return self.not_taken(from, sid, epoch, out) };
        let finding = self.findings.get(&sid);
        let base = finding.filter(|f| f.ask == ask).map_or(0, |f| f.asked);
        if !self.learn(now, base, estate) {
            self.no_room(sid, out);
            return self.not_taken(from, sid, epoch, out);
        }
        let hash = self.hash(sid);
        // It was learned just now, so there is room for it.
        let _ = self.store.change(now, sid, hash, |r| r.state = State::Arrived);
        self.store.hold(now, sid, now.saturating_add(self.age));
        self.counts.arrived += 1;
        self.send(from, got(true), out);
        if !self.findings.contains_key(&sid) {
            self.begin(now, sid, None);
        }
        if let Some(finding) = self.findings.get_mut(&sid) {
            finding.answered.insert(seat.site);
        }
        self.try_own(now, sid, out);
    }

    /// It stays the other's. A copy of that word may come later, when it would be taken: so never under this
    /// epoch.
    fn not_taken(&mut self, to: NodeId, sid: Sid, epoch: Epoch, out: &mut Out) {
        self.store.floor = self.store.floor.max(epoch);
        self.send(to, Message::Got { sid, epoch, taken: false }, out);
    }

    pub(crate) fn on_got(&mut self, now: u64, from: NodeId, sid: Sid, epoch: Epoch, taken: bool) {
        let is = |l: &Leaving| l.handed && l.to.member == from && l.epoch == epoch;
        if !self.leaving.get(&sid).is_some_and(is) {
            return;
        }
        self.leaving.remove(&sid);
        let stays = !taken && self.is_home(sid);
        let state = if stays { State::Owned } else { State::Tomb };
        // There is such a record: what leaves is held.
        let _ = self.store.change(now, sid, None, |r| (r.state, r.epoch) = (state, epoch));
        self.store.hold(now, sid, now.saturating_add(self.age));
        if taken {
            self.counts.left += 1;
        } else if !stays && let Some(home) = self.own_home(sid) {
            self.outbox.entry(home).or_default().push(sid);
        }
    }
}
