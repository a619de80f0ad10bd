//! The place of an upstream in the fleet.

/// The properties of an upstream that routing rules refer to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place<'a> {
    /// Name of the upstream on the endpoint list.
    pub name: &'a str,
    /// Cell of the upstream (`cell` on the endpoint list).
    pub cell: u32,
    /// Machine type of the upstream.
    pub machine_type: &'a str,
    /// Zone of the upstream (`locality` on the endpoint list).
    pub zone: &'a str,
}
