//! Data structures that keep an order while it changes, so that nothing has to be scanned for the first of it.
//!
//! [`tournament`] knows the least of many keys, [`timers`] what is due, [`waiting`] who came first in each of many
//! lanes, [`ring`] the place of each among its like, [`total`] a sum that forgets nothing and gathers no error.
//! They know nothing of balancing, and decide nothing.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod ring;
pub mod timers;
pub mod total;
pub mod tournament;
pub mod waiting;
