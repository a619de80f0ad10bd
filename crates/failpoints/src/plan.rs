//! Which faults happen where, and the words for it in which a real process is told: it strikes nothing
//! itself.

use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use crate::Fault;

/// The variable of the environment that [`crate::Points::from_environment`] reads.
pub const VARIABLE: &str = "LB_FAULTPOINTS";
/// How long a process stands still at [`Fault::Pause`] where nothing else is said: longer than a lease (2 s)
/// and its drift.
pub const PAUSE: Duration = Duration::from_millis(2_500);
/// The longest such pause, in milliseconds. A mistyped one would otherwise outlast the test that waits for
/// it.
const LONGEST_PAUSE_MS: u64 = 600_000;

/// How long a fault by name goes on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Lasts {
    /// At that one point.
    Once,
    /// At every later one as well, until [`crate::Points::heal`].
    UntilHealed,
    /// At every later one as well, until this file is there. It is looked for at each of them; once seen, the
    /// fault is over for good.
    UntilThere(PathBuf),
}

/// A fault at points of one name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Named {
    pub(crate) name: String,
    /// Which point of that name, from 1, by its process or, in a virtual run, by all.
    pub(crate) from: u64,
    pub(crate) lasts: Lasts,
    pub(crate) fault: Fault,
}

/// Which faults happen at which points: by number from 1, or by name. A number goes before a name, and of
/// names the first that was said.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Plan {
    pub(crate) numbers: BTreeMap<u64, Fault>,
    pub(crate) named: Vec<Named>,
}

impl Plan {
    /// No fault: the points are counted.
    pub fn counting() -> Self {
        Self::default()
    }

    /// One fault.
    pub fn one(number: u64, fault: Fault) -> Self {
        Self::default().and(number, fault)
    }

    /// One more. The last one said of a point holds.
    #[must_use]
    pub fn and(mut self, number: u64, fault: Fault) -> Self {
        self.numbers.insert(number, fault);
        self
    }

    /// One more, at the `nth` point of a name, from 1.
    #[must_use]
    pub fn at(self, name: &str, nth: u64, fault: Fault) -> Self {
        self.from(name, nth, Lasts::Once, fault)
    }

    /// One more, at the `from`th point of a name, and for as long as it lasts.
    #[must_use]
    pub fn from(mut self, name: &str, from: u64, lasts: Lasts, fault: Fault) -> Self {
        self.named.push(Named { name: name.to_string(), from, lasts, fault });
        self
    }

    /// The same for a process that begins to count after others have passed `numbered` points, `by_name` of
    /// each name. What was planned for those is left out.
    pub(crate) fn shifted(&self, numbered: u64, by_name: impl Fn(&str) -> u64) -> Self {
        let numbers = self.numbers.iter().filter(|(n, _)| **n > numbered);
        let numbers = numbers.map(|(n, fault)| (n - numbered, *fault)).collect();
        let named = self.named.iter().filter_map(|one| {
            let before = by_name(&one.name);
            let over = one.lasts == Lasts::Once && one.from <= before;
            (!over).then(|| Named { from: one.from.saturating_sub(before).max(1), ..one.clone() })
        });
        Self { numbers, named: named.collect() }
    }
}

/// As in [`VARIABLE`].
impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut between = "";
        for (number, fault) in &self.numbers {
            write!(f, "{between}number={number},fault={}", fault.name())?;
            between = ";";
        }
        for Named { name, from, lasts, fault } in &self.named {
            let which = if *lasts == Lasts::Once { "nth" } else { "from" };
            write!(f, "{between}name={name},{which}={from},fault={}", fault.name())?;
            if let Lasts::UntilThere(path) = lasts {
                write!(f, ",until={}", path.display())?;
            }
            between = ";";
        }
        Ok(())
    }
}

/// What a real process is told about its points.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// What goes wrong.
    pub plan: Plan,
    /// A file to which each point is appended as it is passed.
    pub trace: Option<PathBuf>,
    /// For how long the process stands still at [`Fault::Pause`].
    pub pause: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self { plan: Plan::default(), trace: None, pause: PAUSE }
    }
}

/// [`VARIABLE`] can't be understood. Each says what was found and what was expected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// It is not text.
    #[error(
        "{VARIABLE} is not UTF-8: expected `name=..,nth=..,fault=..` and the like, joined by `;`"
    )]
    NotText,
    /// Something without `=`.
    #[error(
        "in {VARIABLE}, part {part}: found `{found}`, expected `key=value`, several joined by `,`"
    )]
    NoValue {
        /// Counted from 1, between `;`.
        part: usize,
        /// As it stands there.
        found: String,
    },
    /// No such key, or twice, or not beside the others.
    #[error("in {VARIABLE}, part {part}: key `{key}` {wrong}; expected {EXPECTED}")]
    Key {
        /// Counted from 1, between `;`.
        part: usize,
        /// As it stands there.
        key: String,
        /// What is wrong with it.
        wrong: &'static str,
    },
    /// A value that is none.
    #[error("in {VARIABLE}, part {part}: {key}=`{found}`, expected {expected}")]
    Value {
        /// Counted from 1, between `;`.
        part: usize,
        /// Whose value.
        key: String,
        /// As it stands there.
        found: String,
        /// In words.
        expected: String,
    },
    /// The trace can't be opened.
    #[error(
        "{VARIABLE}: trace `{path}` can't be appended to ({cause}); its directory must exist and be writable"
    )]
    Trace {
        /// Which.
        path: String,
        /// What happened.
        cause: String,
    },
}

const EXPECTED: &str = "`number=N,fault=F`, `name=X[,nth=N],fault=F`, `name=X,from=N,fault=F[,until=PATH]`, \
                        `trace=PATH` or `pause_ms=N`";

/// One part, between `;`.
struct Part<'a> {
    part: usize,
    keys: BTreeMap<&'a str, &'a str>,
}

impl<'a> Part<'a> {
    fn read(part: usize, text: &'a str) -> Result<Self, PlanError> {
        let mut keys = BTreeMap::new();
        for pair in text.split(',') {
            let Some((key, value)) = pair.split_once('=') else {
                return Err(PlanError::NoValue { part, found: pair.to_string() });
            };
            let (key, value) = (key.trim(), value.trim());
            if keys.insert(key, value).is_some() {
                return Err(PlanError::Key {
                    part,
                    key: key.to_string(),
                    wrong: "stands there twice",
                });
            }
        }
        Ok(Self { part, keys })
    }

    fn bad(&self, key: &str, found: &str, expected: impl Into<String>) -> PlanError {
        let (key, found) = (key.to_string(), found.to_string());
        PlanError::Value { part: self.part, key, found, expected: expected.into() }
    }

    fn count(&mut self, key: &str) -> Result<Option<u64>, PlanError> {
        let Some(found) = self.keys.remove(key) else { return Ok(None) };
        match found.parse() {
            Ok(n) if n > 0 => Ok(Some(n)),
            _ => Err(self.bad(key, found, "a whole number from 1")),
        }
    }

    fn fault(&mut self) -> Result<Fault, PlanError> {
        let names = || Fault::ALL.map(Fault::name).join(", ");
        let found = self.keys.remove("fault").unwrap_or("");
        let fault = Fault::ALL.into_iter().find(|f| f.name() == found);
        fault.ok_or_else(|| self.bad("fault", found, format!("one of {}", names())))
    }

    fn path(&mut self, key: &str) -> Result<Option<PathBuf>, PlanError> {
        match self.keys.remove(key) {
            Some("") => Err(self.bad(key, "", "a path without `,` and `;`")),
            found => Ok(found.map(PathBuf::from)),
        }
    }

    fn into(mut self, settings: &mut Settings) -> Result<(), PlanError> {
        if let Some(path) = self.path("trace")? {
            settings.trace = Some(path);
        } else if let Some(found) = self.keys.remove("pause_ms") {
            let ms = found.parse().ok().filter(|ms| (1..=LONGEST_PAUSE_MS).contains(ms));
            let ms = ms.ok_or_else(|| {
                self.bad("pause_ms", found, format!("milliseconds, from 1 to {LONGEST_PAUSE_MS}"))
            })?;
            settings.pause = Duration::from_millis(ms);
        } else if let Some(number) = self.count("number")? {
            let fault = self.fault()?;
            settings.plan.numbers.insert(number, fault);
        } else if let Some(name) = self.keys.remove("name") {
            if name.is_empty() {
                return Err(self.bad("name", name, "the name of a point, as a trace says it"));
            }
            let (nth, from) = (self.count("nth")?, self.count("from")?);
            if nth.is_some() && from.is_some() {
                let key = "nth".to_string();
                return Err(PlanError::Key { part: self.part, key, wrong: "stands beside `from`" });
            }
            let lasts = match (from, self.path("until")?) {
                (None, None) => Lasts::Once,
                (Some(_), None) => Lasts::UntilHealed,
                (Some(_), Some(path)) => Lasts::UntilThere(path),
                (None, Some(_)) => {
                    let key = "until".to_string();
                    return Err(PlanError::Key {
                        part: self.part,
                        key,
                        wrong: "stands without `from`",
                    });
                }
            };
            let fault = self.fault()?;
            let from = nth.or(from).unwrap_or(1);
            settings.plan.named.push(Named { name: name.to_string(), from, lasts, fault });
        }
        match self.keys.keys().next() {
            Some(key) => {
                let (part, key) = (self.part, key.to_string());
                Err(PlanError::Key { part, key, wrong: "is not known there" })
            }
            None => Ok(()),
        }
    }
}

impl FromStr for Settings {
    type Err = PlanError;

    fn from_str(text: &str) -> Result<Self, PlanError> {
        let mut settings = Self::default();
        for (n, part) in text.split(';').enumerate().filter(|(_, part)| !part.trim().is_empty()) {
            Part::read(n + 1, part)?.into(&mut settings)?;
        }
        Ok(settings)
    }
}
