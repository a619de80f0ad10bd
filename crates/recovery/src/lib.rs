//! A start as a machine: time and what lies there in, what to go on from out. No clock, no file.
//!
//! It holds, each with the test under `tests/` that holds it to that:
//!
//! 1. Nothing is believed beyond the age that [`belief`] says, whatever else is so (`trust`).
//! 2. [`MANY`] starts within [`WINDOW`] that neither ended in order nor served for [`SETTLED`] are a crash loop: the next
//!    one goes on from nothing stored, and after [`TOO_MANY`] it does without all that is not the platform's (`crash_loops`).
//! 3. One kill, also of a whole bank at once, is no crash loop (`crash_loops`).
//! 4. A crash loop is left by itself: a start that served for [`SETTLED`] wipes the slate, and so does [`WINDOW`] without
//!    any crash (`crash_loops`).
//! 5. Clocks that step back or ahead between two starts make no loop and hide none for longer than [`WINDOW`] (`crash_loops`).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod start_history;
mod trust;

pub use start_history::{MANY, REMEMBERED, SETTLED, Starts, TOO_MANY, WINDOW, Way};
pub use trust::{Belief, What, belief, oldest};
