//! A day to be played: [`scenario`] says what it holds, [`plan`] draws what is left to chance, [`record`] is the
//! account of what was seen. Who plays it, and who judges it, stand on this and not on one another.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod plan;
pub mod policy_actions;
pub mod record;
pub mod scenario;
pub mod user_sessions;
