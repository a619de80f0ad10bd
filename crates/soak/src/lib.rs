//! Soak test: runs real daemons on loopback sockets under overlapping faults. This process simulates the clients, the
//! upstreams and discovery. Every request is recorded on both sides of the daemons, and [`checker`] checks the records
//! against a set of rules, including the invariant violations that the daemons log themselves. See `docs/soak.md`.
//!
//! All random values derive from one seed. Runs use real time, so a seed reproduces the plan but not the exact run.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod balancer;
pub mod checker;
mod client;
mod discovery;
mod faults;
mod ledger;
mod message;
mod random;
mod run;
mod settings;
mod upstream;
mod upstream_list;

pub use run::{Options, Report, SoakError, run};
