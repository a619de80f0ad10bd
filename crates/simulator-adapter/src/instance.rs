//! One balancer, and the mapping between its handles and the names in the wire format.

use hollowpaddle_policy::interface::{
    Action, CompletedAttempt, Event, ListKind, Member, Outcome, Report, Request, RequestId,
    ServerId, SettingsError, Status, Time,
};
use hollowpaddle_policy::policy::Balancer;
use hollowpaddle_policy::settings::{Field, key_hash, span, stable_hash};
use rustc_hash::FxHashMap;

use crate::wire::{self, Command};

/// Converts a time in milliseconds to a time of the decision module.
pub fn time(ms: f64) -> Time {
    Time(span(ms).0)
}

fn ms(us: i64) -> f64 {
    us as f64 / 1000.0
}

/// A request that later messages or commands may still name.
struct NamedRequest {
    name: Box<str>,
    attempts_in_flight: usize,
    is_over: bool,
}

/// One balancer of the cluster.
pub struct Instance {
    /// Number of the balancer in the wire format.
    number: u64,
    balancer: Balancer,
    classes: usize,
    /// The field of each value of a load report.
    report_fields: Vec<Field>,
    servers: FxHashMap<Box<str>, ServerId>,
    server_names: Vec<Box<str>>,
    request_ids: FxHashMap<Box<str>, u64>,
    requests: FxHashMap<u64, NamedRequest>,
    next_request: u64,
    /// Reused between events.
    actions: Vec<Action>,
    /// Reused between list events.
    members: Vec<Member>,
}

impl Instance {
    /// Starts a balancer.
    ///
    /// # Errors
    /// Returns an error if the settings are invalid.
    pub fn new(now: Time, init: &wire::Init) -> Result<Self, SettingsError> {
        let settings = &init.settings;
        let names = settings.stats.names.iter();
        Ok(Self {
            number: init.balancer,
            balancer: Balancer::new(settings.settings(), init.seed, now)?,
            classes: settings.services.len(),
            report_fields: names.map(|name| Field::named(name)).collect(),
            servers: FxHashMap::default(),
            server_names: Vec::new(),
            request_ids: FxHashMap::default(),
            requests: FxHashMap::default(),
            next_request: 0,
            actions: Vec::new(),
            members: Vec::new(),
        })
    }

    /// Delivers a message, and writes the resulting commands, each followed by a comma.
    ///
    /// # Errors
    /// Returns an error if a field has a value without a meaning.
    pub fn handle(
        &mut self,
        now: Time,
        event: &wire::Event,
        out: &mut Vec<u8>,
    ) -> Result<(), String> {
        match event {
            wire::Event::Order(message) => self.order(now, message, out)?,
            wire::Event::Result(message) => self.result(now, message, out)?,
            wire::Event::TimeoutFired(message) => {
                self.deliver(now, Event::Timer(message.token), out);
            }
            wire::Event::Left(message) => self.left(now, &message.request, out),
            wire::Event::Membership(message) => self.membership(now, message, out),
            wire::Event::Sampled(message) => self.sampled(now, message, out),
            wire::Event::Established(message) => self.established(now, &message.request, out),
            wire::Event::Memo(_) | wire::Event::Init(_) | wire::Event::Down(_) => {}
        }
        Ok(())
    }

    fn order(&mut self, now: Time, message: &wire::Order, out: &mut Vec<u8>) -> Result<(), String> {
        if message.class >= self.classes {
            return Err(format!("field `TierClass`: no class {}", message.class));
        }
        let request = Request {
            id: RequestId(self.next_request),
            class: message.class,
            tenant: message.tenant,
            key: message.routing_key.as_deref().map(key_hash),
            send_deadline: time(message.send_deadline),
            cost_guess: message.cost_guess.map(span),
            resent: message.is_resent,
            write: message.is_write,
            streams_body: false,
            sticky_cell: None,
        };
        let name: Box<str> = message.request.as_ref().into();
        self.request_ids.insert(name.clone(), self.next_request);
        let named = NamedRequest { name, attempts_in_flight: 0, is_over: false };
        self.requests.insert(self.next_request, named);
        self.next_request += 1;
        self.deliver(now, Event::Request(request), out);
        Ok(())
    }

    fn result(
        &mut self,
        now: Time,
        message: &wire::Outcome,
        out: &mut Vec<u8>,
    ) -> Result<(), String> {
        let outcome = outcome(message.status_code)?;
        let Some(&id) = self.request_ids.get(message.request.as_ref()) else { return Ok(()) };
        let Some(&server) = self.servers.get(message.upstream.as_ref()) else { return Ok(()) };
        let completed = CompletedAttempt {
            request: RequestId(id),
            attempt: message.attempt,
            server,
            outcome,
            latency: span(message.latency),
            last: message.is_final,
            body_consumed: false,
            report: self.report(message.load_report.as_ref()),
        };
        self.balancer.handle(now, Event::AttemptCompleted(completed), &mut self.actions);
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
            request.is_over |= message.is_final;
        }
        self.flush(out);
        self.forget(id);
        Ok(())
    }

    fn left(&mut self, now: Time, request: &str, out: &mut Vec<u8>) {
        let Some(&id) = self.request_ids.get(request) else { return };
        self.balancer.handle(now, Event::ClientCancelled(RequestId(id)), &mut self.actions);
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_over = true;
        }
        self.flush(out);
        self.forget(id);
    }

    fn established(&mut self, now: Time, request: &str, out: &mut Vec<u8>) {
        let Some(&id) = self.request_ids.get(request) else { return };
        self.deliver(now, Event::Started(RequestId(id)), out);
    }

    fn sampled(&mut self, now: Time, message: &wire::Sampled, out: &mut Vec<u8>) {
        let Some(&server) = self.servers.get(message.upstream.as_ref()) else { return };
        let ok = message.status_code == 200;
        let latency = span(message.latency);
        let report = self.report(message.load_report.as_ref());
        self.deliver(now, Event::HealthChecked { server, ok, latency, report }, out);
    }

    fn membership(&mut self, now: Time, message: &wire::Membership, out: &mut Vec<u8>) {
        let mut members = std::mem::take(&mut self.members);
        members.clear();
        members.extend(message.members.iter().map(|line| self.member(line)));
        let kind = match message.kind {
            wire::ListKind::Update => ListKind::Update,
            wire::ListKind::Replace => ListKind::Complete,
            wire::ListKind::Restored => ListKind::Restored,
            wire::ListKind::Unavailable => ListKind::Unavailable,
        };
        self.deliver(now, Event::Members { kind, list: &members }, out);
        self.members = members;
    }

    fn member(&mut self, line: &wire::Line) -> Member {
        let name = line.upstream.as_ref();
        Member {
            id: self.server_id(name),
            identity: stable_hash(name),
            zone: line.zone,
            machine_type: line.machine_type,
            cell: line.cell,
            status: match line.status {
                wire::Status::Live => Status::Live,
                wire::Status::Quiescing => Status::Draining,
                wire::Status::Dead => Status::Gone,
            },
            weight: line.weight,
            started: (line.started > 0.0).then(|| time(line.started)),
            barred_classes: 0,
        }
    }

    /// Returns the handle of an upstream, and creates a handle for a new name.
    fn server_id(&mut self, name: &str) -> ServerId {
        if let Some(&id) = self.servers.get(name) {
            return id;
        }
        let id = ServerId(self.server_names.len() as u32);
        self.server_names.push(name.into());
        self.servers.insert(name.into(), id);
        id
    }

    fn deliver(&mut self, now: Time, event: Event, out: &mut Vec<u8>) {
        self.balancer.handle(now, event, &mut self.actions);
        self.flush(out);
    }

    fn report(&self, row: Option<&wire::Row>) -> Report {
        let mut report = Report::default();
        for (field, &value) in self.report_fields.iter().zip(row.into_iter().flatten()) {
            field.set(&mut report, value);
        }
        report
    }

    /// Writes the actions of the decision module as commands, in order.
    fn flush(&mut self, out: &mut Vec<u8>) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.write_action(action, out);
        }
        self.actions = actions;
    }

    fn write_action(&mut self, action: Action, out: &mut Vec<u8>) {
        match action {
            Action::Send { request, server, timeout, .. } => {
                self.write_send(request, server, ms(timeout.0), out);
            }
            Action::Refuse { request, retry_after, .. } => {
                let retry_after = ms(retry_after.0);
                self.write_end(request, out, |balancer, request| Command::NotNow {
                    balancer,
                    request,
                    retry_after,
                });
            }
            Action::Fail { request } => {
                self.write_end(request, out, |balancer, request| Command::FinishError {
                    balancer,
                    request,
                });
            }
            Action::Cancel { request, attempt } => {
                let Some(request) = self.requests.get(&request.0) else { return };
                let (balancer, request) = (self.number, &*request.name);
                write(out, &Command::Retract { balancer, request, attempt });
            }
            Action::Arm { token, at } => {
                write(out, &Command::Arm { balancer: self.number, token, at: ms(at.0) });
            }
            Action::Probe { server } => {
                let upstream = &self.server_names[server.0 as usize];
                write(out, &Command::Ping { balancer: self.number, upstream });
            }
            Action::CloseIdle { server } => {
                let upstream = &self.server_names[server.0 as usize];
                write(out, &Command::FreeLinks { balancer: self.number, upstream });
            }
            Action::Subscribe => {
                write(out, &Command::KeepInformed { balancer: self.number, enable: true });
            }
        }
    }

    fn write_send(
        &mut self,
        request: RequestId,
        server: ServerId,
        timeout: f64,
        out: &mut Vec<u8>,
    ) {
        let Some(request) = self.requests.get_mut(&request.0) else { return };
        request.attempts_in_flight += 1;
        let (balancer, request) = (self.number, &*request.name);
        let upstream = &self.server_names[server.0 as usize];
        write(out, &Command::Relay { balancer, request, upstream, timeout });
    }

    /// Writes the final answer of a request, which `command` creates.
    fn write_end(
        &mut self,
        id: RequestId,
        out: &mut Vec<u8>,
        command: impl for<'a> FnOnce(u64, &'a str) -> Command<'a>,
    ) {
        let Some(request) = self.requests.get_mut(&id.0) else { return };
        request.is_over = true;
        write(out, &command(self.number, &request.name));
        self.forget(id.0);
    }

    /// Removes a finished request without attempts in flight.
    fn forget(&mut self, id: u64) {
        let is_done = |r: &NamedRequest| r.is_over && r.attempts_in_flight == 0;
        if self.requests.get(&id).is_some_and(is_done)
            && let Some(request) = self.requests.remove(&id)
        {
            self.request_ids.remove(&request.name);
        }
    }
}

fn write(out: &mut Vec<u8>, command: &Command) {
    // Writing plain structs to memory cannot fail.
    let _ = serde_json::to_writer(&mut *out, command);
    out.push(b',');
}

/// Returns the outcome that a status code stands for.
fn outcome(status_code: u16) -> Result<Outcome, String> {
    Ok(match status_code {
        200 => Outcome::Ok,
        500 => Outcome::Error,
        503 => Outcome::Full,
        504 => Outcome::Timeout,
        502 => Outcome::ConnectFailed,
        598 => Outcome::Reset,
        499 => Outcome::Cancelled,
        410 => Outcome::Moot,
        _ => return Err(format!("field `Rc`: no outcome {status_code}")),
    })
}
