//! The runtime of one balancer as a library: connects the decision module to clients, upstreams and discovery.
//!
//! All tasks run on one thread. Tasks that do I/O report events to the engine and carry out its actions. Only the engine
//! calls the decision module.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admin;
mod attempt;
mod bodies;
mod cancellation;
mod clients;
mod closing;
pub mod cluster;
pub mod config;
mod connections;
mod discovery;
mod engine;
mod forwarded_request;
mod freshness;
mod http;
mod invariants;
#[doc(hidden)]
pub mod list_reader;
mod location;
pub mod members;
#[doc(hidden)] // for the measurements in `tests/list_memory.rs`
pub mod membership;
mod names;
mod receive_time;
mod response_body;
mod restored_list;
mod send_guard;
mod serve;
mod shared_stream;
#[doc(hidden)] // for the measurements in `tests/list_memory.rs`
pub mod start_times;
mod state_store;
mod stream;
mod streamed_body;
mod subsetting;
mod tasks;
#[doc(hidden)]
pub mod update_queue;
mod upstreams;

pub use admin::OperatorAccess;
pub use config::{Config, ConfigError};
pub use engine::EngineError;
pub use serve::{Resources, ServeError, serve};
pub use state_store::{StateSaver, StoredState};
