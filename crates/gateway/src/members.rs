//! The list of upstreams as discovery writes it: one record for each upstream, with names shared between records.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;

use crate::names::NameInterner;

/// One message of discovery: the whole list, or the entries that changed.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct List {
    /// Its version; a watch goes on from it.
    #[serde(default)]
    pub revision: u64,
    /// Whether it is the whole list.
    #[serde(default)]
    pub complete: bool,
    /// Its entries, in discovery's order.
    #[serde(default, deserialize_with = "readable_entries")]
    pub members: Vec<Entry>,
}

/// One upstream, as the list describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The same at every balancer, whatever its address. Shared with all that keep it.
    pub id: Arc<str>,
    /// May differ between balancers and change over time. None where the list has no valid one: what is deleted or
    /// draining may come without.
    pub address: Option<SocketAddr>,
    /// Name of its zone, shared between entries.
    pub zone: Arc<str>,
    /// Name of its machine type, shared between entries.
    pub machine_type: Arc<str>,
    /// The group of upstreams that share the keys they have seen.
    pub cell: u32,
    /// Whether it takes requests.
    pub phase: Phase,
    /// Its weight beside others.
    pub size: f64,
    /// When it last started, in milliseconds of Unix time; 0 for long ago.
    pub up_since_ms: f64,
}

/// Whether an upstream takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Phase {
    /// It does.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Deleted,
    /// One that this build does not know: nothing says that it takes requests.
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
    /// Reads the JSON text of one entry. None, and a warning, for a value that is no entry: it must not cost the news of
    /// all others.
    ///
    /// # Errors
    /// Text that is no JSON.
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
            .inspect_err(|cause| tracing::warn!(%cause, "an entry of the list is left out"))
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
