//! Where an upstream stands in the fleet, as far as routing rules refer to it.

/// An upstream, as far as routing rules refer to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place<'a> {
    /// Its name on the endpoint list.
    pub name: &'a str,
    /// Its cell (`cell` on the endpoint list).
    pub cell: u32,
    /// Its machine type.
    pub machine_type: &'a str,
    /// Its zone (`locality` on the endpoint list).
    pub zone: &'a str,
}
