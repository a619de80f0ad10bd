//! The stand-in operator: makes the scenario's calls at the admin APIs, retries at another balancer
//! where no answer came, and polls every balancer's status. It trusts no answer; every answer is
//! recorded in the trace.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::cluster::Balancers;
use crate::policy_actions::Call;
use crate::record::{At, Observation};
use crate::run_context::{Host, RunContext};
use crate::scenario::OperatorVerb;
use crate::wire::{Direction, Exchange};

/// Timeout of a call; the admin API answers within this time.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Timeout of a status poll, which no action depends on.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of revisions fetched by one poll. The rest is fetched by the next ones.
const MAX_FETCHED: usize = 16;
/// Maximum age of a balancer's statement about the leader.
const LEADER_MAX_AGE: Duration = Duration::from_secs(1);

/// The stand-in operator of a run.
pub struct Operator {
    context: Rc<RunContext>,
    balancers: Rc<Balancers>,
    /// Revisions already fetched from a balancer, by balancer, start, epoch of the log and number.
    fetched_revisions: RefCell<BTreeSet<(usize, u32, u32, u64)>>,
    /// The leader, as each balancer reported last.
    leaders: RefCell<BTreeMap<usize, (Instant, usize)>>,
}

impl Operator {
    /// Creates an operator that doesn't poll yet.
    pub fn new(context: &Rc<RunContext>, balancers: &Rc<Balancers>) -> Rc<Self> {
        let (fetched_revisions, leaders) = (RefCell::default(), RefCell::default());
        Rc::new(Self {
            context: context.clone(),
            balancers: balancers.clone(),
            fetched_revisions,
            leaders,
        })
    }

    /// Starts polling every balancer, staggered within each interval.
    pub fn start_polling(self: &Rc<Self>) {
        let (count, every) = (
            self.context.scenario.cluster.count,
            self.context.scenario.cluster.policy.poll_interval,
        );
        for balancer in 0..count {
            let operator = self.clone();
            spawn_local(async move {
                sleep(every * balancer as u32 / count as u32).await;
                loop {
                    let from = Instant::now();
                    operator.poll(balancer).await;
                    sleep(every.saturating_sub(from.elapsed()).max(Duration::from_millis(1))).await;
                }
            });
        }
    }

    async fn poll(&self, balancer: usize) {
        if !self.balancers.runs(balancer) {
            return;
        }
        let (start, asked) = (self.context.start_of(balancer), self.context.record.now());
        let response =
            timeout(POLL_TIMEOUT, self.call(balancer, "GET", "/admin/bank", &Value::Null)).await;
        let Ok(Some((200, text))) = response else { return };
        let Some(seen) = parse_status(balancer, start, asked, &text) else { return };
        let Observation::BalancerStatus {
            revision, target, newest, leader, has_lease, epoch, ..
        } = seen
        else {
            return;
        };
        if let Some(leader) = leader.filter(|_| has_lease) {
            self.leaders.borrow_mut().insert(balancer, (Instant::now(), leader));
        }
        self.context.record.saw(seen);
        let wanted = [Some(revision), target, Some(newest)].into_iter().flatten();
        let known =
            |n: &u64| self.fetched_revisions.borrow().contains(&(balancer, start, epoch, *n));
        if wanted.clone().any(|n| !known(&n)) {
            self.fetch(balancer, start, epoch).await;
        }
    }

    /// Fetches the revisions that were not fetched from this start of the balancer yet.
    async fn fetch(&self, balancer: usize, start: u32, epoch: u32) {
        let all =
            timeout(POLL_TIMEOUT, self.call(balancer, "GET", "/admin/revisions", &Value::Null));
        let Ok(Some((200, all))) = all.await else { return };
        let listed = all["revisions"].as_array().into_iter().flatten();
        let numbers = listed.filter_map(|r| r["revision"].as_u64());
        let new = numbers
            .filter(|n| !self.fetched_revisions.borrow().contains(&(balancer, start, epoch, *n)));
        let new: Vec<u64> = new.take(MAX_FETCHED).collect();
        let mut fetched = Vec::new();
        for number in new {
            let path = format!("/admin/revisions/{number}");
            let response =
                timeout(POLL_TIMEOUT, self.call(balancer, "GET", &path, &Value::Null)).await;
            let Ok(Some((200, mut text))) = response else { return };
            let document = text["document"].take();
            fetched.push((number, document));
        }
        // If the log has changed meanwhile, the same numbers may mean other revisions.
        let again =
            timeout(POLL_TIMEOUT, self.call(balancer, "GET", "/admin/bank", &Value::Null)).await;
        let Ok(Some((200, text))) = again else { return };
        if epoch_of(&text) != epoch || self.context.start_of(balancer) != start {
            return;
        }
        for (number, document) in fetched {
            self.fetched_revisions.borrow_mut().insert((balancer, start, epoch, number));
            self.context.record.saw(Observation::Revision {
                balancer,
                start,
                epoch,
                number,
                document,
            });
        }
    }

    /// Returns the leader that most balancers reported recently.
    pub fn leader(&self) -> Option<usize> {
        let mut votes: BTreeMap<usize, usize> = BTreeMap::new();
        for (at, leader) in self.leaders.borrow().values() {
            if at.elapsed() < LEADER_MAX_AGE {
                *votes.entry(*leader).or_default() += 1;
            }
        }
        // Ties go to the lower number.
        let most =
            votes.into_iter().max_by_key(|(leader, votes)| (*votes, std::cmp::Reverse(*leader)));
        most.map(|(leader, _)| leader)
    }

    /// Makes one call, and retries at the next balancer until one answers or the time is over.
    pub async fn execute(self: Rc<Self>, call: Call) {
        let (from, count) = (Instant::now(), self.context.scenario.cluster.count);
        let (mut attempts, mut target, mut to) = (0, call.balancer, None);
        loop {
            if call.rollback_steps.is_some() && to.is_none() {
                to = self.revision_before(target, call.rollback_steps.unwrap_or(1)).await;
            }
            // If this balancer can't tell the revision to roll back to, the next one is asked.
            if call.rollback_steps.is_none() || to.is_some() {
                let answered = self.call_once(&call, target, attempts, to).await;
                attempts += 1;
                match answered {
                    // A step has to be taken first, so the call is repeated. The same id would
                    // return the same answer, so the next attempt has a new one.
                    Some(202) => {}
                    Some(status) if status != 504 && status != 503 => return,
                    _ => target = (target + 1) % count,
                }
            } else {
                target = (target + 1) % count;
            }
            if from.elapsed() >= call.retry_for {
                return;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    async fn call_once(
        &self,
        call: &Call,
        target: usize,
        attempts: u32,
        to: Option<u64>,
    ) -> Option<u16> {
        let mut body = call.body.clone();
        let id = call.id.map(|id| match call.verb {
            // A call rejected because another change was pending is a new call.
            OperatorVerb::FallbackPolicy => {
                format!("{:032x}", id.wrapping_add(u128::from(attempts)))
            }
            _ => format!("{id:032x}"),
        });
        if let Some(id) = &id {
            body["id"] = id.clone().into();
        }
        if let Some(to) = to {
            body["to"] = to.into();
        }
        let (number, verb) = (call.number, call.verb);
        let call_event = Observation::OperatorCall {
            call: number,
            earlier_attempts: attempts,
            balancer: target,
            verb,
            id,
            member: call.member,
        };
        self.context.record.saw(call_event);
        let response =
            timeout(CALL_TIMEOUT, self.call(target, "POST", call.path, &body)).await.ok().flatten();
        let text = response.as_ref().map(|(_, text)| text);
        let number = text.and_then(|t| t["revision"].as_u64().or(t["entry"].as_u64()));
        let everywhere = text.is_some_and(|t| t["everywhere"] == json!(true));
        let why = text.and_then(|t| t["error"].as_str().map(str::to_string));
        let status = response.as_ref().map(|(status, _)| *status);
        let call = call.number;
        self.context.record.saw(Observation::OperatorAnswer {
            call,
            balancer: target,
            verb,
            status,
            number,
            in_force_everywhere: everywhere,
            why,
        });
        status
    }

    /// Returns the number of the revision this many steps before the newest, as listed by a
    /// balancer.
    async fn revision_before(&self, target: usize, back: u32) -> Option<u64> {
        let call = self.call(target, "GET", "/admin/revisions", &Value::Null);
        let (_, text) = timeout(POLL_TIMEOUT, call).await.ok().flatten()?;
        let all: Vec<u64> =
            text["revisions"].as_array()?.iter().filter_map(|r| r["revision"].as_u64()).collect();
        all.get(back as usize).or(all.last()).copied()
    }

    /// Makes one call at a balancer's admin API. Returns the status and the body.
    async fn call(
        &self,
        target: usize,
        method: &str,
        path: &str,
        body: &Value,
    ) -> Option<(u16, Value)> {
        let at = self.balancers.admin_address(target)?;
        let network = self.context.testbed.network(Host::Clients(target));
        let mut exchange = Exchange::new(network.connect(at).await.ok()?);
        let body = if body.is_null() { String::new() } else { body.to_string() };
        let length = body.len();
        let call = format!(
            "{method} {path} HTTP/1.1\r\nHost: door\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        exchange.write(call.as_bytes()).await.ok()?;
        let answer = exchange.message(Direction::Responses).await.ok()?;
        Some((answer.status(), serde_json::from_slice(&answer.body).unwrap_or_default()))
    }
}

/// Parses a status answer, as far as the checker needs it.
fn parse_status(balancer: usize, start: u32, asked: At, text: &Value) -> Option<Observation> {
    let texts = |v: &Value| -> Vec<String> {
        v.as_array().into_iter().flatten().filter_map(|t| t.as_str().map(str::to_string)).collect()
    };
    let numbers = |v: &Value| -> Vec<u32> {
        let all = v.as_array().into_iter().flatten().filter_map(Value::as_u64);
        all.filter_map(|n| u32::try_from(n).ok()).collect()
    };
    Some(Observation::BalancerStatus {
        balancer,
        start,
        requested_at: asked,
        revision: text["revision"].as_u64()?,
        target: text["towards"].as_u64(),
        newest: text["newest"].as_u64()?,
        has_lease: text["lease"]["held"].as_bool()?,
        unconfirmed: text["unconfirmed"].as_bool()?,
        fallback_cells: numbers(&text["charter"]["pods"]),
        fallback_exceptions: texts(&text["charter"]["except"]),
        fallback_pending: text["charter"]["awaited"].as_bool()?,
        leader: text["council"]["leader"].as_u64().and_then(|n| usize::try_from(n).ok()),
        epoch: epoch_of(text),
    })
}

/// Returns the epoch of the log that the balancer knows: the number before the dot.
fn epoch_of(text: &Value) -> u32 {
    let log = text["council"]["log"].as_str().unwrap_or_default();
    log.split('.').next().and_then(|epoch| epoch.parse().ok()).unwrap_or(0)
}
