//! A defined load on a server that already runs: [`profile`] says what comes, [`schedule`] draws ahead when, [`driver`]
//! sends it, [`account`] tells what came of it and whether the tool itself kept up. It knows nothing of balancers.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod account;
pub mod driver;
pub mod profile;
pub mod schedule;
