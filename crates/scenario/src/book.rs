//! What chance decides about acts on the bank's rule book: whom they are about, and by which names they are asked. Calls
//! are made ready here as the doors take them; the stand-in operator sends them as they are.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::plan::{Machine, Orders, struck};
use crate::scenario::{BankAct, Does, OperatorVerb, Says, Scenario, Selection, Strike};

/// One thing that is done at one moment, drawn ahead.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// From the first request on.
    pub at: Duration,
    /// Which act, by its place in the scenario.
    pub act: usize,
    /// What.
    pub doing: Doing,
}

/// See [`Planned`].
#[derive(Clone, Debug, PartialEq)]
pub enum Doing {
    /// A call of the doors.
    Call(Call),
    /// Whoever leads is struck, for so long.
    Leader(Strike, Duration),
}

/// A call of one door; of others after it, where no answer comes.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Ever new.
    pub number: u32,
    /// Which door first.
    pub door: usize,
    /// What it is.
    pub verb: OperatorVerb,
    /// Its path.
    pub path: &'static str,
    /// Its body, but for the name of the question and for which revision a rollback is to.
    pub body: Value,
    /// The name of the question, for calls that can have one: the same with every repeat.
    pub id: Option<u128>,
    /// For a rollback: to so many revisions before the newest.
    pub back: Option<u32>,
    /// Of whom it is, for words about members.
    pub member: Option<usize>,
    /// For so long it is asked again where no answer came.
    pub patience: Duration,
}

/// Draws all of them, in order of time.
pub(crate) fn draw(
    scenario: &Scenario,
    machines: &[Machine],
    rng: &mut ChaCha8Rng,
    orders: &mut Orders,
) -> Vec<Planned> {
    let mut all = Vec::new();
    let mut number = 0;
    for (place, act) in scenario.acts.iter().enumerate() {
        let (at, act_of) = (act.at, place);
        if let Does::Leader(strike, length) = act.does {
            let doing = Doing::Leader(strike, length);
            all.push(Planned { at, act: act_of, doing });
            continue;
        }
        let nodes = match &act.does {
            Does::Cordon(of) | Does::Uncordon(of) => selected(of, machines, &orders.next(None)),
            _ => Vec::new(),
        };
        for &door in &act.doors {
            for call in calls(act, door, &nodes, machines) {
                let id =
                    call.id.map(|_| u128::from(rng.next_u64()) << 64 | u128::from(rng.next_u64()));
                let doing = Doing::Call(Call { number, id, ..call });
                all.push(Planned { at, act: act_of, doing });
                number += 1;
            }
        }
    }
    all.sort_by_key(|p| p.at);
    all
}

fn selected(of: &Selection, machines: &[Machine], order: &[usize]) -> Vec<usize> {
    let place = |n: usize| (machines[n].zone, Some(machines[n].cell));
    struck(of, place, order)
}

/// The calls that an act comes to at one door; the names of questions are drawn after this, for those that have one.
fn calls(act: &BankAct, door: usize, nodes: &[usize], machines: &[Machine]) -> Vec<Call> {
    let call = |verb, path, body: Value| {
        let (back, member, patience) = (None, None, act.patience);
        Call { number: 0, door, verb, path, body, id: Some(0), back, member, patience }
    };
    let upstreams = |verb, path| {
        let one =
            |n: &usize| Call { id: None, ..call(verb, path, json!({"name": machines[*n].id})) };
        nodes.iter().map(one).collect()
    };
    let mut all: Vec<Call> = match &act.does {
        Does::Revise { says, force, trial_s } => {
            let mut body = json!({"document": document(says, machines), "force": force});
            if let Some(seconds) = trial_s {
                body["trial"] = json!({"seconds": seconds, "fall": 1000});
            }
            vec![call(OperatorVerb::Revision, "/admin/revisions", body)]
        }
        Does::Rollback { back } => {
            let call = call(OperatorVerb::Rollback, "/admin/revisions/rollback", json!({}));
            vec![Call { back: Some(*back), ..call }]
        }
        Does::Cordon(_) => upstreams(OperatorVerb::Cordon, "/admin/cordon"),
        Does::Uncordon(_) => upstreams(OperatorVerb::Uncordon, "/admin/uncordon"),
        Does::Charter { pods } => {
            let body = json!({"charter": {"pods": pods, "attempts": 1}});
            vec![call(OperatorVerb::Charter, "/admin/charter", body)]
        }
        Does::Dead(who) => {
            let call = call(OperatorVerb::Dead, "/admin/council/dead", json!({"member": who}));
            vec![Call { member: Some(*who), ..call }]
        }
        Does::Alive(who) => {
            let call = call(OperatorVerb::Alive, "/admin/council/alive", json!({"member": who}));
            vec![Call { member: Some(*who), ..call }]
        }
        Does::Replace { out, then } => {
            let body = json!({"out": out, "then": then});
            vec![Call { id: None, ..call(OperatorVerb::Replace, "/admin/council/replace", body) }]
        }
        Does::Leader(..) => Vec::new(),
    };
    if act.wait {
        for call in all.iter_mut().filter(|c| c.verb.revises() && c.id.is_some()) {
            call.body["wait"] = "all".into();
        }
    }
    all
}

/// As a door takes it.
fn document(says: &Says, machines: &[Machine]) -> Value {
    let upstreams: Vec<&str> = says.nodes.iter().map(|n| machines[*n].id.as_str()).collect();
    let mut kept: BTreeMap<&str, Vec<u32>> = BTreeMap::new();
    for (class, pods) in &says.kept {
        kept.entry(class).or_default().extend(pods);
    }
    let mut document = json!({
        "out": {
            "upstreams": upstreams, "pods": says.pods, "flavours": says.flavours, "sites": says.sites,
        },
        "kept": kept,
    });
    if let Some(attempts) = says.attempts {
        document["attempts"] = attempts.into();
    }
    document
}
