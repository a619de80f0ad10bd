//! Data structures that maintain an order while items change, so that the first item is found
//! without a scan.
//!
//! [`tournament`] finds the least of many keys, [`timers`] the timers that are due, and
//! [`sub_queues`] the first item of many queues with a common order of arrival. [`ring`] is a sorted
//! list in parts, and [`total`] an exact sum. None of them depends on load balancing.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod ring;
pub mod sub_queues;
pub mod timers;
pub mod total;
pub mod tournament;
