//! A routing revision as operators write it: plain data, checked by itself. Whether it fits a fleet and the
//! charter is asked in `fleet`; what requests read of it is made in `rules`.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::figures::{Times, Weight};

/// The longest document in the log, in bytes: an entry is 16 KiB at most and carries the fleet's facts as
/// well.
pub const MAX_DOCUMENT_BYTES: usize = 10 << 10;
/// The longest JSON that is read, in bytes. Without a bound a door's request takes what memory there is.
pub const LONGEST_JSON: usize = 64 << 10;
/// The longest name of an upstream, flavour, site or class, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Upstreams that one document can name in one list. More at once is a pod, a flavour or a site.
pub const MAX_LISTED_UPSTREAMS: usize = 512;
/// Pods that one document can name in one list.
pub const MAX_LISTED_CELLS: usize = 512;
/// Flavours, sites or classes that one document can name in one list.
pub const MAX_LISTED_NAMES: usize = 64;
/// Most attempts of a request: the platform's rule.
pub const MAX_ATTEMPTS: u8 = 3;
/// The longest session, in seconds: a day.
pub const MAX_SESSION_S: u32 = 86_400;
/// Balancers in a bank at most.
pub const MOST_BALANCERS: u16 = 1000;

/// A choice among the fleet: whatever is named in one of the lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Selection {
    /// By name.
    pub upstreams: BTreeSet<String>,
    /// By number; no two sites share one.
    #[serde(rename = "pods")]
    pub cells: BTreeSet<u32>,
    /// Kinds of machines.
    #[serde(rename = "flavours")]
    pub machine_types: BTreeSet<String>,
    /// Localities.
    #[serde(rename = "sites")]
    pub zones: BTreeSet<String>,
}

impl Selection {
    /// Whether nothing is chosen.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// What is chosen here and not there.
    pub fn without(&self, other: &Self) -> Self {
        let less = |a: &BTreeSet<String>, b: &BTreeSet<String>| a.difference(b).cloned().collect();
        Self {
            upstreams: less(&self.upstreams, &other.upstreams),
            cells: self.cells.difference(&other.cells).copied().collect(),
            machine_types: less(&self.machine_types, &other.machine_types),
            zones: less(&self.zones, &other.zones),
        }
    }

    /// What is chosen here or there.
    pub fn with(&self, other: &Self) -> Self {
        let mut all = self.clone();
        all.upstreams.extend(other.upstreams.iter().cloned());
        all.cells.extend(&other.cells);
        all.machine_types.extend(other.machine_types.iter().cloned());
        all.zones.extend(other.zones.iter().cloned());
        all
    }
}

/// What weighs less than usual. Weights of one upstream multiply.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// By name.
    pub upstreams: BTreeMap<String, Weight>,
    /// By number.
    #[serde(rename = "pods")]
    pub cells: BTreeMap<u32, Weight>,
    /// Kinds of machines.
    #[serde(rename = "flavours")]
    pub machine_types: BTreeMap<String, Weight>,
    /// Localities.
    #[serde(rename = "sites")]
    pub zones: BTreeMap<String, Weight>,
}

/// One routing revision's content.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Nothing is sent there.
    pub out: Selection,
    /// Less is sent there.
    pub weights: Weights,
    /// Classes, and the pods that they are kept from.
    pub kept: BTreeMap<String, BTreeSet<u32>>,
    /// Most attempts of one request, 1 to [`MAX_ATTEMPTS`].
    pub attempts: u8,
    /// The subset factor.
    pub times: Times,
    /// Balancers in the bank, for the subset; as the settings say where it is left out.
    pub balancers: Option<u16>,
    /// Classes that have sessions, and for how long after their last use, in seconds.
    pub sessions: BTreeMap<String, u32>,
    /// The eldest list of upstreams that may be acted on, by discovery's number.
    #[serde(rename = "eldest_list")]
    pub oldest_list: u64,
}

impl Default for Document {
    /// What forbids nothing.
    fn default() -> Self {
        Self {
            out: Selection::default(),
            weights: Weights::default(),
            kept: BTreeMap::new(),
            attempts: MAX_ATTEMPTS,
            times: Times::default(),
            balancers: None,
            sessions: BTreeMap::new(),
            oldest_list: 0,
        }
    }
}

/// Why something is no document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentError {
    /// Not JSON, or a field that there isn't.
    #[error("reading the document at `{field}`: {cause}; correct that field")]
    Json {
        /// The path to it.
        field: String,
        /// What was found and what was expected.
        cause: String,
    },
    /// One field is outside its bounds.
    #[error("checking the document: `{field}` is {found}; expected {expected}")]
    Field {
        /// The path to it.
        field: &'static str,
        /// What stands there.
        found: String,
        /// What may stand there.
        expected: String,
    },
    /// All is well, and too much.
    #[error(
        "the document takes {found} bytes; expected {expected} at most: name pods, flavours or sites \
         instead of upstreams"
    )]
    TooLong {
        /// Bytes.
        found: usize,
        /// Bytes.
        expected: usize,
    },
}

impl Document {
    /// From the JSON of a door.
    ///
    /// # Errors
    /// The field, what was found there and what was expected.
    pub fn from_json(json: &[u8]) -> Result<Self, DocumentError> {
        if json.len() > LONGEST_JSON {
            return Err(DocumentError::TooLong { found: json.len(), expected: LONGEST_JSON });
        }
        let mut reader = serde_json::Deserializer::from_slice(json);
        let document: Self =
            serde_path_to_error::deserialize(&mut reader).map_err(|error| DocumentError::Json {
                field: error.path().to_string(),
                cause: error.inner().to_string(),
            })?;
        reader
            .end()
            .map_err(|error| DocumentError::Json { field: ".".into(), cause: error.to_string() })?;
        document.check()?;
        Ok(document)
    }

    /// Bytes that it takes in the log.
    pub fn length(&self) -> usize {
        postcard::to_stdvec(self).map_or(usize::MAX, |bytes| bytes.len())
    }

    /// Whether it is within all bounds.
    ///
    /// # Errors
    /// The first field that isn't.
    pub fn check(&self) -> Result<(), DocumentError> {
        let Self { out, weights, kept, attempts, times: _, balancers, sessions, oldest_list: _ } =
            self;
        most("out.upstreams", out.upstreams.len(), MAX_LISTED_UPSTREAMS)?;
        most("out.pods", out.cells.len(), MAX_LISTED_CELLS)?;
        most("out.flavours", out.machine_types.len(), MAX_LISTED_NAMES)?;
        most("out.sites", out.zones.len(), MAX_LISTED_NAMES)?;
        most("weights.upstreams", weights.upstreams.len(), MAX_LISTED_UPSTREAMS)?;
        most("weights.pods", weights.cells.len(), MAX_LISTED_CELLS)?;
        most("weights.flavours", weights.machine_types.len(), MAX_LISTED_NAMES)?;
        most("weights.sites", weights.zones.len(), MAX_LISTED_NAMES)?;
        most("kept", kept.len(), MAX_LISTED_NAMES)?;
        most("sessions", sessions.len(), MAX_LISTED_NAMES)?;
        named("out.upstreams", &out.upstreams)?;
        named("out.flavours", &out.machine_types)?;
        named("out.sites", &out.zones)?;
        named("weights.upstreams", weights.upstreams.keys())?;
        named("weights.flavours", weights.machine_types.keys())?;
        named("weights.sites", weights.zones.keys())?;
        named("kept", kept.keys())?;
        named("sessions", sessions.keys())?;
        for cells in kept.values() {
            most("kept", cells.len(), MAX_LISTED_CELLS)?;
            if cells.is_empty() {
                return Err(field(
                    "kept",
                    "a class without pods",
                    "at least one pod, or the class left out",
                ));
            }
        }
        if !(1..=MAX_ATTEMPTS).contains(attempts) {
            return Err(field("attempts", attempts, "1 to 3"));
        }
        if let Some(balancers) = balancers.filter(|b| !(1..=MOST_BALANCERS).contains(b)) {
            return Err(field("balancers", balancers, "1 to 1000, or none"));
        }
        if let Some(seconds) = sessions.values().find(|s| !(1..=MAX_SESSION_S).contains(*s)) {
            return Err(field("sessions", seconds, "1 to 86400 seconds"));
        }
        let found = self.length();
        if found > MAX_DOCUMENT_BYTES {
            return Err(DocumentError::TooLong { found, expected: MAX_DOCUMENT_BYTES });
        }
        Ok(())
    }
}

fn field(field: &'static str, found: impl ToString, expected: impl ToString) -> DocumentError {
    DocumentError::Field { field, found: found.to_string(), expected: expected.to_string() }
}

fn most(name: &'static str, found: usize, most: usize) -> Result<(), DocumentError> {
    if found <= most {
        Ok(())
    } else {
        Err(field(name, format!("{found} long"), format!("{most} at most")))
    }
}

fn named<'a>(
    name: &'static str,
    names: impl IntoIterator<Item = &'a String>,
) -> Result<(), DocumentError> {
    match names.into_iter().find(|n| n.is_empty() || n.len() > MAX_NAME_BYTES) {
        None => Ok(()),
        Some(found) => {
            let found: String = found.chars().take(MAX_NAME_BYTES).collect();
            Err(field(name, format!("the name {found:?}"), "a name of 1 to 64 bytes"))
        }
    }
}
