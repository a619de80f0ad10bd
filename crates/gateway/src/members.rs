//! The endpoint list as discovery writes it: one record for each upstream, with names shared between records. What a list
//! means is left to `membership`.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;

use crate::names::NameInterner;

/// One message of discovery: the complete list, or the entries that changed.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct List {
    /// The version, from which a watch continues.
    #[serde(default)]
    pub revision: u64,
    /// Whether this is the complete list.
    #[serde(default)]
    pub complete: bool,
    /// The entries, in the order of discovery.
    #[serde(default, deserialize_with = "readable_entries")]
    pub members: Vec<Entry>,
}

/// One upstream, as the list describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The name, the same at every balancer. Shared by all that retain it.
    pub id: Arc<str>,
    /// The address, which may differ between balancers and change over time. Nothing if the list has no valid one, as for
    /// deleted or draining upstreams.
    pub address: Option<SocketAddr>,
    /// Name of the zone, shared between entries.
    pub zone: Arc<str>,
    /// Name of the machine type, shared between entries.
    pub machine_type: Arc<str>,
    /// The group of upstreams that share the idempotency keys they have seen.
    pub cell: u32,
    /// Whether it accepts requests.
    pub phase: Phase,
    /// The weight relative to other upstreams.
    pub size: f64,
    /// When it last started, in milliseconds of Unix time; 0 for long ago.
    pub up_since_ms: f64,
}

/// Whether an upstream accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Phase {
    /// It accepts requests.
    Serving,
    /// It finishes the requests that it has.
    Draining,
    /// It is gone.
    Deleted,
    /// A phase that this build does not know: nothing shows that it accepts requests.
    #[serde(other)]
    Unknown,
}

/// An entry with the keys that it has on the wire and in snapshots.
#[derive(Deserialize, Serialize)]
struct EntryText<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow, default)]
    host_port: Cow<'a, str>,
    #[serde(borrow, default)]
    locality: Cow<'a, str>,
    #[serde(borrow, default)]
    flavor: Cow<'a, str>,
    #[serde(default)]
    cell: u32,
    phase: Phase,
    #[serde(default = "usual_size")]
    size: f64,
    #[serde(default)]
    up_since_ms: f64,
}

fn usual_size() -> f64 {
    1.0
}

impl EntryText<'_> {
    fn into_entry(self, names: &mut NameInterner) -> Entry {
        Entry {
            id: (*self.id).into(),
            address: self.host_port.parse().ok(),
            zone: names.intern(&self.locality),
            machine_type: names.intern(&self.flavor),
            cell: self.cell,
            phase: self.phase,
            size: self.size,
            up_since_ms: self.up_since_ms,
        }
    }
}

impl Entry {
    /// Reads the JSON text of one entry. A value that is no entry is logged and gives nothing: it must not cost the list its
    /// other entries.
    ///
    /// # Errors
    /// The text is not JSON.
    pub fn from_json(
        text: &[u8],
        names: &mut NameInterner,
    ) -> Result<Option<Self>, serde_json::Error> {
        if let Ok(entry) = serde_json::from_slice::<EntryText>(text) {
            return Ok(Some(entry.into_entry(names)));
        }
        // Slower, and of a key that occurs twice the last one counts.
        Ok(Self::from_value(serde_json::from_slice(text)?, names))
    }

    fn from_value(value: Value, names: &mut NameInterner) -> Option<Self> {
        EntryText::deserialize(value)
            .inspect_err(
                |cause| tracing::warn!(%cause, "unreadable entry of endpoint list ignored"),
            )
            .ok()
            .map(|entry| entry.into_entry(names))
    }
}

impl Serialize for Entry {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let host_port = self.address.map_or(String::new(), |address| address.to_string());
        let text = EntryText {
            id: Cow::Borrowed(&*self.id),
            host_port: host_port.into(),
            locality: Cow::Borrowed(&*self.zone),
            flavor: Cow::Borrowed(&*self.machine_type),
            cell: self.cell,
            phase: self.phase,
            size: self.size,
            up_since_ms: self.up_since_ms,
        };
        text.serialize(serializer)
    }
}

/// Reads entries one at a time, and leaves out those that can't be read.
fn readable_entries<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Entry>, D::Error> {
    struct Entries;

    impl<'de> Visitor<'de> for Entries {
        type Value = Vec<Entry>;

        fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
            f.write_str("a sequence")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Vec<Entry>, A::Error> {
            let mut names = NameInterner::default();
            let mut entries = Vec::new();
            while let Some(value) = sequence.next_element::<Value>()? {
                entries.extend(Entry::from_value(value, &mut names));
            }
            Ok(entries)
        }
    }

    deserializer.deserialize_seq(Entries)
}
