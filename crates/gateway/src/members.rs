//! The endpoint list in discovery's format: one record for each upstream, with names shared between records. The module
//! `membership` interprets lists.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;

use crate::names::NameInterner;

/// A message of discovery: the complete list, or the changed entries.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct List {
    /// Version of the list, from which a watch continues.
    #[serde(default)]
    pub revision: u64,
    /// Whether this is the complete list.
    #[serde(default)]
    pub complete: bool,
    /// The entries, in discovery's order.
    #[serde(default, deserialize_with = "readable_entries")]
    pub members: Vec<Entry>,
}

/// A list entry for one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Name of the upstream, equal at every balancer. The string is shared between all its holders.
    pub id: Arc<str>,
    /// The address, which may differ between balancers and change over time. `None` if the list has no valid address, for
    /// example for a deleted or draining upstream.
    pub address: Option<SocketAddr>,
    /// Name of the zone, shared between entries.
    pub zone: Arc<str>,
    /// Name of the machine type, shared between entries.
    pub machine_type: Arc<str>,
    /// The cell: the group of upstreams that share the idempotency keys they have seen.
    pub cell: u32,
    /// Whether the upstream accepts requests.
    pub phase: Phase,
    /// The weight relative to other upstreams.
    pub size: f64,
    /// Time of the upstream's last start, in milliseconds of Unix time; 0 for long ago.
    pub up_since_ms: f64,
}

/// Whether an upstream accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Phase {
    /// The upstream accepts requests.
    Serving,
    /// The upstream completes the requests that it has, and accepts no new ones.
    Draining,
    /// The upstream is gone.
    Deleted,
    /// A phase that this build does not know. The upstream is not assumed to accept requests.
    #[serde(other)]
    Unknown,
}

/// An entry with its keys on the wire and in snapshots.
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
    /// Parses the JSON text of one entry. A value that is not an entry is logged and returned as `None`, so that the other
    /// entries of the list stay usable.
    ///
    /// # Errors
    /// Returns an error if the text is not JSON.
    pub fn from_json(
        text: &[u8],
        names: &mut NameInterner,
    ) -> Result<Option<Self>, serde_json::Error> {
        if let Ok(entry) = serde_json::from_slice::<EntryText>(text) {
            return Ok(Some(entry.into_entry(names)));
        }
        // Slower, but accepts repeated keys, of which the last value is used.
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

/// Deserializes entries one at a time, and skips unreadable entries.
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
