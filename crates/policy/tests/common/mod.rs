//! A test harness that drives one balancer, and checks each of its actions against the rules of the
//! protocol. The checks use their own record of delivered events and actions, independent of the
//! balancer.
#![allow(dead_code)] // each test file uses its own part

use std::collections::BTreeMap;

use hollowpaddle_policy::interface::*;
use hollowpaddle_policy::policy::Balancer;

pub const MS: i64 = 1000;

pub fn class(effect: Effect) -> Class {
    Class {
        latency_objective: SignedDuration(200 * MS),
        deadline: SignedDuration(600 * MS),
        priority_weight: 1.0,
        late_priority_weight: 0.0,
        effect,
        group: Group::Zone,
        window: SignedDuration(300 * MS),
        objective_stretch: 0.0,
        streaming: false,
        in_order: false,
        zones: None,
        machine_types: None,
    }
}

pub fn settings() -> Settings {
    Settings {
        classes: vec![class(Effect::Safe), class(Effect::Keyed), class(Effect::Unsafe)],
        tenants: vec![],
        balancers: 1,
        position: 0,
        zones: 2,
        zone: 0,
        tick: SignedDuration(MS),
        polls_list: false,
        limits: Limits {
            max_attempts: 3,
            hedging: true,
            cancel: true,
            probes: false,
            retry_after: true,
            max_retry_after: SignedDuration(300 * MS),
            connect_timeout: SignedDuration(100 * MS),
            keepalive: SignedDuration(5000 * MS),
            streams_per_conn: 1,
        },
        rules: Rules {
            warm_up_initial_share: 0.2,
            warm_up: SignedDuration(10_000 * MS),
            overload_multiple: 3.0,
            overload_window: SignedDuration(1000 * MS),
            drain_grace: SignedDuration(1000 * MS),
            answer_slack: SignedDuration(20 * MS),
            list_poll_interval: SignedDuration(10_000 * MS),
            idle_close_limit: SignedDuration(0),
            ordering_key_rest: SignedDuration(0),
        },
        prices: Prices::default(),
        mix: ScoringMix { whole: 1.0, ..ScoringMix::default() },
        over_quota_weight: 0.1,
        counts_by_work: false,
        marks_retry: false,
        reports: Reports::None,
        bars_classes: false,
        numbering_hash: 7,
    }
}

pub fn member(id: u32, zone: u32) -> Member {
    Member {
        id: ServerId(id),
        identity: u64::from(id) * 7919,
        zone,
        machine_type: 0,
        cell: id / 2,
        status: Status::Live,
        weight: 1.0,
        started: None,
        barred_classes: 0,
    }
}

#[derive(Clone, Debug)]
pub struct SentAttempt {
    pub server: ServerId,
    pub sent: Time,
    pub ended: Option<Outcome>,
    pub ended_at: Time,
}

#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub class: usize,
    pub key: Option<u64>,
    /// Position among all requests, in the order of arrival.
    pub arrival_order: usize,
    pub send_deadline: Time,
    pub attempts: Vec<SentAttempt>,
    pub is_over: bool,
}

pub struct Harness {
    pub settings: Settings,
    pub balancer: Balancer,
    pub now: Time,
    pub members: BTreeMap<u32, Member>,
    pub requests: BTreeMap<u64, ClientRequest>,
    pub timers: Vec<(u64, Time)>,
    pub log: Vec<Action>,
    /// For each upstream that is not live: when that was notified or the upstream was last used, and
    /// when its connections were last closed.
    pub departing: BTreeMap<u32, (Time, Option<Time>)>,
    actions: Vec<Action>,
}

impl Harness {
    pub fn new(settings: Settings) -> Self {
        let now = Time(1_000_000 * MS);
        let balancer = Balancer::new(settings.clone(), 7, now).expect("settings are sound");
        let mut harness = Self {
            settings,
            balancer,
            now,
            members: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: vec![],
            log: vec![],
            departing: BTreeMap::new(),
            actions: vec![],
        };
        harness.list(ListKind::Restored, &[]);
        harness
    }

    fn deliver(&mut self, event: Event) {
        self.balancer.handle(self.now, event, &mut self.actions);
        self.apply_actions();
    }

    pub fn with_servers(settings: Settings, n: u32) -> Self {
        let mut harness = Self::new(settings);
        let list: Vec<_> = (0..n).map(|i| member(i, i % 2)).collect();
        harness.list(ListKind::Restored, &list);
        harness
    }

    pub fn list(&mut self, kind: ListKind, list: &[Member]) {
        if matches!(kind, ListKind::Complete | ListKind::Restored) {
            self.members.values_mut().for_each(|m| m.status = Status::Gone);
        }
        if kind != ListKind::Unavailable {
            self.members.extend(list.iter().map(|m| (m.id.0, *m)));
        }
        for (id, m) in &self.members {
            if m.status == Status::Live {
                self.departing.remove(id);
            } else if kind != ListKind::Restored {
                self.departing.entry(*id).or_insert((self.now, None));
            }
        }
        self.deliver(Event::Members { kind, list });
    }

    pub fn request(&mut self, id: u64, class: usize) {
        let wait = self.settings.classes[class].deadline;
        self.request_until(id, class, self.now.plus(wait));
    }

    pub fn request_until(&mut self, id: u64, class: usize, send_deadline: Time) {
        self.request_of(0, id, class, send_deadline);
    }

    pub fn request_of(&mut self, tenant: usize, id: u64, class: usize, send_deadline: Time) {
        self.request_with(tenant, id, class, send_deadline, Some(id % 5));
    }

    pub fn request_with(
        &mut self,
        tenant: usize,
        id: u64,
        class: usize,
        send_deadline: Time,
        key: Option<u64>,
    ) {
        let arrival_order = self.requests.len();
        let client_request = ClientRequest {
            class,
            key,
            arrival_order,
            send_deadline,
            attempts: vec![],
            is_over: false,
        };
        assert!(self.requests.insert(id, client_request).is_none(), "ids are not repeated");
        let request = Request { tenant, key, ..Request::new(RequestId(id), class, send_deadline) };
        self.deliver(Event::Request(request));
    }

    /// Sends a request that is restricted to this zone and cell.
    pub fn request_in(
        &mut self,
        id: u64,
        class: usize,
        send_deadline: Time,
        sticky_cell: Option<(u32, u32)>,
    ) {
        let arrival_order = self.requests.len();
        let client_request = ClientRequest {
            class,
            key: None,
            arrival_order,
            send_deadline,
            attempts: vec![],
            is_over: false,
        };
        self.requests.insert(id, client_request);
        let request = Request { sticky_cell, ..Request::new(RequestId(id), class, send_deadline) };
        self.deliver(Event::Request(request));
    }

    /// Sends a request whose body is still arriving.
    pub fn request_streaming(&mut self, id: u64, class: usize) {
        let send_deadline = self.now.plus(self.settings.classes[class].deadline);
        let arrival_order = self.requests.len();
        // The client's deadline starts with the last byte of the body.
        let never = self.now.plus(SignedDuration(i64::MAX / 4));
        let client_request = ClientRequest {
            class,
            key: None,
            arrival_order,
            send_deadline: never,
            attempts: vec![],
            is_over: false,
        };
        self.requests.insert(id, client_request);
        let request =
            Request { streams_body: true, ..Request::new(RequestId(id), class, send_deadline) };
        self.deliver(Event::Request(request));
    }

    /// Delivers the last byte of a streamed request body.
    pub fn complete_body(&mut self, id: u64) {
        let client_request = self.requests.get_mut(&id).expect("a known request");
        client_request.send_deadline =
            self.now.plus(self.settings.classes[client_request.class].deadline);
        if let Some(t) = client_request.attempts.last_mut() {
            t.sent = self.now;
        }
        let send_deadline = client_request.send_deadline;
        self.deliver(Event::BodyReceived { request: RequestId(id), send_deadline });
    }

    /// Ends an attempt that is in flight. Does nothing if there is no such attempt.
    pub fn outcome(&mut self, id: u64, attempt: usize, outcome: Outcome) {
        self.end_attempt(id, attempt, outcome, false);
    }

    /// Ends an attempt that is in flight, of a request whose body is consumed if `spent` is true.
    pub fn end_attempt(&mut self, id: u64, attempt: usize, outcome: Outcome, spent: bool) {
        let Some(client_request) = self.requests.get_mut(&id) else { return };
        let Some(t) = client_request.attempts.get_mut(attempt).filter(|t| t.ended.is_none()) else {
            return;
        };
        (t.ended, t.ended_at) = (Some(outcome), self.now);
        if let Some(l) = self.departing.get_mut(&t.server.0) {
            l.0 = self.now;
        }
        client_request.is_over |= outcome == Outcome::Ok;
        let answer = CompletedAttempt {
            request: RequestId(id),
            attempt,
            server: t.server,
            outcome,
            latency: self.now.since(t.sent),
            last: client_request.is_over,
            body_consumed: spent,
            report: Report::default(),
        };
        self.deliver(Event::AttemptCompleted(answer));
    }

    pub fn cancel(&mut self, id: u64) {
        if let Some(client_request) = self.requests.get_mut(&id) {
            client_request.is_over = true;
        }
        self.deliver(Event::ClientCancelled(RequestId(id)));
    }

    /// Advances the time and fires timers. Attempts time out at the deadline of their request.
    pub fn advance(&mut self, span: SignedDuration) {
        let end = self.now.plus(span);
        while let Some(i) = (0..self.timers.len()).min_by_key(|&i| self.timers[i].1) {
            if self.timers[i].1 > end {
                break;
            }
            let (token, at) = self.timers.swap_remove(i);
            self.now = self.now.max(at);
            self.check_closed();
            self.time_out_attempts();
            self.deliver(Event::Timer(token));
        }
        self.now = end;
        self.check_closed();
        self.time_out_attempts();
    }

    /// Checks rule 7: idle connections to draining upstreams are closed in time.
    fn check_closed(&self) {
        let within = self.settings.rules.idle_close_limit;
        for (id, (used, closed)) in &self.departing {
            let late = within.0 > 0 && self.now > used.plus(within);
            let missed = closed.is_none_or(|c| c < *used);
            assert!(!(late && missed), "idle connections to {id} open since {used:?}");
        }
    }

    /// Checks rules 5 and 6: the order of requests with the same key, and the zones and machine
    /// types that a class is bound to.
    fn check_order_and_bounds(&self, id: u64, server: ServerId) {
        let mine = &self.requests[&id];
        let class = &self.settings.classes[mine.class];
        let m = &self.members[&server.0];
        assert!(
            class.zones.as_ref().is_none_or(|z| z.contains(&m.zone)),
            "{id} sent to a zone that its class does not allow"
        );
        assert!(
            class.machine_types.as_ref().is_none_or(|k| k.contains(&m.machine_type)),
            "{id} sent to a machine type that its class does not allow"
        );
        if !class.in_order || mine.key.is_none() || !mine.attempts.is_empty() {
            return;
        }
        let like = |a: &&ClientRequest| {
            self.settings.classes[a.class].in_order
                && a.key == mine.key
                && a.arrival_order < mine.arrival_order
        };
        for earlier in self.requests.values().filter(like) {
            let done = earlier.is_over && earlier.attempts.iter().all(|t| t.ended.is_some());
            assert!(done, "{id} sent before an earlier request of its key has ended");
            for t in &earlier.attempts {
                let unsure = [Outcome::Timeout, Outcome::Reset, Outcome::Cancelled];
                let unsure = t.ended.is_some_and(|o| unsure.contains(&o));
                let rested = self.now.since(t.ended_at) >= self.settings.rules.ordering_key_rest;
                assert!(!unsure || rested, "{id} sent before its key has rested");
            }
        }
    }

    fn time_out_attempts(&mut self) {
        let due = |a: &ClientRequest| a.send_deadline <= self.now;
        let late: Vec<u64> =
            self.requests.iter().filter(|(_, a)| due(a)).map(|(id, _)| *id).collect();
        for id in late {
            for attempt in 0..self.requests[&id].attempts.len() {
                self.outcome(id, attempt, Outcome::Timeout);
            }
        }
    }

    fn apply_actions(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            self.log.push(action);
            match action {
                Action::Send { request, server, timeout, send_by } => {
                    self.check_send(request.0, server, timeout, send_by);
                }
                Action::Refuse { request, .. } => {
                    let class = &self.settings.classes[self.requests[&request.0].class];
                    let ran = self.requests[&request.0].attempts.iter().any(may_have_run);
                    let harmless = class.effect == Effect::Safe
                        || (class.effect == Effect::Keyed && class.group == Group::All);
                    assert!(harmless || !ran, "rejected {request:?} that may have run");
                    self.end(request.0);
                }
                Action::Fail { request } => self.end(request.0),
                Action::Arm { token, at } => self.timers.push((token, at)),
                Action::Cancel { request, attempt } => {
                    assert!(
                        attempt < self.requests[&request.0].attempts.len(),
                        "cancelled an attempt that was not sent"
                    );
                }
                Action::CloseIdle { server } => {
                    if let Some(l) = self.departing.get_mut(&server.0) {
                        l.1 = Some(self.now);
                    }
                }
                Action::Probe { .. } | Action::Subscribe => {}
            }
        }
    }

    fn end(&mut self, id: u64) {
        let client_request = self.requests.get_mut(&id).expect("a known request");
        assert!(!client_request.is_over, "a second final answer for {id}");
        client_request.is_over = true;
    }

    fn check_send(&mut self, id: u64, server: ServerId, timeout: SignedDuration, send_by: Time) {
        let client_request = &self.requests[&id];
        assert!(!client_request.is_over, "sent {id} after its end");
        assert!(self.now < client_request.send_deadline && timeout.0 > 0);
        assert!(
            self.now.plus(timeout) <= client_request.send_deadline,
            "the attempt's timeout exceeds the client's deadline"
        );
        assert_eq!(self.members[&server.0].status, Status::Live, "sent to a drained upstream");
        assert!(client_request.attempts.len() < self.settings.limits.max_attempts);
        if !self.settings.limits.hedging {
            assert!(
                client_request.attempts.iter().all(|t| t.ended.is_some()),
                "two attempts in flight without hedging"
            );
        }
        let class = &self.settings.classes[client_request.class];
        for before in client_request.attempts.iter().filter(|t| may_have_run(t)) {
            let same = match class.group {
                Group::All => true,
                Group::Zone => self.zone(before.server) == self.zone(server),
                Group::Cell => self.members[&before.server.0].cell == self.members[&server.0].cell,
            };
            let is_within_window = self.now.since(before.sent) < class.window;
            let allowed = match class.effect {
                Effect::Safe => true,
                Effect::Keyed => same && is_within_window,
                Effect::Unsafe => false,
            };
            assert!(allowed, "{id} may run twice");
        }
        let ran = client_request
            .attempts
            .iter()
            .filter(|t| may_have_run(t) && class.effect == Effect::Keyed);
        let within = ran.map(|t| t.sent.plus(class.window)).all(|end| send_by <= end);
        assert!(within, "{id} may be sent after the window in which repeats are dropped");
        assert!(self.now < send_by && send_by <= client_request.send_deadline);
        self.check_order_and_bounds(id, server);
        let sent = SentAttempt { server, sent: self.now, ended: None, ended_at: self.now };
        self.requests.get_mut(&id).expect("known").attempts.push(sent);
    }

    fn zone(&self, id: ServerId) -> u32 {
        self.members[&id.0].zone
    }

    pub fn in_flight_at(&self, id: u64) -> Option<ServerId> {
        self.requests[&id].attempts.iter().rev().find(|t| t.ended.is_none()).map(|t| t.server)
    }

    pub fn refused(&self, id: u64) -> bool {
        self.log.iter().any(|a| matches!(a, Action::Refuse { request, .. } if request.0 == id))
    }

    pub fn failed(&self, id: u64) -> bool {
        self.log.contains(&Action::Fail { request: RequestId(id) })
    }

    pub fn sends_to(&self, server: u32) -> usize {
        let to = |a: &&Action| matches!(a, Action::Send { server: s, .. } if s.0 == server);
        self.log.iter().filter(to).count()
    }
}

fn may_have_run(t: &SentAttempt) -> bool {
    !t.ended.is_some_and(Outcome::never_ran)
}
