//! Load generator for an HTTP server that already runs. [`profile`] defines the load, [`schedule`] draws the arrival
//! times from a seed, [`driver`] sends the requests, and [`account`] records the results and whether the generator
//! itself kept up with the schedule. The crate has no knowledge of load balancers.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod account;
pub mod driver;
pub mod profile;
pub mod schedule;
