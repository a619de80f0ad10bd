//! Data structures that keep an order while it changes, so that nothing has to be scanned for the
//! first item.
//!
//! [`tournament`] gives the least of many keys, [`timers`] what is due, [`waiting`] the first item
//! of many queues with one order of arrival, [`ring`] a sorted list in parts, [`total`] an exact
//! sum. They know nothing of load balancing.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod ring;
pub mod timers;
pub mod total;
pub mod tournament;
pub mod waiting;
