//! The random parts of operator actions on the routing policy: their targets, and the ids of the calls. The calls are
//! prepared here as the admin API takes them; the stand-in operator sends them unchanged, but for the parts that
//! [`Call::body`] leaves open.

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

/// One step of an action on the routing policy, generated ahead of the run.
#[derive(Clone, PartialEq)]
pub struct PlannedAction {
    /// Time since the first request.
    pub at: Duration,
    /// Index of the action in the scenario.
    pub action: usize,
    /// What the step does.
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

/// What a [`PlannedAction`] does.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannedStep {
    /// A call of the admin API.
    Call(Call),
    /// A fault of the current leader, for this long.
    Leader(LeaderFault, Duration),
}

/// A call of the admin API of one balancer, and of other balancers after it if no answer comes.
#[derive(Clone, PartialEq)]
pub struct Call {
    /// Number of the call, unique in the plan.
    pub number: u32,
    /// Balancer that is called first.
    pub balancer: usize,
    /// Command of the call.
    pub verb: OperatorVerb,
    /// Path of the HTTP request.
    pub path: &'static str,
    /// Body of the HTTP request, without the call's id and without the target revision of a rollback.
    pub body: Value,
    /// Id of the command, the same for every retry; `None` for commands that take no id.
    pub id: Option<u128>,
    /// For a rollback: how many revisions before the newest its target is.
    pub rollback_steps: Option<u32>,
    /// Balancer that a command about a member names.
    pub member: Option<usize>,
    /// How long the call is retried while no answer comes.
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

/// Generates the steps of all actions of a scenario, in order of time.
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

/// Returns the calls of an action at one balancer. Calls that take an id get a placeholder, which the caller replaces.
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

/// Returns the document of a revision in the JSON form of the admin API.
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
