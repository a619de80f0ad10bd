//! What operators ask of the bank and are told, as text at their door. What a question comes to is the machine's to say.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;
use hollowpaddle_revision::canary::CanaryTerms;
use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::entry::{CommandId, Entry, ProposalOptions};
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use hollowpaddle_revision::fleet::{ClassFacts, Facts, Group};
use hollowpaddle_revision::policy_state::{PolicyState, Refusal};
use hollowpaddle_revision::rules::Place;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::cluster::machine::{Event, Machine, ProposalResult};
use crate::members::{Entry as Member, Phase};

/// A caller that asks to wait until a revision is in force everywhere waits so long, if it does not say.
const DEFAULT_ROLLOUT_WAIT: Duration = Duration::from_millis(1500);
/// And so long at most: a call is closed after 2 s.
const MAX_ROLLOUT_WAIT: Duration = Duration::from_millis(1800);
/// A site with fewer pods than this has no bedrock of its own: a pod of three is too much of it.
const MIN_CELLS_FOR_FALLBACK: usize = 4;
/// Revisions that one answer lists.
const MAX_LISTED_REVISIONS: usize = 100;

/// What is asked.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminRequest {
    /// How the bank stands, as seen from here.
    Cluster,
    /// The newest revisions.
    Revisions,
    /// One of them, whole.
    Revision(u64),
    /// What became of a question that was asked at any door.
    Asked(CommandId),
    /// Something that is to stand in the log.
    Change(Box<Change>),
    /// Something about the council.
    VoterChange(VoterChange),
}

/// Something that is to stand in the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    what: PolicyChange,
    /// What it would change is told, and nothing is changed.
    dry: bool,
    /// Told only once it is in force everywhere, or after this time.
    wait: Option<Duration>,
    /// Named by the caller, if it is.
    id: Option<CommandId>,
}

#[derive(Clone, Debug, PartialEq)]
enum PolicyChange {
    Propose(RevisionOptions, Box<Document>),
    Rollback(RevisionOptions, u64),
    Cordon(String, bool),
    FallbackPolicy(FallbackPolicy),
    Confirm(u64),
    Dead(NodeId),
    Alive(NodeId),
}

/// How a revision is asked for.
#[derive(Clone, Debug, PartialEq)]
struct RevisionOptions {
    base: Option<u64>,
    canary: Option<CanaryTerms>,
    forced: bool,
}

/// What is wanted of the council.
#[derive(Clone, Debug, PartialEq)]
pub enum VoterChange {
    /// One for another.
    Replace {
        /// Who goes.
        out: NodeId,
        /// Who comes.
        then: Option<NodeId>,
    },
    /// This balancer founds anew with these voters.
    Restore(Vec<NodeId>),
}

/// An answer: an HTTP status and its text.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminResponse {
    /// As HTTP has it.
    pub status: u16,
    /// The text.
    pub text: Value,
    /// To be told only once this revision is in force everywhere, or after this time.
    pub wait: Option<(u64, Duration)>,
    /// Not done yet: somebody else was first, or something has to be done before.
    pub again: bool,
}

/// A call that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminRequestError {
    /// No such place.
    #[error("there is no {method} {path}")]
    NoSuch {
        /// Of the call.
        method: String,
        /// Of the call.
        path: String,
    },
    /// The body.
    #[error("reading the call: {0}")]
    Body(String),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    #[serde(default)]
    document: Option<Value>,
    #[serde(default)]
    to: Option<u64>,
    #[serde(default)]
    if_revision: Option<u64>,
    #[serde(default)]
    #[serde(rename = "trial")]
    canary: Option<CanaryTerms>,
    #[serde(default)]
    force: bool,
    #[serde(default)]
    dry: bool,
    #[serde(default)]
    wait: Option<String>,
    #[serde(default)]
    within_s: Option<f64>,
    #[serde(default)]
    id: Option<String>,
    #[serde(default)]
    revision: Option<u64>,
    #[serde(default)]
    #[serde(rename = "charter")]
    fallback_policy: Option<FallbackPolicy>,
    #[serde(default)]
    member: Option<u16>,
    #[serde(default)]
    out: Option<u16>,
    #[serde(default)]
    then: Option<u16>,
    #[serde(default)]
    members: Option<Vec<u16>>,
}

/// Whether a path is the bank's.
pub fn is_cluster_path(path: &str) -> bool {
    ["/admin/bank", "/admin/revisions", "/admin/charter", "/admin/council"].iter().any(|ours| {
        path.strip_prefix(ours).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    })
}

impl AdminRequest {
    /// From a call.
    ///
    /// # Errors
    /// What of it can't be read, and what was expected.
    pub fn read(
        method: &str,
        path: &str,
        query: &str,
        body: &[u8],
    ) -> Result<Self, AdminRequestError> {
        let no_such =
            || AdminRequestError::NoSuch { method: method.to_string(), path: path.to_string() };
        let parts: Vec<&str> = path.trim_start_matches("/admin/").split('/').collect();
        match (method, parts.as_slice()) {
            ("GET", ["bank"]) => return Ok(Self::Cluster),
            ("GET", ["revisions"]) => return Ok(Self::Revisions),
            ("GET", ["revisions", "asked", id]) => return named(id).map(Self::Asked),
            ("GET", ["revisions", number]) => {
                return number.parse().map(Self::Revision).map_err(|_| no_such());
            }
            ("POST", _) => {}
            _ => return Err(no_such()),
        }
        let body = if body.is_empty() { b"{}" } else { body };
        let mut reader = serde_json::Deserializer::from_slice(body);
        let body: Body = serde_path_to_error::deserialize(&mut reader)
            .map_err(|e| AdminRequestError::Body(format!("`{}`: {}", e.path(), e.inner())))?;
        let lacks = |what: &str| AdminRequestError::Body(format!("`{what}` is missing"));
        let said =
            RevisionOptions { base: body.if_revision, canary: body.canary, forced: body.force };
        let member = || body.member.map(NodeId).ok_or_else(|| lacks("member"));
        let what = match parts.as_slice() {
            ["revisions"] => {
                let document = body.document.as_ref().ok_or_else(|| lacks("document"))?;
                let document = Document::from_json(document.to_string().as_bytes())
                    .map_err(|e| AdminRequestError::Body(e.to_string()))?;
                PolicyChange::Propose(said, Box::new(document))
            }
            ["revisions", "rollback"] => {
                PolicyChange::Rollback(said, body.to.ok_or_else(|| lacks("to"))?)
            }
            ["revisions", "confirm"] => {
                PolicyChange::Confirm(body.revision.ok_or_else(|| lacks("revision"))?)
            }
            ["charter"] => PolicyChange::FallbackPolicy(
                body.fallback_policy.clone().ok_or_else(|| lacks("charter"))?,
            ),
            ["council", "dead"] => PolicyChange::Dead(member()?),
            ["council", "alive"] => PolicyChange::Alive(member()?),
            ["council", "replace"] => {
                let out = body.out.map(NodeId).ok_or_else(|| lacks("out"))?;
                return Ok(Self::VoterChange(VoterChange::Replace {
                    out,
                    then: body.then.map(NodeId),
                }));
            }
            ["council", "restore"] => {
                let members = body.members.as_ref().ok_or_else(|| lacks("members"))?;
                let members = members.iter().copied().map(NodeId).collect();
                return Ok(Self::VoterChange(VoterChange::Restore(members)));
            }
            _ => return Err(no_such()),
        };
        let wait = match body.wait.as_deref() {
            None | Some("yes") => None,
            Some("all") => {
                let within = body.within_s.map_or(DEFAULT_ROLLOUT_WAIT, |s| {
                    Duration::try_from_secs_f64(s)
                        .unwrap_or(DEFAULT_ROLLOUT_WAIT)
                        .min(MAX_ROLLOUT_WAIT)
                });
                Some(within)
            }
            Some(other) => {
                return Err(AdminRequestError::Body(format!(
                    "`wait` is {other:?}; expected `yes` or `all`"
                )));
            }
        };
        let id = body.id.as_deref().map(named).transpose()?;
        let dry = body.dry || query.split('&').any(|q| q == "dry" || q == "dry=1");
        Ok(Self::Change(Box::new(Change { what, dry, wait, id })))
    }

    /// An upstream is to be out, or back, for all balancers.
    pub fn cordon(name: &str, out: bool) -> Self {
        let what = PolicyChange::Cordon(name.to_string(), out);
        Self::Change(Box::new(Change {
            what,
            dry: false,
            wait: Some(DEFAULT_ROLLOUT_WAIT),
            id: None,
        }))
    }

    /// Whether it is to be asked again while it is not done yet.
    pub fn is_retried(&self) -> bool {
        matches!(self, Self::Change(change) if matches!(change.what, PolicyChange::Cordon(..)))
    }

    /// What the machine is to be told; or, where it need not be, what the caller is.
    ///
    /// # Errors
    /// None: `Err` is an answer that needs nobody else.
    pub fn event(
        &self,
        ticket: u64,
        fresh: CommandId,
        facts: &Facts,
        machine: &Machine,
    ) -> Result<Event<'static>, AdminResponse> {
        let policy = machine.policy();
        match self {
            Self::Cluster => Err(AdminResponse::ok(cluster(machine))),
            Self::Revisions => Err(AdminResponse::ok(revisions(policy))),
            Self::Revision(number) => Err(revision(policy, *number)),
            Self::Asked(id) => Ok(Event::QueryOutcome { ticket, id: *id }),
            Self::VoterChange(VoterChange::Replace { out, then }) => {
                Ok(Event::Replace { ticket, out: *out, then: *then })
            }
            Self::VoterChange(VoterChange::Restore(members)) => {
                Ok(Event::Restore { ticket, members: members.clone() })
            }
            Self::Change(change) => change.event(ticket, fresh, facts, machine),
        }
    }
}

impl Change {
    fn event(
        &self,
        ticket: u64,
        fresh: CommandId,
        facts: &Facts,
        machine: &Machine,
    ) -> Result<Event<'static>, AdminResponse> {
        let policy = machine.policy();
        let id = self.id.unwrap_or(fresh);
        let terms = |said: &RevisionOptions, names: &BTreeSet<String>| {
            let RevisionOptions { base, canary, forced } = said.clone();
            let mut facts = facts.clone();
            facts.named.retain(|name, _| names.contains(name));
            Box::new(ProposalOptions { id, base, canary, forced, facts })
        };
        let entry = match &self.what {
            PolicyChange::Propose(said, document) => {
                let terms = terms(said, &names(document));
                if self.dry {
                    return Err(dry(policy.dry_run(document, &terms.facts)));
                }
                Entry::Propose(terms, document.clone())
            }
            // What the charter allows nobody can forbid: it has to let go of it first, and everybody to say so.
            PolicyChange::Cordon(name, true) if in_charter(policy, facts, name) => {
                let status = policy.status();
                // One charter at a time: each look that proposed one in vain would stand in the log.
                let under_way = status.awaited || status.unconfirmed;
                if under_way || status.fallback_policy.except.contains(name) {
                    let behind = machine.leases().seen().behind;
                    return Err(AdminResponse::waits(&behind));
                }
                let mut fallback_policy = (*status.fallback_policy).clone();
                fallback_policy.except.insert(name.clone());
                firm(&fallback_policy, facts)?;
                Entry::FallbackPolicy(id, fallback_policy, Box::new(facts.clone()))
            }
            PolicyChange::Cordon(name, out) => {
                // Against the newest there is here: whoever was first is not undone, the caller is told to look again.
                let newest = policy.newest();
                let said = RevisionOptions { base: Some(newest), canary: None, forced: true };
                let mut document = match policy.kept(newest) {
                    Ok(kept) => (*kept.document).clone(),
                    Err(cause) => return Err(AdminResponse::refused(&cause)),
                };
                let changes = if *out {
                    document.out.upstreams.insert(name.clone())
                } else {
                    document.out.upstreams.remove(name)
                };
                if !changes {
                    return Err(AdminResponse::ok(json!({"ok": true, "revision": newest})));
                }
                Entry::Propose(terms(&said, &names(&document)), Box::new(document))
            }
            PolicyChange::Rollback(said, to) => {
                let named = policy.kept(*to).map(|k| names(&k.document)).unwrap_or_default();
                let terms = terms(said, &named);
                if self.dry {
                    return Err(dry(policy.dry_rollback(*to, &terms.facts)));
                }
                Entry::Rollback(terms, *to)
            }
            PolicyChange::FallbackPolicy(fallback_policy) => {
                firm(fallback_policy, facts)?;
                Entry::FallbackPolicy(id, fallback_policy.clone(), Box::new(facts.clone()))
            }
            PolicyChange::Confirm(number) => Entry::Confirm(id, *number),
            PolicyChange::Dead(member) => Entry::Dead(id, *member),
            PolicyChange::Alive(member) => Entry::Alive(id, *member),
        };
        if self.dry {
            return Err(AdminResponse::bad("`dry` goes with revisions and rollbacks only"));
        }
        Ok(Event::Propose { ticket, id: Some(id), entry })
    }

    fn is_revision(&self) -> bool {
        matches!(
            self.what,
            PolicyChange::Propose(..) | PolicyChange::Rollback(..) | PolicyChange::Cordon(..)
        )
    }
}

impl AdminResponse {
    fn ok(text: Value) -> Self {
        Self { status: 200, text, wait: None, again: false }
    }

    /// The charter has not let go of it yet.
    fn waits(behind: &[(NodeId, Duration)]) -> Self {
        let behind: Vec<u16> = behind.iter().map(|(m, _)| m.0).collect();
        let why = "the charter allows it: it is put out once every member has agreed to let go of it; repeat this call, \
                   or say of those that are gone for good that they are dead";
        let text = json!({"ok": false, "waiting": "charter", "behind": behind, "error": why});
        Self { status: 202, again: true, ..Self::ok(text) }
    }

    /// A call that means nothing.
    pub fn bad(why: &str) -> Self {
        Self { status: 400, ..Self::ok(json!({"ok": false, "error": why})) }
    }

    /// A call that can't be read.
    pub fn unread(why: &AdminRequestError) -> Self {
        let status = if matches!(why, AdminRequestError::NoSuch { .. }) { 404 } else { 400 };
        Self { status, ..Self::bad(&why.to_string()) }
    }

    fn refused(why: &Refusal) -> Self {
        let changing = matches!(why, Refusal::Changing { .. });
        let again = changing || matches!(why, Refusal::Lost { .. });
        let status = if changing { 202 } else { 409 };
        Self { status, again, ..Self::ok(json!({"ok": false, "error": why.to_string()})) }
    }

    /// The answer to what was asked, now that it is known what became of it. `fallback_pending`: what was asked for comes after
    /// what was done.
    pub fn of(
        ask: &AdminRequest,
        id: CommandId,
        answer: &ProposalResult,
        fallback_pending: bool,
    ) -> Self {
        let name = format!("{:032x}", id.0);
        match answer {
            // Failure: the number of the charter's entry was handed on as a revision's, and what was asked for was not done.
            ProposalResult::Answered(Ok(entry)) if fallback_pending => {
                let text = json!({"ok": false, "waiting": "charter", "entry": entry, "id": name});
                Self { status: 202, again: true, ..Self::ok(text) }
            }
            ProposalResult::Answered(Ok(number)) => {
                let change = match ask {
                    AdminRequest::Change(change) => Some(change),
                    _ => None,
                };
                let key =
                    if change.is_some_and(|c| !c.is_revision()) { "entry" } else { "revision" };
                let wait = change.filter(|c| c.is_revision()).and_then(|c| c.wait);
                let text = json!({"ok": true, key: number, "id": name});
                let wait = wait.map(|within| (*number, within));
                Self { wait, ..Self::ok(text) }
            }
            ProposalResult::Answered(Err(why)) => {
                let mut told = Self::refused(why);
                told.text["id"] = name.into();
                told
            }
            ProposalResult::Stands(index) => {
                Self::ok(json!({"ok": true, "entry": index.to_string(), "id": name}))
            }
            ProposalResult::Never => {
                let why = "it stands nowhere and never will: too long, too many under way, or not to be done";
                Self { status: 409, ..Self::ok(json!({"ok": false, "id": name, "error": why})) }
            }
            ProposalResult::Unknown => {
                let why =
                    "nobody who knows has answered; it may stand: GET /admin/revisions/asked/ID";
                Self { status: 504, ..Self::ok(json!({"ok": false, "id": name, "error": why})) }
            }
        }
    }
}

/// 32 hexadecimal digits.
fn named(id: &str) -> Result<CommandId, AdminRequestError> {
    let wrong = || {
        AdminRequestError::Body(format!(
            "`{id}` names no question; expected 1 to 32 hexadecimal digits"
        ))
    };
    if id.is_empty() || id.len() > 32 {
        return Err(wrong());
    }
    u128::from_str_radix(id, 16).map(CommandId).map_err(|_| wrong())
}

/// Whether a charter holds what a process keeps to that has forgotten it.
fn firm(fallback_policy: &FallbackPolicy, facts: &Facts) -> Result<(), AdminResponse> {
    let mut cells = BTreeMap::<String, BTreeSet<u32>>::new();
    for group in &facts.groups {
        let zone = facts.zones.get(usize::from(group.zone)).cloned().unwrap_or_default();
        cells.entry(zone).or_default().insert(group.cell);
    }
    let mandatory_fallback = default_mandatory_fallback(&cells);
    let out = facts.named.iter().find(|(name, (cell, _))| {
        mandatory_fallback.cells.contains(cell)
            && (!fallback_policy.cells.contains(cell) || fallback_policy.except.contains(*name))
    });
    match out {
        None => Ok(()),
        Some((name, (cell, _))) => {
            let why = format!(
                "`{name}` is in pod {cell}, which is bedrock: whoever has forgotten everything and hears nobody sends there; \
                 state `fleet.bedrock` in every balancer's configuration to choose others"
            );
            Err(AdminResponse { status: 409, ..AdminResponse::bad(&why) })
        }
    }
}

/// Bedrock where the configuration states none: one pod of each site that has four or more, so that what can
/// never be put out is a small part.
pub fn default_mandatory_fallback(cells: &BTreeMap<String, BTreeSet<u32>>) -> FallbackPolicy {
    let many = cells.iter().filter(|(_, cells)| cells.len() >= MIN_CELLS_FOR_FALLBACK);
    FallbackPolicy::mandatory_fallback(
        &many.map(|(zone, cells)| (zone.clone(), cells.clone())).collect(),
    )
}

/// Whether a charter that counts now allows sending to an upstream.
fn in_charter(policy: &PolicyState, facts: &Facts, name: &str) -> bool {
    let Some((cell, machine_type)) = facts.named.get(name) else { return false };
    let machine_type = facts.machine_types.get(usize::from(*machine_type)).map_or("", |f| f);
    policy.status().rules.floor().allows(&Place { name, cell: *cell, machine_type, zone: "" })
}

/// Upstreams that a document names.
fn names(document: &Document) -> BTreeSet<String> {
    let weights = document.weights.upstreams.keys();
    document.out.upstreams.iter().chain(weights).cloned().collect()
}

fn dry(result: Result<hollowpaddle_revision::difference::Difference, Refusal>) -> AdminResponse {
    match result {
        Ok(difference) => {
            let difference = serde_json::to_value(&difference).unwrap_or_default();
            AdminResponse::ok(json!({"ok": true, "dry": true, "changes": difference}))
        }
        Err(why) => AdminResponse::refused(&why),
    }
}

/// How the bank stands, as seen from one balancer.
fn cluster(machine: &Machine) -> Value {
    let status = machine.policy().status();
    let replica = machine.replica();
    let in_force = machine.in_force();
    let seen = machine.leases().seen();
    let behind: Vec<Value> = seen
        .behind
        .iter()
        .map(|(m, since)| json!({"member": m.0, "for_s": since.as_secs_f64()}))
        .collect();
    json!({
        "ok": true,
        "member": machine.node_id().0,
        "revision": status.revision,
        "towards": status.towards,
        "newest": machine.policy().newest(),
        "stage": status.generation,
        "unconfirmed": status.unconfirmed,
        "here": seen.here.len(),
        "charter_confirmed": seen.fallback_policy.len(),
        "charter": {
            "pods": status.fallback_policy.cells, "except": status.fallback_policy.except,
            "attempts": status.fallback_policy.attempts, "awaited": status.awaited,
        },
        "past_lease": {"pods": seen.past.cells, "except": seen.past.except, "attempts": seen.past.attempts},
        "lease": {
            "held": machine.now() < in_force.until,
            "left_s": in_force.until.saturating_sub(machine.now()).as_secs_f64(),
        },
        "council": {
            "members": replica.members().voters.iter().map(|m| m.0).collect::<Vec<_>>(),
            "coming": replica.members().joining.map(|m| m.0),
            "standing": replica.status().to_string(),
            "leader": machine.leader().map(|m| m.0),
            "source": machine.learner().source().map(|m| m.0),
            "log": machine.learner().at().to_string(),
        },
        "dead": status.dead.iter().map(|m| m.0).collect::<Vec<_>>(),
        "behind": behind,
        "words": serde_json::to_value(machine.wire().counts()).unwrap_or_default(),
        "held_bytes": serde_json::to_value(machine.wire().held()).unwrap_or_default(),
    })
}

fn revisions(policy: &PolicyState) -> Value {
    let all: Vec<Value> = policy
        .revisions()
        .rev()
        .take(MAX_LISTED_REVISIONS)
        .map(|(number, kept)| {
            let change_status = policy.change_status(number).map(|status| status.to_string());
            json!({"revision": number, "origin": kept.origin.to_string(), "fate": change_status})
        })
        .collect();
    json!({"ok": true, "newest": policy.newest(), "revisions": all})
}

fn revision(policy: &PolicyState, number: u64) -> AdminResponse {
    match policy.kept(number) {
        Ok(kept) => AdminResponse::ok(json!({
            "ok": true, "revision": number,
            "document": serde_json::to_value(&*kept.document).unwrap_or_default(),
        })),
        Err(why) => AdminResponse { status: 404, ..AdminResponse::refused(&why) },
    }
}

/// The fleet as this balancer has it listed, for what is checked against it.
pub fn facts(members: &[Member], classes: &[ClassFacts]) -> Facts {
    let mut facts = Facts { classes: classes.to_vec(), ..Facts::default() };
    let place = |names: &mut Vec<String>, name: &str| {
        let at = names.iter().position(|n| n == name).unwrap_or_else(|| {
            names.push(name.to_string());
            names.len() - 1
        });
        at.min(255) as u8
    };
    let mut groups = BTreeMap::<(u32, u8, u8), (u16, u32)>::new();
    for listed in members.iter().filter(|m| m.phase == Phase::Serving) {
        let zone = place(&mut facts.zones, &listed.zone);
        let machine_type = place(&mut facts.machine_types, &listed.machine_type);
        let group = groups.entry((listed.cell, zone, machine_type)).or_default();
        group.0 = group.0.saturating_add(1);
        let size = (listed.size.clamp(0.0, 1e6) * 1000.0) as u32;
        group.1 = group.1.saturating_add(size);
        facts.named.insert(listed.id.to_string(), (listed.cell, machine_type));
    }
    facts.load = vec![0; facts.zones.len()];
    let group = |((cell, zone, machine_type), (upstreams, capacity))| Group {
        cell,
        zone,
        machine_type,
        upstreams,
        capacity,
    };
    facts.groups =
        groups.into_iter().map(group).take(hollowpaddle_revision::fleet::MOST_GROUPS).collect();
    facts
}

#[cfg(test)]
mod tests;
