//! What operators have said of a balancer: which upstreams are out by their hand, whether clients are sent away, and
//! which process serves. [`state`] and [`call`] are plain data; [`store`] keeps it where the next process finds it.
#![forbid(unsafe_code)]

pub mod call;
pub mod state;
pub mod store;

pub use call::{Call, CallError};
pub use state::{Copied, Said, Words};
pub use store::{Started, Store, StoreError};
