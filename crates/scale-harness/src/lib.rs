//! Scale harness: the control plane of many balancers in one process, before a stand-in discovery that holds a
//! fleet of the size that is planned for.
//!
//! [`fleet`] describes a fleet by counts and writes configurations and list entries; [`discovery`] serves the
//! list to thousands of watches; [`workers`] run the gateway's own code on threads that hold many balancers each,
//! on a network that counts ([`metered`]). [`canary`] upstreams show which version of the list is in force where;
//! [`prober`] measures with them, and [`runs`] are the runs of the program `hollow`, each with one [`report`].
//! Real processes of the daemon before the same stand-ins ([`processes`]) show how far hollow figures hold.
//!
//! [`measure`] measures one daemon by the counts of its fleet, and what it adds to a request; [`fit`] puts a line through
//! such points.
//!
//! Nothing here is linked into the daemon.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod background;
pub mod canary;
pub mod cluster;
pub mod discovery;
pub mod fit;
pub mod fleet;
pub mod measure;
pub mod metered;
pub mod prober;
pub mod processes;
pub mod report;
pub mod runs;
pub mod spread;
pub mod usage;
pub mod workers;
