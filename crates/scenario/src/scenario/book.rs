//! What operators do to a bank's rule book during a day, and how the bank was set up for it: `[[bank]]`, and the keys
//! of `[balancers]` about it. What chance decides of it is `crate::book`'s; what a rule means is nobody's to say here.

use std::time::Duration;

use hollowpaddle_toml_fields::Table;
use serde::Serialize;

use super::read::{Known, LONGEST_S, MOST_BALANCERS, selection};
use super::{Class, Fleet, Selection};

/// Doors are looked at this often, unless a day says otherwise.
const LOOK_MS: f64 = 100.0;
/// An operator goes on asking for so long where nothing is said.
const PATIENCE_S: f64 = 15.0;

/// How a bank that may agree on rules is set up.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleBook {
    /// `fleet = "off"`: the balancers may talk, and do not.
    pub off: bool,
    /// Who votes at first; empty: as the balancers choose.
    pub council: Vec<usize>,
    /// Pods that no revision may put out; `None`: as the balancers choose.
    pub charter: Option<Vec<u32>>,
    /// Pods that can never be put out; `None`: as the balancers choose.
    pub bedrock: Option<Vec<u32>>,
    /// A stand-in operator looks at every door so often, on days with acts.
    pub look: Duration,
}

impl Default for RuleBook {
    fn default() -> Self {
        let look = Duration::from_millis(LOOK_MS as u64);
        Self { off: false, council: Vec::new(), charter: None, bedrock: None, look }
    }
}

/// Something that operators do, or that happens to whoever leads.
#[derive(Clone, Debug, PartialEq)]
pub struct BankAct {
    /// From the first request on.
    pub at: Duration,
    /// At whose doors it is said: each of them is called.
    pub doors: Vec<usize>,
    /// What.
    pub does: Does,
    /// The answer is to come once it is in force everywhere.
    pub wait: bool,
    /// For so long the operator goes on asking where no answer came.
    pub patience: Duration,
    /// Where the file says so.
    pub line: usize,
}

/// What is done.
#[derive(Clone, Debug, PartialEq)]
pub enum Does {
    /// A revision is proposed.
    Revise {
        /// Its content.
        says: Says,
        /// Also where it does not fit the fleet.
        force: bool,
        /// On trial for so many seconds.
        trial_s: Option<u32>,
    },
    /// The rules go back to those of so many revisions before the newest.
    Rollback {
        /// 1 is the one before.
        back: u32,
    },
    /// Upstreams are to be out, each by a call of its own.
    Cordon(Selection),
    /// Upstreams are to be back.
    Uncordon(Selection),
    /// Another charter.
    Charter {
        /// What it allows.
        pods: Vec<u32>,
    },
    /// A balancer is said to be gone for good.
    Dead(usize),
    /// It is not.
    Alive(usize),
    /// One member of the council for another.
    Replace {
        /// Who goes.
        out: usize,
        /// Who comes; none: the balancers choose.
        then: Option<usize>,
    },
    /// Whoever leads then, as the doors tell, is struck for so long. No call; its twin has none of it.
    Leader(Strike, Duration),
}

/// What happens to whoever leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strike {
    /// Killed, and started again at the end.
    Killed,
    /// Frozen.
    Paused,
    /// No datagram passes between it and the others.
    CutOff,
}

/// What a revision says: nodes by place, kinds and zones as the scenario names them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Says {
    /// By place.
    pub nodes: Vec<usize>,
    /// By number of the cell.
    pub pods: Vec<u32>,
    /// By name of the kind.
    pub flavours: Vec<String>,
    /// By name of the zone.
    pub sites: Vec<String>,
    /// Classes, and the cells that they are kept from.
    pub kept: Vec<(String, Vec<u32>)>,
    /// Most attempts, 1 to 3.
    pub attempts: Option<u8>,
}

/// A call's name in the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
#[allow(missing_docs)] // as in a scenario
pub enum OperatorVerb {
    Revision,
    Rollback,
    Cordon,
    Uncordon,
    Charter,
    Dead,
    Alive,
    Replace,
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
pub(super) fn settings(t: &Table, count: usize, fleet: &Fleet) -> RuleBook {
    let cells = fleet.cells();
    let pods = |key| {
        t.places(key, cells).map(|all| all.into_iter().map(|c| c as u32).collect::<Vec<u32>>())
    };
    let off = t.choice("fleet", &[("on", false), ("off", true)], Some(false));
    let book = RuleBook {
        off,
        council: t.places("council", count).unwrap_or_default(),
        charter: pods("charter"),
        bedrock: pods("bedrock"),
        look: t.time("look_ms", 1.0..=60_000.0, Some(LOOK_MS)),
    };
    let said = ["council", "charter", "bedrock"].into_iter().find(|k| t.has(k));
    if let Some(key) = said.filter(|_| off || !t.flag("peers", false)) {
        let why = "means nothing where balancers agree on nothing";
        let what = format!(
            "`balancers.{key}` {why}; remove it, or have `peers = true` and no `fleet = \"off\"`"
        );
        t.wrong(&t.span_of(key), what);
    }
    book
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

/// One `[[bank]]`.
pub(super) fn act(t: Table, known: &Known) -> BankAct {
    let count = if known.doubtful { MOST_BALANCERS as usize } else { known.bank.count };
    let agree = known.bank.peers && !known.bank.book.off;
    if !agree && !known.doubtful {
        let what = "these balancers agree on nothing: expected `peers = true` and no `fleet = \"off\"` in [balancers]; \
                    correct that, or remove this act";
        t.wrong(&t.span, what);
    }
    let member = |key| t.whole(key, 0..=count as u32 - 1, None) as usize;
    let verb = t.choice("does", &VERBS, None);
    let does = match verb {
        0 => {
            let says = t.table("document").map(|d| says(d, known));
            if says.is_none() && !t.has("document") {
                t.wrong(
                    &t.span,
                    "`bank.document` is missing: expected a table of what it says; add it",
                );
            }
            Does::Revise {
                says: says.unwrap_or_default(),
                force: t.flag("force", false),
                trial_s: t.has("trial_s").then(|| t.whole("trial_s", 1..=3600, None)),
            }
        }
        1 => Does::Rollback { back: t.whole("back", 1..=99, Some(1)) },
        2 => Does::Cordon(selection(&t, known)),
        3 => Does::Uncordon(selection(&t, known)),
        4 => {
            let pods = t.places("pods", cells(known));
            if pods.is_none() && !t.has("pods") {
                t.wrong(
                    &t.span,
                    "`bank.pods` is missing: expected what the charter allows; add it",
                );
            }
            Does::Charter { pods: pods.unwrap_or_default().into_iter().map(|c| c as u32).collect() }
        }
        5 => Does::Dead(member("member")),
        6 => Does::Alive(member("member")),
        7 => Does::Replace { out: member("out"), then: t.has("then").then(|| member("then")) },
        of_leader => {
            let strike =
                [Strike::Killed, Strike::Paused, Strike::CutOff][usize::from(of_leader - 8)];
            Does::Leader(strike, t.time("length_s", 0.1..=LONGEST_S, None))
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
    let doors = doors(&t, count, known);
    let act = BankAct {
        at: t.time("at_s", 0.0..=LONGEST_S, None),
        doors,
        does,
        wait: t.flag("wait_all", false),
        patience: t.time("patience_s", 0.0..=LONGEST_S, Some(PATIENCE_S)),
        line: t.line(),
    };
    t.finish();
    act
}

/// `door = 1`, `doors = [1, 2]` or `all_doors = true`; the first one, if nothing is said.
fn doors(t: &Table, count: usize, known: &Known) -> Vec<usize> {
    let said = ["door", "doors", "all_doors"].into_iter().filter(|k| t.has(k)).collect::<Vec<_>>();
    if let [_, second, ..] = said.as_slice() {
        t.wrong(
            &t.span_of(second),
            format!("`bank.{}` says already which doors; remove either", said[0]),
        );
    }
    if t.flag("all_doors", false) {
        return (0..known.bank.count).collect();
    }
    let one = t.has("door").then(|| t.whole("door", 0..=count as u32 - 1, None) as usize);
    let several = t.places("doors", count);
    several.or(one.map(|d| vec![d])).unwrap_or_else(|| vec![0])
}

fn cells(known: &Known) -> usize {
    if known.doubtful { usize::MAX } else { known.fleet.cells() }
}

fn says(t: Table, known: &Known) -> Says {
    let mut says = Says::default();
    let pods = |t: &Table, key| -> Vec<u32> {
        t.places(key, cells(known)).unwrap_or_default().into_iter().map(|c| c as u32).collect()
    };
    if let Some(out) = t.table("out") {
        let nodes = if known.doubtful { usize::MAX } else { known.fleet.nodes };
        says.nodes = out.places("nodes", nodes).unwrap_or_default();
        says.pods = pods(&out, "pods");
        let kinds: Vec<&str> = known.fleet.kinds.iter().map(|k| k.name.as_str()).collect();
        says.flavours = named(&out, "flavours", &kinds, known.doubtful);
        let zones: Vec<&str> = known.fleet.zones.iter().map(String::as_str).collect();
        says.sites = named(&out, "sites", &zones, known.doubtful);
        out.finish();
    }
    for kept in t.tables("kept") {
        let classes: Vec<&str> = known.classes.iter().map(|c: &Class| c.name.as_str()).collect();
        let class = kept.text("class", None);
        if kept.has("class") && !known.doubtful && !classes.contains(&class.as_str()) {
            let what =
                format!("`kept.class` is \"{class}\": expected one of {}", classes.join(", "));
            kept.wrong(&kept.span_of("class"), what);
        }
        says.kept.push((class, pods(&kept, "pods")));
        kept.finish();
    }
    says.attempts = t.has("attempts").then(|| t.whole("attempts", 1..=3, None) as u8);
    t.finish();
    says
}

/// Names, each of which has to be one of the known ones.
fn named(t: &Table, key: &'static str, known: &[&str], doubtful: bool) -> Vec<String> {
    let names = t.texts(key, &[]);
    if let Some(name) = names.iter().find(|n| !doubtful && !known.contains(&n.as_str())) {
        let what = format!("`out.{key}` names \"{name}\": expected one of {}", known.join(", "));
        t.wrong(&t.span_of(key), what);
    }
    names
}

/// `[expect]`'s part of it: the longest contradiction and the longest time until a yes is in force everywhere.
pub(super) fn expected(t: &Table) -> (Option<Duration>, Option<Duration>) {
    let time = |key| t.has(key).then(|| t.time(key, 0.0..=LONGEST_S, None));
    (time("contradiction_s_most"), time("in_force_s_most"))
}
