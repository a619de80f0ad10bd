//! Rehearsals: a whole stand-in fleet with seeded faults round real balancers, and a judge of the four rules
//! that knows nothing but what the stand-ins saw on their sockets.
//!
//! [`scenario`] says what is to be played, [`plan`] draws what is left to chance, [`run`] plays it in real
//! time on loopback or in virtual time on a network inside the process, [`record`] is the account of it.
//! Stand-ins can be used one by one: [`node`], [`list`], [`clients`]; [`wire`] is for peers of one's own, and
//! [`scripted`] has some that a test scripts by hand.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub use hollowpaddle_checker::{self as judge, report};
pub use hollowpaddle_scenario::{plan, policy_actions, record, scenario};

pub mod clients;
pub mod cluster;
pub mod freeze;
pub mod list;
pub mod node;
pub mod operator;
pub mod ordered_watch;
pub mod peers;
pub mod process;
pub mod process_cluster;
pub mod run;
pub mod run_context;
pub mod scripted;
pub mod state_directories;
pub mod sweep;
pub mod wire;
