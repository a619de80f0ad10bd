//! Commands of operators to one balancer: how a call is read, which commands apply (cordons and quiescing), and how that
//! outlives a process. Carrying the commands out is left to the balancer.
//!
//! [`call`] and [`state`] are plain data; [`store`] shares the state between the processes of a balancer.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod call;
pub mod state;
pub mod store;

pub use call::{Call, CallError};
pub use state::{OperatorState, OperatorStateCopy, RecoveredCopy};
pub use store::{ProcessRegistration, Store, StoreError};
