//! Scale harness: the control plane of many balancers in one process, before a stand-in discovery that holds a
//! fleet of the size that is planned for.
//!
//! [`fleet`] describes a fleet by counts and writes configurations and list entries; [`discovery`] serves the
//! list to thousands of watches. Nothing here is linked into the daemon.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod discovery;
pub mod fit;
pub mod fleet;
pub mod measure;
