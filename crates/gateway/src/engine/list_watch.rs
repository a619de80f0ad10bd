//! The engine's watches on the list of upstreams: opening them, what their end means, and how old the list may be.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use hollowpaddle_policy::interface::{Event, ListKind};
use tokio::time::Instant;

use super::{Due, Engine, EngineEvent};
use crate::cluster::Listed;
use crate::discovery::{self, CallTimeout, News, WatchEnd};
use crate::members::List;
use crate::start_times::Delivery;
use crate::tasks::AbortOnDrop;

/// Discovery is asked on other balancers' word this often at most: calls are paid for by all.
const ASK_LIST: Duration = Duration::from_secs(2);
/// Calls for a pushed list are so far apart at least: the agent is on this machine and answers at no cost, but one that
/// ends each watch at once must not be called without end. What it has counts as told meanwhile.
const REWATCH: Duration = Duration::from_millis(100);

/// A watch on the list, or the call for one.
pub(super) struct Watch {
    serial: u64,
    /// What follows this version was asked for.
    from: u64,
    opened: Instant,
    /// As far as is known it tells all that discovery has.
    sound: bool,
    _task: AbortOnDrop,
}

impl Engine {
    pub(super) fn heard(&mut self, serial: u64, news: News) {
        let is = |watch: &Option<Watch>| watch.as_ref().is_some_and(|w| w.serial == serial);
        match news {
            News::List(list) => self.told(serial, &list),
            News::Silent => {
                if let Some(watch) = self.standing.as_mut().filter(|w| w.serial == serial)
                    && std::mem::take(&mut watch.sound)
                {
                    let now = Instant::now();
                    self.freshness.unvouched(now.checked_sub(discovery::SILENCE).unwrap_or(now));
                    if self.opening.is_none() {
                        self.unwatched(None);
                    }
                }
            }
            News::Ended(ending) if is(&self.opening) => {
                let Some(call) = self.opening.take() else { return };
                self.patience.call_ended(ending, self.freshness.is_crowded());
                if !self.is_vouched() {
                    self.call_ended(&call, ending);
                }
            }
            News::Ended(_) if is(&self.standing) => {
                let sound = self.standing.take().is_some_and(|w| w.sound);
                // Of one that was silent before it is known already.
                if sound {
                    self.freshness.unvouched(Instant::now());
                }
                if sound && self.opening.is_none() {
                    self.unwatched(None);
                }
            }
            News::Ended(_) => {}
        }
    }

    /// A watch has told a list. It was written to this balancer, and counts as told, also if the watch was replaced since.
    fn told(&mut self, serial: u64, list: &List) {
        // Its versions can't be held against those of the discovery that has spoken since.
        if serial < self.counted_from {
            return;
        }
        let mut counts_anew = false;
        if let Some(watch) = self.opening.take_if(|w| w.serial == serial) {
            // Asked for what follows a version, a discovery that counts in another way, as one does that began anew, says
            // all that it has. Its versions are the ones that count from here. Failure: the first list of each watch counted
            // anew, and one that had been overtaken by another watch's undid the news of that.
            if std::mem::take(&mut self.elsewhere) || list.complete && list.revision < watch.from {
                counts_anew = true;
                self.counted_from = serial;
                self.upstreams.count_anew();
                self.cluster.iter().for_each(|cluster| cluster.heard(Listed::CountsAnew));
            }
            self.standing = Some(watch);
        }
        let heard_before = self.heard.replace(true);
        let now = Instant::now();
        let delivery = Delivery {
            at: self.freshness.delivered(now),
            now,
            complete_until: (heard_before && !counts_anew)
                .then(|| self.freshness.complete_until(now)),
        };
        // What comes from another than the watch that stands says nothing of the subscription.
        let sound = self.standing.as_ref().is_some_and(|w| w.serial == serial && w.sound);
        let kind = match (sound, list.complete) {
            (true, true) => ListKind::Complete,
            (true, false) => ListKind::Update,
            (false, true) => ListKind::Restored,
            (false, false) => ListKind::Aside,
        };
        if sound {
            self.vouched();
        }
        self.listed(list, kind, delivery);
    }

    /// The watch that stands has told a list: nothing is missing any more.
    fn vouched(&mut self) {
        self.patience = CallTimeout::default();
        self.freshness.vouched();
        if std::mem::take(&mut self.list_expired) {
            tracing::info!("the list is up to date again");
        }
    }

    /// A call for the list has come to its end, and no watch vouches for it.
    fn call_ended(&mut self, call: &Watch, ending: WatchEnd) {
        if !self.polls_list || ending != WatchEnd::ListCallRejected {
            self.unwatched(Some(call));
        }
        if !self.polls_list {
            return;
        }
        self.freshness.call_ended(ending, call.opened, Instant::now());
        if let Some(at) = self.freshness.expiry().at() {
            self.timers.push(Reverse((at, Due::ListExpiry)));
        }
        if ending == WatchEnd::ListCallRejected {
            self.tell(Event::ListCallRejected);
        }
    }

    /// Has the module stop sending once the list is too old. Looked at before all else that could lead to a send.
    pub(super) fn look_at_list_age(&mut self) {
        if self.list_expired || !self.freshness.expiry().is_over(Instant::now()) {
            return;
        }
        self.list_expired = true;
        self.ready.set(false);
        tracing::warn!(
            "the list has expired: discovery turns calls away, and changes may have been missed; requests are refused"
        );
        self.tell(Event::ListExpired);
    }

    /// Whether a watch stands that tells all that discovery has.
    pub(super) fn is_vouched(&self) -> bool {
        self.standing.as_ref().is_some_and(|w| w.sound)
    }

    /// No watch stands, and none is being opened; the last call for one may have failed.
    fn unwatched(&mut self, call: Option<&Watch>) {
        if self.polls_list {
            self.tell(Event::Members { kind: ListKind::Unavailable, list: &[] });
        } else {
            let at = call.map_or(Instant::now(), |call| call.opened + REWATCH);
            self.timers.push(Reverse((at, Due::Watch)));
        }
    }

    /// Another balancer has a newer list: discovery is asked, but not again and again where it is behind for long.
    pub(super) fn ask_list(&mut self) {
        // Failure: at a start each balancer opened a second one.
        if self.opening.is_some() {
            return;
        }
        let now = Instant::now();
        if self.asked_list.is_some_and(|at| now < at + ASK_LIST) {
            return;
        }
        self.asked_list = Some(now);
        self.subscribe();
    }

    /// Follows discovery to another address; upstreams, connections and all that was learned stay.
    pub(super) fn moved(&mut self, discovery: SocketAddr) {
        if self.discovery == discovery {
            tracing::info!("the configuration names the same discovery");
            return;
        }
        tracing::info!(%discovery, "discovery moved");
        self.discovery = discovery;
        // Until the new one speaks, what the old one has said and says counts.
        self.elsewhere = true;
        self.standing.iter_mut().for_each(|watch| watch.sound = false);
        self.freshness.unvouched(Instant::now());
        self.opening = None;
        self.subscribe();
    }

    /// Opens a watch, unless one is being opened: how that ends is always told. Failure: a call that had waited long for
    /// its turn was dropped for a new one, and the list that it would have told with it.
    pub(super) fn subscribe(&mut self) {
        if self.opening.is_some() {
            return;
        }
        self.serial += 1;
        let (serial, notes) = (self.serial, self.own_notes.clone());
        let tell = move |news| drop(notes.send(EngineEvent::Watched { serial, news }));
        // Another discovery counts in its own way: asked for what follows our version, it could keep silent about all
        // that it has. From 0 on it tells everything.
        let from = if self.elsewhere { 0 } else { self.revision };
        let patience = self.patience.next();
        let watch = discovery::watch(self.network.clone(), self.discovery, from, patience, tell);
        let _task = AbortOnDrop(tokio::task::spawn_local(watch));
        self.opening = Some(Watch { serial, from, opened: Instant::now(), sound: true, _task });
    }
}
