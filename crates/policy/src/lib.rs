//! The decision module of an HTTP load balancer that runs as a cluster of balancers.
//!
//! Each balancer owns one [`policy::Balancer`], delivers [`interface::Event`]s to it, and carries
//! out the [`interface::Action`]s that the balancer returns. The module does no I/O and reads no
//! clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod attempt_tracker;
mod breakers;
mod capacity;
mod chunked;
mod concurrency_levels;
mod estimate;
mod gauges;
pub mod interface;
pub mod learned;
pub mod list_polling;
mod machine_types;
mod overall;
pub mod policy;
mod queue;
mod quotas;
mod ranks;
mod request_state;
pub mod settings;
mod sums;
pub mod tenants;
mod upstreams;
