//! One balancer of the bank and the names its handles stand for.

use hollowpaddle_policy::interface::{self as d, Action, Event, Report, RequestId, ServerId, Time};
use hollowpaddle_policy::policy::Balancer;
use hollowpaddle_policy::settings::{Field, key_hash, span, stable_hash};
use rustc_hash::FxHashMap;

use crate::wire::{self, Command};

pub fn time(ms: f64) -> Time {
    Time(span(ms).0)
}

fn ms(us: i64) -> f64 {
    us as f64 / 1000.0
}

/// A request that may still be named on the wire.
struct Job {
    name: Box<str>,
    out: usize,
    over: bool,
}

pub struct Instance {
    who: u64,
    balancer: Balancer,
    classes: usize,
    fields: Vec<Field>,
    servers: FxHashMap<Box<str>, ServerId>,
    server_names: Vec<Box<str>>,
    by_name: FxHashMap<Box<str>, u64>,
    jobs: FxHashMap<u64, Job>,
    next_job: u64,
    actions: Vec<Action>,
    members: Vec<d::Member>,
}

impl Instance {
    pub fn new(now: Time, init: &wire::Init) -> Result<Self, d::SettingsError> {
        let facts = &init.facts;
        Ok(Self {
            who: init.who,
            balancer: Balancer::new(facts.settings(), init.entropy, now)?,
            classes: facts.services.len(),
            fields: facts.stats.names.iter().map(|name| Field::named(name)).collect(),
            servers: FxHashMap::default(),
            server_names: Vec::new(),
            by_name: FxHashMap::default(),
            jobs: FxHashMap::default(),
            next_job: 0,
            actions: Vec::new(),
            members: Vec::new(),
        })
    }

    pub fn order(&mut self, now: Time, m: &wire::Order, out: &mut Vec<u8>) -> Result<(), String> {
        if m.tier_class >= self.classes {
            return Err(format!("field `TierClass`: no class {}", m.tier_class));
        }
        let key = m.object.as_deref();
        let request = d::Request {
            id: RequestId(self.next_job),
            class: m.tier_class,
            tenant: m.party,
            key: key.map(key_hash),
            send_deadline: time(m.send_deadline),
            cost_guess: m.cost_guess.map(span),
            resent: m.resent,
            write: m.write,
            flows: false,
            sticky_cell: None,
        };
        let name: Box<str> = m.job.as_ref().into();
        self.by_name.insert(name.clone(), self.next_job);
        self.jobs.insert(self.next_job, Job { name, out: 0, over: false });
        self.next_job += 1;
        self.tell(now, Event::Request(request), out);
        Ok(())
    }

    pub fn result(
        &mut self,
        now: Time,
        m: &wire::Outcome,
        out: &mut Vec<u8>,
    ) -> Result<(), String> {
        let outcome = outcome(m.rc)?;
        let (Some(&handle), Some(&server)) =
            (self.by_name.get(m.job.as_ref()), self.servers.get(m.upstream.as_ref()))
        else {
            return Ok(());
        };
        let answer = d::Answer {
            request: RequestId(handle),
            attempt: m.go,
            server,
            outcome,
            latency: span(m.latency),
            last: m.last,
            spent: false,
            report: self.report(m.metrics.as_ref()),
        };
        self.balancer.handle(now, Event::Answered(answer), &mut self.actions);
        if let Some(job) = self.jobs.get_mut(&handle) {
            job.out = job.out.saturating_sub(1);
            job.over |= m.last;
        }
        self.flush(out);
        self.forget(handle);
        Ok(())
    }

    pub fn left(&mut self, now: Time, job: &str, out: &mut Vec<u8>) {
        let Some(&handle) = self.by_name.get(job) else { return };
        self.balancer.handle(now, Event::ClientLeft(RequestId(handle)), &mut self.actions);
        self.jobs.entry(handle).and_modify(|j| j.over = true);
        self.flush(out);
        self.forget(handle);
    }

    pub fn established(&mut self, now: Time, job: &str, out: &mut Vec<u8>) {
        let Some(&handle) = self.by_name.get(job) else { return };
        self.tell(now, Event::Started(RequestId(handle)), out);
    }

    pub fn timer(&mut self, now: Time, token: u64, out: &mut Vec<u8>) {
        self.tell(now, Event::Timer(token), out);
    }

    pub fn sampled(&mut self, now: Time, m: &wire::Sampled, out: &mut Vec<u8>) {
        let Some(&server) = self.servers.get(m.upstream.as_ref()) else { return };
        let (ok, latency) = (m.rc == 200, span(m.latency));
        let report = self.report(m.metrics.as_ref());
        self.tell(now, Event::Probed { server, ok, latency, report }, out);
    }

    pub fn membership(&mut self, now: Time, m: &wire::Membership, out: &mut Vec<u8>) {
        let mut members = std::mem::take(&mut self.members);
        members.clear();
        members.extend(m.lines.iter().map(|line| self.member(line)));
        let kind = match m.kind {
            wire::ListKind::Update => d::ListKind::Update,
            wire::ListKind::Replace => d::ListKind::Complete,
            wire::ListKind::Restored => d::ListKind::Restored,
            wire::ListKind::Unavailable => d::ListKind::Unavailable,
        };
        self.tell(now, Event::Members { kind, list: &members }, out);
        self.members = members;
    }

    fn member(&mut self, line: &wire::Line) -> d::Member {
        let name = line.upstream.as_ref();
        let id = self.servers.get(name).copied().unwrap_or_else(|| {
            let id = ServerId(self.server_names.len() as u32);
            self.server_names.push(name.into());
            self.servers.insert(name.into(), id);
            id
        });
        d::Member {
            id,
            identity: stable_hash(name),
            zone: line.az,
            kind: line.kind,
            cell: line.pack,
            status: match line.status {
                wire::Status::Live => d::Status::Live,
                wire::Status::Quiescing => d::Status::Draining,
                wire::Status::Dead => d::Status::Gone,
            },
            weight: line.capacity_hint,
            started: (line.online_since > 0.0).then(|| time(line.online_since)),
            barred: 0,
        }
    }

    fn tell(&mut self, now: Time, event: Event, out: &mut Vec<u8>) {
        self.balancer.handle(now, event, &mut self.actions);
        self.flush(out);
    }

    fn report(&self, row: Option<&wire::Row>) -> Report {
        let mut report = Report::default();
        for (field, &value) in self.fields.iter().zip(row.into_iter().flatten()) {
            field.set(&mut report, value);
        }
        report
    }

    /// Writes the module's actions in its order, each with a comma behind it.
    fn flush(&mut self, out: &mut Vec<u8>) {
        let who = self.who;
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { request, server, timeout, .. } => {
                    let Some(job) = self.jobs.get_mut(&request.0) else { continue };
                    job.out += 1;
                    let upstream = &self.server_names[server.0 as usize];
                    let allow_for = ms(timeout.0);
                    write(out, &Command::Relay { who, job: &job.name, upstream, allow_for });
                }
                Action::Refuse { request, retry_after, .. } => {
                    let Some(job) = self.jobs.get_mut(&request.0) else { continue };
                    job.over = true;
                    let cool_down = ms(retry_after.0);
                    write(out, &Command::NotNow { who, job: &job.name, cool_down });
                    self.forget(request.0);
                }
                Action::Fail { request } => {
                    let Some(job) = self.jobs.get_mut(&request.0) else { continue };
                    job.over = true;
                    write(out, &Command::FinishError { who, job: &job.name });
                    self.forget(request.0);
                }
                Action::Cancel { request, attempt } => {
                    let Some(job) = self.jobs.get(&request.0) else { continue };
                    write(out, &Command::Retract { who, job: &job.name, go: attempt });
                }
                Action::Arm { token, at } => {
                    write(out, &Command::Arm { who, token, instant: ms(at.0) });
                }
                Action::Probe { server } => {
                    let upstream = &self.server_names[server.0 as usize];
                    write(out, &Command::Ping { who, upstream });
                }
                Action::CloseIdle { server } => {
                    let upstream = &self.server_names[server.0 as usize];
                    write(out, &Command::FreeLinks { who, upstream });
                }
                Action::Subscribe => write(out, &Command::KeepInformed { who, enable: true }),
            }
        }
        self.actions = actions;
    }

    /// Drops the name of a request that is over and has nothing out.
    fn forget(&mut self, handle: u64) {
        if self.jobs.get(&handle).is_some_and(|j| j.over && j.out == 0)
            && let Some(job) = self.jobs.remove(&handle)
        {
            self.by_name.remove(&job.name);
        }
    }
}

fn write(out: &mut Vec<u8>, command: &Command) {
    // Writing plain structs to memory cannot fail.
    let _ = serde_json::to_writer(&mut *out, command);
    out.push(b',');
}

fn outcome(rc: u16) -> Result<d::Outcome, String> {
    Ok(match rc {
        200 => d::Outcome::Ok,
        500 => d::Outcome::Error,
        503 => d::Outcome::Full,
        504 => d::Outcome::Timeout,
        502 => d::Outcome::ConnectFailed,
        598 => d::Outcome::Reset,
        499 => d::Outcome::Cancelled,
        410 => d::Outcome::Moot,
        _ => return Err(format!("field `Rc`: no outcome {rc}")),
    })
}
