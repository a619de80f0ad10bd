//! What a restarted balancer may rely on: how far restored state is trusted at its age, and whether its starts are a crash
//! loop. Pure state machines: the caller gives the time and reads and writes the files.
//!
//! Guarantees, each with the test under `tests/` that holds the package to it:
//!
//! 1. Nothing is trusted beyond the age at which [`trust`] ends (`trust`).
//! 2. [`CRASH_LOOP_STARTS`] starts within [`CRASH_WINDOW`] that neither ended in order nor served for [`SETTLED_AFTER`] are
//!    a crash loop: the next start uses no snapshot, and from [`MINIMAL_MODE_STARTS`] on it does without everything that
//!    the platform does not require (`crash_loops`).
//! 3. One kill, even of all balancers at once, is no crash loop (`crash_loops`).
//! 4. A crash loop ends by itself: by a start that serves for [`SETTLED_AFTER`], or by [`CRASH_WINDOW`] without a crash
//!    (`crash_loops`).
//! 5. A clock that steps between two starts neither makes a crash loop nor hides one for longer than [`CRASH_WINDOW`]
//!    (`crash_loops`).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod start_history;
mod trust;

pub use start_history::{
    CRASH_LOOP_STARTS, CRASH_WINDOW, MAX_RECORDED_STARTS, MINIMAL_MODE_STARTS, SETTLED_AFTER,
    StartHistory, StartMode,
};
pub use trust::{RestoredState, Trust, max_age, trust};
