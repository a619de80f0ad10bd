//! What operators do to a bank's rule book during a day, and how the bank was set up for it: `[[cluster]]`, and the keys
//! of `[balancers]` about it. What chance decides of it is `crate::policy_actions`'s; what a rule means is nobody's to say here.

use std::fmt;
use std::time::Duration;

use hollowpaddle_toml_fields::Table;
use serde::Serialize;

use super::read::{Known, MAX_BALANCERS, MAX_LENGTH_S, selection};
use super::{Class, Fleet, Selection};

/// Doors are looked at this often, unless a day says otherwise.
const POLL_INTERVAL_MS: f64 = 100.0;
/// An operator goes on asking for so long where nothing is said.
const RETRY_FOR_S: f64 = 15.0;

/// How a bank that may agree on rules is set up.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicySettings {
    /// `fleet = "is_off"`: the balancers may talk, and do not.
    pub is_off: bool,
    /// Who votes at first; empty: as the balancers choose.
    pub voters: Vec<usize>,
    /// Pods that no revision may put out; `None`: as the balancers choose.
    pub fallback_cells: Option<Vec<u32>>,
    /// Pods that can never be put out; `None`: as the balancers choose.
    pub mandatory_fallback_cells: Option<Vec<u32>>,
    /// A stand-in operator looks at every door so often, on days with acts.
    pub poll_interval: Duration,
}

impl Default for PolicySettings {
    fn default() -> Self {
        let poll_interval = Duration::from_millis(POLL_INTERVAL_MS as u64);
        Self {
            is_off: false,
            voters: Vec::new(),
            fallback_cells: None,
            mandatory_fallback_cells: None,
            poll_interval,
        }
    }
}

/// Something that operators do, or that happens to whoever leads.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyAction {
    /// From the first request on.
    pub at: Duration,
    /// At whose doors it is said: each of them is called.
    pub balancers: Vec<usize>,
    /// What.
    pub kind: PolicyActionKind,
    /// The answer is to come once it is in force everywhere.
    pub wait_for_all: bool,
    /// For so long the operator goes on asking where no answer came.
    pub retry_for: Duration,
    /// Where the file says so.
    pub line: usize,
}

/// What is done.
#[derive(Clone, Debug, PartialEq)]
pub enum PolicyActionKind {
    /// A revision is proposed.
    Revise {
        /// Its content.
        document: RevisionDocument,
        /// Also where it does not fit the fleet.
        force: bool,
        /// On trial for so many seconds.
        canary_s: Option<u32>,
    },
    /// The rules go back to those of so many revisions before the newest.
    Rollback {
        /// 1 is the one before.
        steps: u32,
    },
    /// Upstreams are to be out, each by a call of its own.
    Cordon(Selection),
    /// Upstreams are to be back.
    Uncordon(Selection),
    /// Another charter.
    FallbackPolicy {
        /// What it allows.
        cells: Vec<u32>,
    },
    /// A balancer is said to be gone for good.
    Dead(usize),
    /// It is not.
    Alive(usize),
    /// One member of the council for another.
    Replace {
        /// Who goes.
        removed: usize,
        /// Who comes; none: the balancers choose.
        replacement: Option<usize>,
    },
    /// Whoever leads then, as the doors tell, is struck for so long. No call; its twin has none of it.
    Leader(LeaderFault, Duration),
}

/// What happens to whoever leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderFault {
    /// Killed, and started again at the end.
    Killed,
    /// Frozen.
    Paused,
    /// No datagram passes between it and the others.
    CutOff,
}

/// What a revision says: nodes by place, kinds and zones as the scenario names them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RevisionDocument {
    /// By place.
    pub nodes: Vec<usize>,
    /// By number of the cell.
    pub cells: Vec<u32>,
    /// By name of the kind.
    pub machine_types: Vec<String>,
    /// By name of the zone.
    pub zones: Vec<String>,
    /// Classes, and the cells that they are kept from.
    pub excluded_cells: Vec<(String, Vec<u32>)>,
    /// Most attempts, 1 to 3.
    pub attempts: Option<u8>,
}

/// A call's name in the account.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
#[allow(missing_docs)] // as in a scenario
pub enum OperatorVerb {
    Revision,
    Rollback,
    Cordon,
    Uncordon,
    #[serde(rename = "charter")]
    FallbackPolicy,
    Dead,
    Alive,
    Replace,
}

/// Prints the original names, because [`Plan::digest`](crate::plan::Plan::digest) hashes this text.
impl fmt::Debug for OperatorVerb {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            OperatorVerb::Revision => "Revision",
            OperatorVerb::Rollback => "Rollback",
            OperatorVerb::Cordon => "Cordon",
            OperatorVerb::Uncordon => "Uncordon",
            OperatorVerb::FallbackPolicy => "Charter",
            OperatorVerb::Dead => "Dead",
            OperatorVerb::Alive => "Alive",
            OperatorVerb::Replace => "Replace",
        })
    }
}

impl OperatorVerb {
    /// Whether a yes to it names a revision.
    pub fn revises(self) -> bool {
        matches!(
            self,
            OperatorVerb::Revision
                | OperatorVerb::Rollback
                | OperatorVerb::Cordon
                | OperatorVerb::Uncordon
        )
    }
}

/// `[balancers]`' part of it.
pub(super) fn settings(t: &Table, count: usize, fleet: &Fleet) -> PolicySettings {
    let cell_count = fleet.cells();
    let cells = |key| {
        t.places(key, cell_count).map(|all| all.into_iter().map(|c| c as u32).collect::<Vec<u32>>())
    };
    let is_off = t.choice("fleet", &[("on", false), ("off", true)], Some(false));
    let policy = PolicySettings {
        is_off,
        voters: t.places("council", count).unwrap_or_default(),
        fallback_cells: cells("charter"),
        mandatory_fallback_cells: cells("bedrock"),
        poll_interval: t.time("look_ms", 1.0..=60_000.0, Some(POLL_INTERVAL_MS)),
    };
    let said = ["council", "charter", "bedrock"].into_iter().find(|k| t.has(k));
    if let Some(key) = said.filter(|_| is_off || !t.flag("peers", false)) {
        let why = "means nothing where balancers agree on nothing";
        let what = format!(
            "`balancers.{key}` {why}; remove it, or have `peers = true` and no `fleet = \"off\"`"
        );
        t.wrong(&t.span_of(key), what);
    }
    policy
}

const VERBS: [(&str, u8); 11] = [
    ("revision", 0),
    ("rollback", 1),
    ("cordon", 2),
    ("uncordon", 3),
    ("charter", 4),
    ("dead", 5),
    ("alive", 6),
    ("replace", 7),
    ("leader-killed", 8),
    ("leader-paused", 9),
    ("leader-cut-off", 10),
];

/// One `[[cluster]]`.
pub(super) fn action(t: Table, known: &Known) -> PolicyAction {
    let count = if known.has_errors { MAX_BALANCERS as usize } else { known.cluster.count };
    let agree = known.cluster.peers && !known.cluster.policy.is_off;
    if !agree && !known.has_errors {
        let what = "these balancers agree on nothing: expected `peers = true` and no `fleet = \"off\"` in [balancers]; \
                    correct that, or remove this act";
        t.wrong(&t.span, what);
    }
    let member = |key| t.whole(key, 0..=count as u32 - 1, None) as usize;
    let verb = t.choice("does", &VERBS, None);
    let kind = match verb {
        0 => {
            let document = t.table("document").map(|d| revision_document(d, known));
            if document.is_none() && !t.has("document") {
                t.wrong(
                    &t.span,
                    "`bank.document` is missing: expected a table of what it says; add it",
                );
            }
            PolicyActionKind::Revise {
                document: document.unwrap_or_default(),
                force: t.flag("force", false),
                canary_s: t.has("trial_s").then(|| t.whole("trial_s", 1..=3600, None)),
            }
        }
        1 => PolicyActionKind::Rollback { steps: t.whole("back", 1..=99, Some(1)) },
        2 => PolicyActionKind::Cordon(selection(&t, known)),
        3 => PolicyActionKind::Uncordon(selection(&t, known)),
        4 => {
            let cells = t.places("pods", cell_count(known));
            if cells.is_none() && !t.has("pods") {
                t.wrong(
                    &t.span,
                    "`bank.pods` is missing: expected what the charter allows; add it",
                );
            }
            PolicyActionKind::FallbackPolicy {
                cells: cells.unwrap_or_default().into_iter().map(|c| c as u32).collect(),
            }
        }
        5 => PolicyActionKind::Dead(member("member")),
        6 => PolicyActionKind::Alive(member("member")),
        7 => PolicyActionKind::Replace {
            removed: member("out"),
            replacement: t.has("then").then(|| member("then")),
        },
        leader_fault => {
            let fault = [LeaderFault::Killed, LeaderFault::Paused, LeaderFault::CutOff]
                [usize::from(leader_fault - 8)];
            PolicyActionKind::Leader(fault, t.time("length_s", 0.1..=MAX_LENGTH_S, None))
        }
    };
    let is_call = verb < 8;
    for key in ["door", "doors", "all_doors", "wait_all", "patience_s"] {
        if !is_call && t.has(key) {
            t.wrong(
                &t.span_of(key),
                format!("`bank.{key}` means nothing where nobody is called; remove it"),
            );
        }
    }
    let balancers = balancers(&t, count, known);
    let action = PolicyAction {
        at: t.time("at_s", 0.0..=MAX_LENGTH_S, None),
        balancers,
        kind,
        wait_for_all: t.flag("wait_all", false),
        retry_for: t.time("patience_s", 0.0..=MAX_LENGTH_S, Some(RETRY_FOR_S)),
        line: t.line(),
    };
    t.finish();
    action
}

/// `balancer = 1`, `balancers = [1, 2]` or `all_doors = true`; the first one, if nothing is said.
fn balancers(t: &Table, count: usize, known: &Known) -> Vec<usize> {
    let said = ["door", "doors", "all_doors"].into_iter().filter(|k| t.has(k)).collect::<Vec<_>>();
    if let [_, second, ..] = said.as_slice() {
        t.wrong(
            &t.span_of(second),
            format!("`bank.{}` says already which doors; remove either", said[0]),
        );
    }
    if t.flag("all_doors", false) {
        return (0..known.cluster.count).collect();
    }
    let single = t.has("door").then(|| t.whole("door", 0..=count as u32 - 1, None) as usize);
    let several = t.places("doors", count);
    several.or(single.map(|d| vec![d])).unwrap_or_else(|| vec![0])
}

fn cell_count(known: &Known) -> usize {
    if known.has_errors { usize::MAX } else { known.fleet.cells() }
}

fn revision_document(t: Table, known: &Known) -> RevisionDocument {
    let mut document = RevisionDocument::default();
    let cells = |t: &Table, key| -> Vec<u32> {
        t.places(key, cell_count(known)).unwrap_or_default().into_iter().map(|c| c as u32).collect()
    };
    if let Some(out) = t.table("out") {
        let nodes = if known.has_errors { usize::MAX } else { known.fleet.nodes };
        document.nodes = out.places("nodes", nodes).unwrap_or_default();
        document.cells = cells(&out, "pods");
        let machine_types: Vec<&str> =
            known.fleet.machine_types.iter().map(|k| k.name.as_str()).collect();
        document.machine_types = named(&out, "flavours", &machine_types, known.has_errors);
        let zones: Vec<&str> = known.fleet.zones.iter().map(String::as_str).collect();
        document.zones = named(&out, "sites", &zones, known.has_errors);
        out.finish();
    }
    for exclusion in t.tables("kept") {
        let classes: Vec<&str> = known.classes.iter().map(|c: &Class| c.name.as_str()).collect();
        let class = exclusion.text("class", None);
        if exclusion.has("class") && !known.has_errors && !classes.contains(&class.as_str()) {
            let what =
                format!("`kept.class` is \"{class}\": expected one of {}", classes.join(", "));
            exclusion.wrong(&exclusion.span_of("class"), what);
        }
        document.excluded_cells.push((class, cells(&exclusion, "pods")));
        exclusion.finish();
    }
    document.attempts = t.has("attempts").then(|| t.whole("attempts", 1..=3, None) as u8);
    t.finish();
    document
}

/// Names, each of which has to be one of the known ones.
fn named(t: &Table, key: &'static str, known: &[&str], has_errors: bool) -> Vec<String> {
    let names = t.texts(key, &[]);
    if let Some(name) = names.iter().find(|n| !has_errors && !known.contains(&n.as_str())) {
        let what = format!("`out.{key}` names \"{name}\": expected one of {}", known.join(", "));
        t.wrong(&t.span_of(key), what);
    }
    names
}

/// `[expect]`'s part of it: the longest contradiction and the longest time until a yes is in force everywhere.
pub(super) fn expected(t: &Table) -> (Option<Duration>, Option<Duration>) {
    let time = |key| t.has(key).then(|| t.time(key, 0.0..=MAX_LENGTH_S, None));
    (time("contradiction_s_most"), time("in_force_s_most"))
}
