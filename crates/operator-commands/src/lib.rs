//! What operators have said of a balancer: which upstreams are out by their hand, whether clients are sent away, and
//! which process serves. [`said`] and [`call`] are plain data; [`store`] keeps it where the next process finds it.
#![forbid(unsafe_code)]

pub mod call;
pub mod said;
pub mod store;

pub use call::{Call, CallError};
pub use said::{Copied, Said, Words};
pub use store::{Started, Store, StoreError};
