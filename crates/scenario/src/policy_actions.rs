//! What chance decides about acts on the bank's rule book: whom they are about, and by which names they are asked. Calls
//! are made ready here as the doors take them; the stand-in operator sends them as they are.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::plan::{Machine, SelectionOrders, select};
use crate::scenario::{
    LeaderFault, OperatorVerb, PolicyAction, PolicyActionKind, RevisionDocument, Scenario,
    Selection,
};

/// One thing that is done at one moment, drawn ahead.
#[derive(Clone, PartialEq)]
pub struct PlannedAction {
    /// From the first request on.
    pub at: Duration,
    /// Which act, by its place in the scenario.
    pub action: usize,
    /// What.
    pub step: PlannedStep,
}

/// Prints the original names, because [`Plan::digest`](crate::plan::Plan::digest) hashes this text.
impl fmt::Debug for PlannedAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { at, action, step } = self;
        let mut s = f.debug_struct("Planned");
        s.field("at", at).field("act", action).field("doing", step).finish()
    }
}

/// See [`PlannedAction`].
#[derive(Clone, Debug, PartialEq)]
pub enum PlannedStep {
    /// A call of the doors.
    Call(Call),
    /// Whoever leads is struck, for so long.
    Leader(LeaderFault, Duration),
}

/// A call of one door; of others after it, where no answer comes.
#[derive(Clone, PartialEq)]
pub struct Call {
    /// Ever new.
    pub number: u32,
    /// Which door first.
    pub balancer: usize,
    /// What it is.
    pub verb: OperatorVerb,
    /// Its path.
    pub path: &'static str,
    /// Its body, but for the name of the question and for which revision a rollback is to.
    pub body: Value,
    /// The name of the question, for calls that can have one: the same with every repeat.
    pub id: Option<u128>,
    /// For a rollback: to so many revisions before the newest.
    pub rollback_steps: Option<u32>,
    /// Of whom it is, for words about members.
    pub member: Option<usize>,
    /// For so long it is asked again where no answer came.
    pub retry_for: Duration,
}

/// Prints the original names, because [`Plan::digest`](crate::plan::Plan::digest) hashes this text.
impl fmt::Debug for Call {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { number, balancer, verb, path, body, id, rollback_steps, member, retry_for } =
            self;
        let mut s = f.debug_struct("Call");
        s.field("number", number).field("door", balancer).field("verb", verb).field("path", path);
        s.field("body", body).field("id", id).field("back", rollback_steps);
        s.field("member", member).field("patience", retry_for).finish()
    }
}

/// Draws all of them, in order of time.
pub(crate) fn generate(
    scenario: &Scenario,
    machines: &[Machine],
    rng: &mut ChaCha8Rng,
    orders: &mut SelectionOrders,
) -> Vec<PlannedAction> {
    let mut all = Vec::new();
    let mut number = 0;
    for (action_index, action) in scenario.policy_actions.iter().enumerate() {
        let at = action.at;
        if let PolicyActionKind::Leader(fault, length) = action.kind {
            let step = PlannedStep::Leader(fault, length);
            all.push(PlannedAction { at, action: action_index, step });
            continue;
        }
        let nodes = match &action.kind {
            PolicyActionKind::Cordon(selection) | PolicyActionKind::Uncordon(selection) => {
                selected(selection, machines, &orders.next(None))
            }
            _ => Vec::new(),
        };
        for &balancer in &action.balancers {
            for call in calls(action, balancer, &nodes, machines) {
                let id =
                    call.id.map(|_| u128::from(rng.next_u64()) << 64 | u128::from(rng.next_u64()));
                let step = PlannedStep::Call(Call { number, id, ..call });
                all.push(PlannedAction { at, action: action_index, step });
                number += 1;
            }
        }
    }
    all.sort_by_key(|p| p.at);
    all
}

fn selected(selection: &Selection, machines: &[Machine], order: &[usize]) -> Vec<usize> {
    let place = |n: usize| (machines[n].zone, Some(machines[n].cell));
    select(selection, place, order)
}

/// The calls that an act comes to at one door; the names of questions are drawn after this, for those that have one.
fn calls(
    action: &PolicyAction,
    balancer: usize,
    nodes: &[usize],
    machines: &[Machine],
) -> Vec<Call> {
    let call = |verb, path, body: Value| {
        let (rollback_steps, member, retry_for) = (None, None, action.retry_for);
        Call {
            number: 0,
            balancer,
            verb,
            path,
            body,
            id: Some(0),
            rollback_steps,
            member,
            retry_for,
        }
    };
    let upstreams = |verb, path| {
        let one =
            |n: &usize| Call { id: None, ..call(verb, path, json!({"name": machines[*n].id})) };
        nodes.iter().map(one).collect()
    };
    let mut all: Vec<Call> = match &action.kind {
        PolicyActionKind::Revise { document, force, canary_s } => {
            let mut body = json!({"document": document_json(document, machines), "force": force});
            if let Some(seconds) = canary_s {
                body["trial"] = json!({"seconds": seconds, "fall": 1000});
            }
            vec![call(OperatorVerb::Revision, "/admin/revisions", body)]
        }
        PolicyActionKind::Rollback { steps } => {
            let call = call(OperatorVerb::Rollback, "/admin/revisions/rollback", json!({}));
            vec![Call { rollback_steps: Some(*steps), ..call }]
        }
        PolicyActionKind::Cordon(_) => upstreams(OperatorVerb::Cordon, "/admin/cordon"),
        PolicyActionKind::Uncordon(_) => upstreams(OperatorVerb::Uncordon, "/admin/uncordon"),
        PolicyActionKind::FallbackPolicy { cells } => {
            let body = json!({"charter": {"pods": cells, "attempts": 1}});
            vec![call(OperatorVerb::FallbackPolicy, "/admin/charter", body)]
        }
        PolicyActionKind::Dead(member) => {
            let call = call(OperatorVerb::Dead, "/admin/council/dead", json!({"member": member}));
            vec![Call { member: Some(*member), ..call }]
        }
        PolicyActionKind::Alive(member) => {
            let call = call(OperatorVerb::Alive, "/admin/council/alive", json!({"member": member}));
            vec![Call { member: Some(*member), ..call }]
        }
        PolicyActionKind::Replace { removed, replacement } => {
            let body = json!({"out": removed, "then": replacement});
            vec![Call { id: None, ..call(OperatorVerb::Replace, "/admin/council/replace", body) }]
        }
        PolicyActionKind::Leader(..) => Vec::new(),
    };
    if action.wait_for_all {
        for call in all.iter_mut().filter(|c| c.verb.revises() && c.id.is_some()) {
            call.body["wait"] = "all".into();
        }
    }
    all
}

/// As a door takes it.
fn document_json(document: &RevisionDocument, machines: &[Machine]) -> Value {
    let upstreams: Vec<&str> = document.nodes.iter().map(|n| machines[*n].id.as_str()).collect();
    let mut excluded_cells: BTreeMap<&str, Vec<u32>> = BTreeMap::new();
    for (class, cells) in &document.excluded_cells {
        excluded_cells.entry(class).or_default().extend(cells);
    }
    let mut json = json!({
        "out": {
            "upstreams": upstreams, "pods": document.cells, "flavours": document.machine_types, "sites": document.zones,
        },
        "kept": excluded_cells,
    });
    if let Some(attempts) = document.attempts {
        json["attempts"] = attempts.into();
    }
    json
}
