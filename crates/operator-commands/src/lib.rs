//! Operator commands to one balancer: parses the calls, and stores the commands that apply (cordons and quiescing) beyond the
//! end of a process. The balancer carries the commands out.
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
