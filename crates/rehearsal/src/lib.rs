//! Rehearsals: stand-in clients, upstreams and discovery with seeded faults run around real
//! balancers, and a checker verifies the four rules from nothing but what the stand-ins saw on
//! their sockets.
//!
//! [`scenario`] describes a run, [`plan`] samples its random parts, [`run`] executes it in real
//! time on loopback or in virtual time on a network inside the process, and [`record`] holds the
//! trace. The stand-ins [`node`], [`list`] and [`clients`] can be used one by one. [`wire`] has the
//! HTTP/1.1 connection for other peers, and [`scripted`] has peers that a test scripts.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub use hollowpaddle_checker::{self as checker, report};
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
