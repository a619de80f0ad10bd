//! Requests of one balancer: who is asked where they go, how long, and what is done without an answer. Also
//! what this balancer itself sent, which it can tell when a home is lost.

use hollowpaddle_peer_transport::NodeId;

use crate::machine::{MINE, Out, PERMIT_MS, Sessions, Timer, millis, outside};
use crate::message::{KeyWord, Message, Said};
use crate::store::{Note, State, ms, tick, tick_up};
use crate::{Action, Effect, Epoch, Key, Pod, Ran, Sid, Verdict, Why};

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
    sid: Sid,
    effect: Effect,
    first: bool,
    deadline: u64,
    asked: u64,
    give_up: u64,
    /// For a window's end.
    rests: bool,
    tries: usize,
    /// Allowed by this balancer itself, once a witness knows.
    allowed: Option<(Pod, Epoch)>,
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
    sid: Sid,
    key: Option<Key>,
    n: u32,
    until: u64,
}

/// Another's record, as long as it was lent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Copied {
    pod: Pod,
    epoch: Epoch,
    until: u64,
}

impl Sessions {
    #[allow(clippy::too_many_arguments)] // The fields of one event.
    pub(crate) fn request(
        &mut self,
        now: u64,
        id: u64,
        sid: Sid,
        effect: Effect,
        first: bool,
        deadline: u64,
        out: &mut Out,
    ) {
        let keyed = matches!(effect, Effect::Keyed(_));
        if self.pods.is_empty() {
            return self.place(id, Verdict::Refuse(Why::NoPod), out);
        }
        if !self.seated(now) {
            return if keyed {
                self.place(id, Verdict::Refuse(Why::NoSeat), out);
            } else {
                self.by_hash(now, id, sid, deadline, out);
            };
        }
        if let Some((pod, epoch, until)) = self.at_hand(now, sid).filter(|_| !keyed) {
            let n = self.number();
            return self.go(id, Placed { sid, key: None, n, until }, pod, epoch, out);
        }
        let left = deadline.saturating_sub(now) / u64::from(self.config.wait_part.max(1));
        let wait = left.min(millis(self.config.wait));
        let (n, give_up) = (self.number(), now.saturating_add(wait));
        let pending = Pending {
            id,
            sid,
            effect,
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
        self.asking.insert((sid, n));
        self.ask_again(now, n, out);
    }

    /// Asks, or goes on without an answer.
    pub(crate) fn ask_again(&mut self, now: u64, n: u32, out: &mut Out) {
        let Some(mut pending) = self.pending.get(&n).cloned() else { return };
        if pending.rests {
            // The window has ended; this is another asking.
            self.forget(n);
            pending.rests = false;
            let Pending { id, sid, effect, first, deadline, .. } = pending;
            return self.request(now, id, sid, effect, first, deadline, out);
        }
        if now >= pending.give_up || !self.seated(now) {
            self.forget(n);
            return self.without_record(now, &pending, out);
        }
        let sid = pending.sid;
        if pending.allowed.is_some() {
            self.tell_witness(now, n, &pending, out);
        } else if let Some(home) = self.own_home(sid) {
            let key = if let Effect::Keyed(key) = pending.effect { Some(key) } else { None };
            self.send(home, Message::Ask { n, sid, key, first: pending.first }, out);
        }
        if let Some(pending) = self.pending.get_mut(&n) {
            pending.tries += 1;
        }
        self.at(now.saturating_add(ASK_AGAIN).min(pending.give_up), Timer::Ask(n));
    }

    fn forget(&mut self, n: u32) -> Option<Pending> {
        let pending = self.pending.remove(&n)?;
        self.asking.remove(&(pending.sid, n));
        Some(pending)
    }

    /// Nobody said in time where it goes. A keyed one may have run somewhere, so it goes nowhere; others go
    /// by the hash.
    fn without_record(&mut self, now: u64, pending: &Pending, out: &mut Out) {
        if matches!(pending.effect, Effect::Keyed(_)) {
            return self.place(pending.id, Verdict::Refuse(Why::NoRecord), out);
        }
        self.by_hash(now, pending.id, pending.sid, pending.deadline, out);
    }

    fn by_hash(&mut self, now: u64, id: u64, sid: Sid, deadline: u64, out: &mut Out) {
        // What was last heard of the van is the better guess: its state may be there.
        let heard = self.store.get(sid).map(|r| r.pod).filter(|p| self.usable(*p));
        let verdict = match heard.or_else(|| self.hash(sid)) {
            Some(pod) => {
                let until = outside(deadline.max(now));
                Verdict::Go { pod, epoch: None, until }
            }
            None => Verdict::Refuse(Why::NoPod),
        };
        self.place(id, verdict, out);
    }

    fn place(&mut self, id: u64, verdict: Verdict, out: &mut Out) {
        match verdict {
            Verdict::Go { epoch: Some(_), .. } => self.counts.by_record += 1,
            Verdict::Go { .. } => self.counts.by_hash += 1,
            Verdict::Refuse(_) => self.counts.refused += 1,
            Verdict::Fail(_) => self.counts.failed += 1,
        }
        out.actions.push(Action::Place { id, verdict });
    }

    fn go(&mut self, id: u64, placed: Placed, pod: Pod, epoch: Epoch, out: &mut Out) {
        let until = outside(placed.until);
        self.placing.insert((placed.sid, id));
        self.placed.insert(id, placed);
        if self.placed.len() > PLACED
            && let Some((id, old)) = self.placed.pop_first()
        {
            self.placing.remove(&(old.sid, id));
        }
        self.place(id, Verdict::Go { pod, epoch: Some(epoch), until }, out);
    }

    /// A record or copy that can be used now, and up to when.
    pub(crate) fn at_hand(&self, now: u64, sid: Sid) -> Option<(Pod, Epoch, u64)> {
        if !self.seated(now) {
            return None;
        }
        let own = self.store.get(sid).filter(|r| r.state == State::Owned);
        let own = own.filter(|_| !self.leaving.contains_key(&sid));
        let found = match own {
            Some(record) => {
                let until = now.saturating_add(millis(self.config.copy)).min(self.until);
                (record.pod, record.epoch, until)
            }
            None => {
                let copy = self.copies.get(&sid).filter(|c| now < c.until.min(self.until))?;
                (copy.pod, copy.epoch, copy.until.min(self.until))
            }
        };
        self.usable(found.0).then_some(found)
    }

    pub(crate) fn on_answer(&mut self, now: u64, from: NodeId, n: u32, said: Said, out: &mut Out) {
        let Some(pending) = self.pending.get_mut(&n) else { return };
        if pending.rests || pending.allowed.is_some() {
            return;
        }
        match said {
            Said::Go { pod, epoch, copy } => {
                // The holder's end is earlier than the giver's: it counts from the asking, and a hundredth
                // less.
                let length = |ms: u64| ms - ms / 100;
                let copied = pending.asked.saturating_add(length(u64::from(copy))).min(self.until);
                let (sid, node_id) = (pending.sid, self.config.node_id);
                if copy > 0 && from != node_id && now < copied {
                    self.take_copy(sid, Copied { pod, epoch, until: copied });
                }
                let Some(pending) = self.pending.get_mut(&n) else { return };
                if from == node_id && matches!(pending.effect, Effect::Keyed(_)) {
                    pending.allowed = Some((pod, epoch));
                    let pending = pending.clone();
                    if self.witnesses(sid).is_empty() {
                        self.allowed(now, n, pod, epoch, out);
                    } else {
                        self.tell_witness(now, n, &pending, out);
                    }
                    return;
                }
                self.allowed(now, n, pod, epoch, out);
            }
            Said::Busy { ms } => {
                let again = now.saturating_add(ms);
                let needed = again + millis(self.config.wait) + PERMIT_MS;
                if needed <= pending.deadline {
                    pending.rests = true;
                    self.at(again, Timer::Ask(n));
                } else if let Some(pending) = self.forget(n) {
                    self.place(pending.id, Verdict::Fail(Why::MayHaveRun), out);
                }
            }
            Said::Full => {
                if let Some(pending) = self.forget(n) {
                    self.place(pending.id, Verdict::Refuse(Why::Full), out);
                }
            }
        }
    }

    /// It may go. A keyed one is noted first: it may have run from here on.
    fn allowed(&mut self, now: u64, n: u32, pod: Pod, epoch: Epoch, out: &mut Out) {
        let Some(pending) = self.forget(n) else { return };
        let (sid, id) = (pending.sid, pending.id);
        let Effect::Keyed(key) = pending.effect else {
            let copy = self.copies.get(&sid).map(|c| c.until);
            let until = copy.unwrap_or(now.saturating_add(PERMIT_MS)).min(self.until);
            return self.go(id, Placed { sid, key: None, n, until }, pod, epoch, out);
        };
        let until = pending.asked.saturating_add(PERMIT_MS - PERMIT_MS / 100).min(self.until);
        if now >= until {
            return self.without_record(now, &pending, out);
        }
        let free = tick_up(until.saturating_add(self.age));
        if !self.speak(now, sid, key, pod, free) {
            return self.place(id, Verdict::Fail(Why::MayHaveRun), out);
        }
        if !self.is_home(sid) {
            let (run, window) = (millis(self.config.run), millis(self.config.window));
            let free = tick_up(until.saturating_add(run).saturating_add(window));
            let by = self.config.node_id;
            let note = Note { first: tick(pending.asked), free, ask: n, by, pod };
            if !self.keep_mine(now, sid, key, note) {
                return self.place(id, Verdict::Refuse(Why::Full), out);
            }
        }
        self.go(id, Placed { sid, key: Some(key), n, until }, pod, epoch, out);
    }

    /// Notes where a key goes, whoever's it is. The same one under another van may have run in another pod:
    /// records don't tell, since they are found by the van, but what went out from here is known here.
    fn speak(&mut self, now: u64, sid: Sid, key: Key, pod: Pod, free: u32) -> bool {
        self.sweep(now);
        if let Some((van, at, end)) = self.spoken.get(&key).copied() {
            if van != sid && at != pod && end > tick(now) {
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
        self.spoken.insert(key, (sid, pod, free));
        true
    }

    fn take_copy(&mut self, sid: Sid, copied: Copied) {
        self.drop_copy(sid);
        if self.copies.len() >= COPIES
            && let Some((_, first)) = self.copies_end.pop_first()
        {
            self.copies.remove(&first);
        }
        self.copies_end.insert((copied.until, sid));
        self.copies.insert(sid, copied);
    }

    fn drop_copy(&mut self, sid: Sid) {
        if let Some(old) = self.copies.remove(&sid) {
            self.copies_end.remove(&(old.until, sid));
        }
    }

    fn witnesses(&self, sid: Sid) -> Vec<NodeId> {
        self.site().map_or(Vec::new(), |site| self.table.witnesses(sid, site, self.config.node_id))
    }

    /// A home that sends by itself would be the only one to know: another balancer of the site must know,
    /// too.
    fn tell_witness(&mut self, now: u64, n: u32, pending: &Pending, out: &mut Out) {
        let Effect::Keyed(key) = pending.effect else { return };
        let Some(note) = self.store.note(pending.sid, key) else { return };
        let note = KeyWord {
            key,
            pod: note.pod,
            first_ago: now.saturating_sub(ms(note.first)),
            free_in: ms(note.free).saturating_sub(now),
        };
        let all = self.witnesses(pending.sid);
        // Another one each time: one that is down must not keep this van waiting.
        if let Some(to) = all.get(pending.tries % all.len().max(1)) {
            self.send(*to, Message::Keep { n, sid: pending.sid, note }, out);
        }
    }

    pub(crate) fn on_keep(
        &mut self,
        now: u64,
        from: NodeId,
        n: u32,
        sid: Sid,
        message: KeyWord,
        out: &mut Out,
    ) {
        let free = tick_up(now.saturating_add(message.free_in));
        // When it was first sent is not known here: not lately enough to be sent again.
        let note = Note { first: 0, free, ask: 0, by: from, pod: message.pod };
        if self.keep_mine(now, sid, message.key, note) {
            self.send(from, Message::Kept { n }, out);
        }
    }

    pub(crate) fn on_kept(&mut self, now: u64, n: u32, out: &mut Out) {
        let Some(pending) = self.pending.get_mut(&n) else { return };
        let Some((pod, epoch)) = pending.allowed.take() else { return };
        // The record may have been sealed meanwhile: then it is asked about anew.
        let record = self.store.get(pending.sid).filter(|r| r.state == State::Owned);
        if record.is_some_and(|r| r.epoch == epoch) && !self.leaving.contains_key(&pending.sid) {
            self.allowed(now, n, pod, epoch, out);
        }
    }

    fn keep_mine(&mut self, now: u64, sid: Sid, key: Key, note: Note) -> bool {
        self.sweep(now);
        if let Some(old) = self.mine.get_mut(&(sid, key)) {
            self.mine_end.remove(&(old.free, sid, key));
            old.merge(note);
            self.mine_end.insert((old.free, sid, key));
            return true;
        }
        if self.mine.len() >= MINE {
            return false;
        }
        self.mine_end.insert((note.free, sid, key));
        self.mine.insert((sid, key), note);
        true
    }

    /// Forgets what has aged, a little at a time.
    pub(crate) fn sweep(&mut self, now: u64) {
        for _ in 0..32 {
            let over = self.mine_end.first().copied().filter(|(free, ..)| *free <= tick(now));
            let Some((free, sid, key)) = over else { break };
            self.mine_end.remove(&(free, sid, key));
            self.mine.remove(&(sid, key));
        }
        for _ in 0..32 {
            let over = self.spoken_end.first().copied().filter(|(free, _)| *free <= tick(now));
            let Some((free, key)) = over else { break };
            self.spoken_end.remove(&(free, key));
            self.spoken.remove(&key);
        }
        for _ in 0..32 {
            let over = self.copies_end.first().copied().filter(|(until, _)| *until <= now);
            let Some((until, sid)) = over else { break };
            self.copies_end.remove(&(until, sid));
            self.copies.remove(&sid);
        }
    }

    pub(crate) fn sent(&mut self, now: u64, id: u64, out: &mut Out) {
        let Some(sid) = self.placed.get(&id).map(|p| p.sid) else { return };
        self.placing.remove(&(sid, id));
        if self.placed.get(&id).is_some_and(|p| p.key.is_none()) {
            self.placed.remove(&id);
        }
        if self.leaving.contains_key(&sid) {
            self.try_hand(now, sid, out);
        }
    }

    pub(crate) fn ended(&mut self, now: u64, id: u64, ran: Ran, out: &mut Out) {
        self.sent(now, id, out);
        let Some(placed) = self.placed.remove(&id) else { return };
        let (Some(key), Ran::No) = (placed.key, ran) else { return };
        let (node_id, n, sid) = (self.config.node_id, placed.n, placed.sid);
        if let Some(note) = self.mine.get(&(sid, key)).filter(|m| (m.by, m.ask) == (node_id, n)) {
            self.mine_end.remove(&(note.free, sid, key));
            self.mine.remove(&(sid, key));
        }
        if let Some(home) = self.own_home(sid) {
            self.send(home, Message::Unran { n, sid, key }, out);
        }
    }

    /// Whether something of this van was placed and may still go out.
    pub(crate) fn outstanding(&self, now: u64, sid: Sid) -> bool {
        let of_it = self.placing.range((sid, 0)..=(sid, u64::MAX));
        of_it.filter_map(|(_, id)| self.placed.get(id)).any(|p| now < p.until)
    }

    pub(crate) fn on_withdraw(
        &mut self,
        now: u64,
        from: NodeId,
        sid: Sid,
        epoch: Epoch,
        out: &mut Out,
    ) {
        if self.copies.get(&sid).is_some_and(|c| c.epoch <= epoch) {
            self.drop_copy(sid);
        }
        // Answers to what was asked so far may be on their way, under the epoch that ends: they count no
        // more.
        let asked: Vec<u32> =
            self.asking.range((sid, 0)..=(sid, u32::MAX)).map(|(_, n)| *n).collect();
        for n in asked {
            if self.pending.get(&n).is_some_and(|p| p.rests || p.allowed.is_some()) {
                continue;
            }
            if let Some(pending) = self.forget(n) {
                let n = self.number();
                self.at(now.saturating_add(ASK_AGAIN).min(pending.give_up), Timer::Ask(n));
                self.pending.insert(n, Pending { asked: now, ..pending });
                self.asking.insert((sid, n));
            }
        }
        if !self.outstanding(now, sid) {
            self.send(from, Message::Withdrawn { sid, epoch }, out);
        }
    }
}
