//! The stand-in operator: says at the doors what the day says, asks again at another door where no answer came, and looks
//! at every door now and then. It believes nothing; all that it is told goes into the account.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::cluster::Bank;
use crate::policy_actions::Call;
use crate::record::{At, Observation};
use crate::scenario::OperatorVerb;
use crate::stage::{Stage, Who};
use crate::wire::{Exchange, Side};

/// A call without an answer by then has none: a door keeps no caller longer.
const NO_ANSWER: Duration = Duration::from_millis(2_500);
/// The same for a look, which nobody waits for.
const NO_LOOK: Duration = Duration::from_millis(1_000);
/// Between two tries.
const AGAIN: Duration = Duration::from_millis(200);
/// Revisions that one look fetches at most. What is left comes with the next ones.
const FETCHED: usize = 16;
/// A word of who leads is as old at most.
const LEADS: Duration = Duration::from_secs(1);

/// The stand-in operator of a run.
pub struct Operator {
    stage: Rc<Stage>,
    bank: Rc<Bank>,
    /// Revisions whose content a door has told already, by balancer, start and epoch of the log.
    told: RefCell<BTreeSet<(usize, u32, u32, u64)>>,
    /// Who leads, as each door said last.
    leaders: RefCell<BTreeMap<usize, (Instant, usize)>>,
}

impl Operator {
    /// Looks at no door yet.
    pub fn new(stage: &Rc<Stage>, bank: &Rc<Bank>) -> Rc<Self> {
        let (told, leaders) = (RefCell::default(), RefCell::default());
        Rc::new(Self { stage: stage.clone(), bank: bank.clone(), told, leaders })
    }

    /// Looks at every door from now on, one after another within each round.
    pub fn look(self: &Rc<Self>) {
        let (count, every) =
            (self.stage.scenario.cluster.count, self.stage.scenario.cluster.policy.poll_interval);
        for balancer in 0..count {
            let operator = self.clone();
            spawn_local(async move {
                sleep(every * balancer as u32 / count as u32).await;
                loop {
                    let from = Instant::now();
                    operator.look_at(balancer).await;
                    sleep(every.saturating_sub(from.elapsed()).max(Duration::from_millis(1))).await;
                }
            });
        }
    }

    async fn look_at(&self, balancer: usize) {
        if !self.bank.runs(balancer) {
            return;
        }
        let (start, asked) = (self.stage.start_of(balancer), self.stage.record.now());
        let told = timeout(NO_LOOK, self.call(balancer, "GET", "/admin/bank", &Value::Null)).await;
        let Ok(Some((200, text))) = told else { return };
        let Some(seen) = stands(balancer, start, asked, &text) else { return };
        let Observation::BalancerStatus {
            revision, target, newest, leader, has_lease, epoch, ..
        } = seen
        else {
            return;
        };
        if let Some(leader) = leader.filter(|_| has_lease) {
            self.leaders.borrow_mut().insert(balancer, (Instant::now(), leader));
        }
        self.stage.record.saw(seen);
        let wanted = [Some(revision), target, Some(newest)].into_iter().flatten();
        let known = |n: &u64| self.told.borrow().contains(&(balancer, start, epoch, *n));
        if wanted.clone().any(|n| !known(&n)) {
            self.fetch(balancer, start, epoch).await;
        }
    }

    /// Has a door tell of the revisions that it has not told of in this life.
    async fn fetch(&self, balancer: usize, start: u32, epoch: u32) {
        let all = timeout(NO_LOOK, self.call(balancer, "GET", "/admin/revisions", &Value::Null));
        let Ok(Some((200, all))) = all.await else { return };
        let listed = all["revisions"].as_array().into_iter().flatten();
        let numbers = listed.filter_map(|r| r["revision"].as_u64());
        let new = numbers.filter(|n| !self.told.borrow().contains(&(balancer, start, epoch, *n)));
        let new: Vec<u64> = new.take(FETCHED).collect();
        let mut fetched = Vec::new();
        for number in new {
            let path = format!("/admin/revisions/{number}");
            let told = timeout(NO_LOOK, self.call(balancer, "GET", &path, &Value::Null)).await;
            let Ok(Some((200, mut text))) = told else { return };
            let document = text["document"].take();
            fetched.push((number, document));
        }
        // Of another log meanwhile, the same numbers may be other revisions.
        let again = timeout(NO_LOOK, self.call(balancer, "GET", "/admin/bank", &Value::Null)).await;
        let Ok(Some((200, text))) = again else { return };
        if epoch_of(&text) != epoch || self.stage.start_of(balancer) != start {
            return;
        }
        for (number, document) in fetched {
            self.told.borrow_mut().insert((balancer, start, epoch, number));
            self.stage.record.saw(Observation::Revision {
                balancer,
                start,
                epoch,
                number,
                document,
            });
        }
    }

    /// Who leads, as most doors said a moment ago.
    pub fn leader(&self) -> Option<usize> {
        let mut votes: BTreeMap<usize, usize> = BTreeMap::new();
        for (at, leader) in self.leaders.borrow().values() {
            if at.elapsed() < LEADS {
                *votes.entry(*leader).or_default() += 1;
            }
        }
        // Of as many, the lower number.
        let most = votes.into_iter().max_by_key(|(who, votes)| (*votes, std::cmp::Reverse(*who)));
        most.map(|(who, _)| who)
    }

    /// Says one thing, and asks again at the next door for as long as nobody has answered.
    pub async fn say(self: Rc<Self>, call: Call) {
        let (from, count) = (Instant::now(), self.stage.scenario.cluster.count);
        let (mut tries, mut door, mut to) = (0, call.balancer, None);
        loop {
            if call.rollback_steps.is_some() && to.is_none() {
                to = self.revision_before(door, call.rollback_steps.unwrap_or(1)).await;
            }
            // Whom it is to go back to is asked at another door, where this one can't tell.
            if call.rollback_steps.is_none() || to.is_some() {
                let answered = self.say_once(&call, door, tries, to).await;
                tries += 1;
                match answered {
                    // Somebody has to do something first, and the same question is asked once: it takes a new one.
                    Some(202) => {}
                    Some(status) if status != 504 && status != 503 => return,
                    _ => door = (door + 1) % count,
                }
            } else {
                door = (door + 1) % count;
            }
            if from.elapsed() >= call.retry_for {
                return;
            }
            sleep(AGAIN).await;
        }
    }

    async fn say_once(&self, call: &Call, door: usize, tries: u32, to: Option<u64>) -> Option<u16> {
        let mut body = call.body.clone();
        let id = call.id.map(|id| match call.verb {
            // What was refused since another one was on its way is a new question.
            OperatorVerb::FallbackPolicy => format!("{:032x}", id.wrapping_add(u128::from(tries))),
            _ => format!("{id:032x}"),
        });
        if let Some(id) = &id {
            body["id"] = id.clone().into();
        }
        if let Some(to) = to {
            body["to"] = to.into();
        }
        let (number, verb) = (call.number, call.verb);
        let said = Observation::OperatorCall {
            call: number,
            tries,
            balancer: door,
            verb,
            id,
            member: call.member,
        };
        self.stage.record.saw(said);
        let told =
            timeout(NO_ANSWER, self.call(door, "POST", call.path, &body)).await.ok().flatten();
        let text = told.as_ref().map(|(_, text)| text);
        let number = text.and_then(|t| t["revision"].as_u64().or(t["entry"].as_u64()));
        let everywhere = text.is_some_and(|t| t["everywhere"] == json!(true));
        let why = text.and_then(|t| t["error"].as_str().map(str::to_string));
        let status = told.as_ref().map(|(status, _)| *status);
        let call = call.number;
        self.stage.record.saw(Observation::OperatorAnswer {
            call,
            balancer: door,
            verb,
            status,
            number,
            in_force_everywhere: everywhere,
            why,
        });
        status
    }

    /// The number of the revision that came so many before the newest, as a door lists them.
    async fn revision_before(&self, door: usize, back: u32) -> Option<u64> {
        let call = self.call(door, "GET", "/admin/revisions", &Value::Null);
        let (_, text) = timeout(NO_LOOK, call).await.ok().flatten()?;
        let all: Vec<u64> =
            text["revisions"].as_array()?.iter().filter_map(|r| r["revision"].as_u64()).collect();
        all.get(back as usize).or(all.last()).copied()
    }

    /// One call at a door: its status, and what it says.
    async fn call(
        &self,
        door: usize,
        method: &str,
        path: &str,
        body: &Value,
    ) -> Option<(u16, Value)> {
        let at = self.bank.operators_door(door)?;
        let network = self.stage.ground.network(Who::Clients(door));
        let mut talk = Exchange::new(network.connect(at).await.ok()?);
        let body = if body.is_null() { String::new() } else { body.to_string() };
        let length = body.len();
        let call = format!(
            "{method} {path} HTTP/1.1\r\nHost: door\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        talk.write(call.as_bytes()).await.ok()?;
        let answer = talk.message(Side::Answers).await.ok()?;
        Some((answer.status(), serde_json::from_slice(&answer.body).unwrap_or_default()))
    }
}

/// What a door says of its balancer, as far as it is judged.
fn stands(balancer: usize, start: u32, asked: At, text: &Value) -> Option<Observation> {
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
        asked,
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

/// Of the log that the balancer knows: the number before the dot.
fn epoch_of(text: &Value) -> u32 {
    let log = text["council"]["log"].as_str().unwrap_or_default();
    log.split('.').next().and_then(|epoch| epoch.parse().ok()).unwrap_or(0)
}
