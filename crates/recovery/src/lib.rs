//! A start as a machine: time and what lies there in, what to go on from out. No clock, no file.
//!
//! It holds, each with the test under `tests/` that holds it to that:
//!
//! 1. Nothing is believed beyond the age that [`belief`] says, whatever else is so (`beliefs`).
//! 2. [`MANY`] starts within [`WINDOW`] that neither ended in order nor served for [`SETTLED`] are a crash loop: the next
//!    one goes on from nothing stored, and after [`TOO_MANY`] it does without all that is not the platform's (`loops`).
//! 3. One kill, also of a whole bank at once, is no crash loop (`loops`).
//! 4. A crash loop is left by itself: a start that served for [`SETTLED`] wipes the slate, and so does [`WINDOW`] without
//!    any crash (`loops`).
//! 5. Clocks that step back or ahead between two starts make no loop and hide none for longer than [`WINDOW`] (`loops`).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod beliefs;
mod starts;

pub use beliefs::{Belief, What, belief, oldest};
pub use starts::{MANY, REMEMBERED, SETTLED, Starts, TOO_MANY, WINDOW, Way};
