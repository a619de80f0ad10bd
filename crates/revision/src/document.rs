//! The content of a routing revision as operators write it, and the bounds of each field. The module
//! [`fleet`](crate::fleet) checks whether a document fits the fleet and the fallback policy; requests read the
//! [`rules`](crate::rules) that are built from the document.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::fixed_point::{SubsetFactor, Weight};

/// Maximum length of an encoded document, in bytes. It leaves room in the log entry for the facts about the fleet.
pub const MAX_DOCUMENT_BYTES: usize = 10 << 10;
/// Maximum length of a JSON text, in bytes. It bounds the memory that a request to the admin API takes.
pub const MAX_JSON_BYTES: usize = 64 << 10;
/// Maximum length of the name of an upstream, machine type, zone or class, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum number of upstreams in one list of a document. Larger sets are named by cell, machine type or zone.
pub const MAX_LISTED_UPSTREAMS: usize = 512;
/// Maximum number of cells in one list of a document.
pub const MAX_LISTED_CELLS: usize = 512;
/// Maximum number of machine types, zones or classes in one list of a document.
pub const MAX_LISTED_NAMES: usize = 64;
/// Maximum number of attempts of one request, as the platform prescribes.
pub const MAX_ATTEMPTS: u8 = 3;
/// Maximum lifetime of a session, in seconds: one day.
pub const MAX_SESSION_S: u32 = 86_400;
/// Maximum of [`Document::balancers`].
pub const MAX_SUBSET_BALANCERS: u16 = 1000;

/// A part of the fleet: every upstream that at least one of the lists covers.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Selection {
    /// Upstreams by name.
    pub upstreams: BTreeSet<String>,
    /// Cells by number. Cell numbers are unique across zones.
    #[serde(rename = "pods")]
    pub cells: BTreeSet<u32>,
    /// Machine types by name.
    #[serde(rename = "flavours")]
    pub machine_types: BTreeSet<String>,
    /// Zones by name.
    #[serde(rename = "sites")]
    pub zones: BTreeSet<String>,
}

impl Selection {
    /// Returns whether the selection names nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the part that this selection names and `other` does not.
    pub fn without(&self, other: &Self) -> Self {
        let difference =
            |a: &BTreeSet<String>, b: &BTreeSet<String>| a.difference(b).cloned().collect();
        Self {
            upstreams: difference(&self.upstreams, &other.upstreams),
            cells: self.cells.difference(&other.cells).copied().collect(),
            machine_types: difference(&self.machine_types, &other.machine_types),
            zones: difference(&self.zones, &other.zones),
        }
    }

    /// Returns the union of this selection and `other`.
    pub fn with(&self, other: &Self) -> Self {
        let mut union = self.clone();
        union.upstreams.extend(other.upstreams.iter().cloned());
        union.cells.extend(&other.cells);
        union.machine_types.extend(other.machine_types.iter().cloned());
        union.zones.extend(other.zones.iter().cloned());
        union
    }
}

/// Reduced weights. All weights that apply to one upstream are multiplied.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Weights of upstreams, by name.
    pub upstreams: BTreeMap<String, Weight>,
    /// Weights of cells, by number.
    #[serde(rename = "pods")]
    pub cells: BTreeMap<u32, Weight>,
    /// Weights of machine types, by name.
    #[serde(rename = "flavours")]
    pub machine_types: BTreeMap<String, Weight>,
    /// Weights of zones, by name.
    #[serde(rename = "sites")]
    pub zones: BTreeMap<String, Weight>,
}

/// The content of one routing revision.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// The part of the fleet that receives no requests.
    #[serde(rename = "out")]
    pub exclusions: Selection,
    /// The parts of the fleet that receive fewer requests than usual.
    pub weights: Weights,
    /// By class, the cells that receive no requests of the class.
    #[serde(rename = "kept")]
    pub class_exclusions: BTreeMap<String, BTreeSet<u32>>,
    /// Maximum number of attempts of one request, 1 to [`MAX_ATTEMPTS`].
    pub attempts: u8,
    /// The subset factor.
    #[serde(rename = "times")]
    pub subset_factor: SubsetFactor,
    /// Number of balancers for which the subset is calculated, 1 to [`MAX_SUBSET_BALANCERS`]; the number from the
    /// settings if absent.
    pub balancers: Option<u16>,
    /// Classes with sessions, and the lifetime of a session after its last use, in seconds.
    pub sessions: BTreeMap<String, u32>,
    /// The oldest endpoint list that may be acted on, by the version number of discovery.
    #[serde(rename = "eldest_list")]
    pub oldest_list: u64,
}

impl Default for Document {
    /// Returns the document that forbids nothing.
    fn default() -> Self {
        Self {
            exclusions: Selection::default(),
            weights: Weights::default(),
            class_exclusions: BTreeMap::new(),
            attempts: MAX_ATTEMPTS,
            subset_factor: SubsetFactor::default(),
            balancers: None,
            sessions: BTreeMap::new(),
            oldest_list: 0,
        }
    }
}

/// An error while reading or checking a document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentError {
    /// The text is not valid JSON, or has an unknown or unreadable field.
    #[error("reading the document at `{field}`: {cause}; correct that field")]
    Json {
        /// The path to the field.
        field: String,
        /// The error of the JSON parser: what was found and what was expected.
        cause: String,
    },
    /// A field is outside its bounds.
    #[error("checking the document: `{field}` is {found}; expected {expected}")]
    Field {
        /// The path to the field.
        field: &'static str,
        /// The value of the field.
        found: String,
        /// The allowed values.
        expected: String,
    },
    /// Each field is within its bounds, but the document as a whole is too long.
    #[error(
        "the document takes {found} bytes; expected {expected} at most: name pods, flavours or sites \
         instead of upstreams"
    )]
    TooLong {
        /// Length of the document, in bytes.
        found: usize,
        /// Maximum length, in bytes.
        expected: usize,
    },
}

impl Document {
    /// Reads and checks a document from the JSON of the admin API.
    ///
    /// # Errors
    /// If the JSON or a field is invalid. The error names the field, the value found and the values expected.
    pub fn from_json(json: &[u8]) -> Result<Self, DocumentError> {
        if json.len() > MAX_JSON_BYTES {
            return Err(DocumentError::TooLong { found: json.len(), expected: MAX_JSON_BYTES });
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

    /// Returns the length of the encoded document, in bytes.
    pub fn length(&self) -> usize {
        postcard::to_stdvec(self).map_or(usize::MAX, |bytes| bytes.len())
    }

    /// Returns all pairs of a class and a cell that receives no requests of the class, in order.
    pub(crate) fn excluded_class_cells(&self) -> impl Iterator<Item = (&str, u32)> {
        self.class_exclusions
            .iter()
            .flat_map(|(class, cells)| cells.iter().map(move |cell| (class.as_str(), *cell)))
    }

    /// Checks the bounds of all fields.
    ///
    /// # Errors
    /// If a field is outside its bounds, or the document is too long. The error names the first such field.
    pub fn check(&self) -> Result<(), DocumentError> {
        self.check_lengths()?;
        self.check_names()?;
        self.check_values()?;
        let found = self.length();
        if found > MAX_DOCUMENT_BYTES {
            return Err(DocumentError::TooLong { found, expected: MAX_DOCUMENT_BYTES });
        }
        Ok(())
    }

    fn check_lengths(&self) -> Result<(), DocumentError> {
        let Self { exclusions, weights, .. } = self;
        check_length("out.upstreams", exclusions.upstreams.len(), MAX_LISTED_UPSTREAMS)?;
        check_length("out.pods", exclusions.cells.len(), MAX_LISTED_CELLS)?;
        check_length("out.flavours", exclusions.machine_types.len(), MAX_LISTED_NAMES)?;
        check_length("out.sites", exclusions.zones.len(), MAX_LISTED_NAMES)?;
        check_length("weights.upstreams", weights.upstreams.len(), MAX_LISTED_UPSTREAMS)?;
        check_length("weights.pods", weights.cells.len(), MAX_LISTED_CELLS)?;
        check_length("weights.flavours", weights.machine_types.len(), MAX_LISTED_NAMES)?;
        check_length("weights.sites", weights.zones.len(), MAX_LISTED_NAMES)?;
        check_length("kept", self.class_exclusions.len(), MAX_LISTED_NAMES)?;
        check_length("sessions", self.sessions.len(), MAX_LISTED_NAMES)
    }

    fn check_names(&self) -> Result<(), DocumentError> {
        let Self { exclusions, weights, .. } = self;
        check_each_name("out.upstreams", &exclusions.upstreams)?;
        check_each_name("out.flavours", &exclusions.machine_types)?;
        check_each_name("out.sites", &exclusions.zones)?;
        check_each_name("weights.upstreams", weights.upstreams.keys())?;
        check_each_name("weights.flavours", weights.machine_types.keys())?;
        check_each_name("weights.sites", weights.zones.keys())?;
        check_each_name("kept", self.class_exclusions.keys())?;
        check_each_name("sessions", self.sessions.keys())
    }

    fn check_values(&self) -> Result<(), DocumentError> {
        for cells in self.class_exclusions.values() {
            check_length("kept", cells.len(), MAX_LISTED_CELLS)?;
            if cells.is_empty() {
                return Err(field_error(
                    "kept",
                    "a class without pods",
                    "at least one pod, or the class left out",
                ));
            }
        }
        if !(1..=MAX_ATTEMPTS).contains(&self.attempts) {
            return Err(field_error("attempts", self.attempts, "1 to 3"));
        }
        if let Some(balancers) = self.balancers.filter(|b| !(1..=MAX_SUBSET_BALANCERS).contains(b))
        {
            return Err(field_error("balancers", balancers, "1 to 1000, or none"));
        }
        if let Some(seconds) = self.sessions.values().find(|s| !(1..=MAX_SESSION_S).contains(*s)) {
            return Err(field_error("sessions", seconds, "1 to 86400 seconds"));
        }
        Ok(())
    }
}

fn field_error(
    field: &'static str,
    found: impl ToString,
    expected: impl ToString,
) -> DocumentError {
    DocumentError::Field { field, found: found.to_string(), expected: expected.to_string() }
}

fn check_length(field: &'static str, found: usize, max: usize) -> Result<(), DocumentError> {
    if found <= max {
        Ok(())
    } else {
        Err(field_error(field, format!("{found} long"), format!("{max} at most")))
    }
}

fn check_each_name<'a>(
    field: &'static str,
    names: impl IntoIterator<Item = &'a String>,
) -> Result<(), DocumentError> {
    match names.into_iter().find(|name| name.is_empty() || name.len() > MAX_NAME_BYTES) {
        None => Ok(()),
        Some(found) => {
            let found: String = found.chars().take(MAX_NAME_BYTES).collect();
            Err(field_error(field, format!("the name {found:?}"), "a name of 1 to 64 bytes"))
        }
    }
}
