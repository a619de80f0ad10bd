//! hollowpaddle decides for an HTTP load balancer that runs as a bank of proxies.
//!
//! Each proxy owns one [`policy::Balancer`], tells it what happens, and carries out
//! the [`interface::Action`]s it answers with. The module does no I/O and reads no clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod attempt_tracker;
mod breakers;
mod capacity;
mod chunked;
mod concurrency_levels;
mod estimate;
mod fleet;
mod gauges;
pub mod interface;
pub mod learned;
pub mod list_polling;
mod machine_types;
pub mod policy;
mod queue;
mod quotas;
mod ranks;
mod request_state;
pub mod settings;
mod sums;
pub mod tenants;
mod upstreams;
