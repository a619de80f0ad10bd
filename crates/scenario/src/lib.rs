//! Scenarios of a rehearsal: [`scenario`] describes one, [`plan`] generates its random parts ahead of the run, and
//! [`record`] holds the trace of what was observed. The crates that run a scenario and that check its trace both depend
//! on this crate and not on each other.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod plan;
pub mod policy_actions;
pub mod record;
pub mod scenario;
pub mod user_sessions;
