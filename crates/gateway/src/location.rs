//! The location of an upstream. Upstreams at the same location recognise each other's repeated requests.

/// The zone and the cell of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// Index of the zone in the settings.
    pub zone: u32,
    /// Number of the cell within the zone.
    pub cell: u32,
}
