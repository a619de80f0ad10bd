//! The list of upstreams as discovery words it, and nothing of how it comes.

use serde::{Deserialize, Serialize};

/// One message of discovery: the whole list, or the entries that changed.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct List {
    /// Its version; a watch goes on from it.
    #[serde(default)]
    pub revision: u64,
    /// Whether it is the whole list.
    #[serde(default)]
    pub complete: bool,
    /// Its entries, in discovery's order.
    #[serde(default, deserialize_with = "readable")]
    pub members: Vec<Entry>,
}

/// Guards against one entry that can't be read: it must not cost the news of all others.
fn readable<'de, D: serde::Deserializer<'de>>(from: D) -> Result<Vec<Entry>, D::Error> {
    let all = Vec::<serde_json::Value>::deserialize(from)?;
    let read = |entry| {
        serde_json::from_value(entry)
            .inspect_err(|cause| tracing::warn!(%cause, "an entry of the list is left out"))
            .ok()
    };
    Ok(all.into_iter().filter_map(read).collect())
}

/// One upstream, as the list describes it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Entry {
    /// The same at every balancer, whatever its address.
    pub id: String,
    /// May differ between balancers and change over time; the id is who it is. What is deleted may have none.
    #[serde(default)]
    pub host_port: String,
    /// Name of its zone.
    #[serde(default)]
    pub locality: String,
    /// Name of its kind of machine.
    #[serde(default)]
    pub flavor: String,
    /// The group of upstreams that share the keys they have seen.
    #[serde(default)]
    pub cell: u32,
    /// Whether it takes requests.
    pub phase: Phase,
    /// Its weight beside others.
    #[serde(default = "one")]
    pub size: f64,
    /// When it last started, in milliseconds of Unix time; 0 for long ago.
    #[serde(default)]
    pub up_since_ms: f64,
}

fn one() -> f64 {
    1.0
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
