//! Recovery of a restarted balancer: how far restored state is trusted at its age, and whether the balancer's starts are a
//! crash loop. The state machines do no I/O: the caller passes the time, and reads and writes the files.
//!
//! The package guarantees the following. Each guarantee names the test under `tests/` that checks it:
//!
//! 1. No state is trusted beyond the maximum age of its kind ([`trust`]) (`trust`).
//! 2. [`CRASH_LOOP_STARTS`] starts within [`CRASH_WINDOW`] that neither ended in order nor served for [`SETTLED_AFTER`] are
//!    a crash loop, after which the next start uses no snapshot. After [`MINIMAL_MODE_STARTS`] such starts, the next start
//!    uses only the functions that the platform requires (`crash_loops`).
//! 3. One kill, even of all balancers at once, is no crash loop (`crash_loops`).
//! 4. A crash loop ends without an operator: with a start that serves for [`SETTLED_AFTER`], or after [`CRASH_WINDOW`]
//!    without a crash (`crash_loops`).
//! 5. A clock step between two starts neither causes a crash loop to be detected, nor hides one for longer than
//!    [`CRASH_WINDOW`] (`crash_loops`).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod start_history;
mod trust;

pub use start_history::{
    CRASH_LOOP_STARTS, CRASH_WINDOW, MAX_RECORDED_STARTS, MINIMAL_MODE_STARTS, SETTLED_AFTER,
    StartHistory, StartMode,
};
pub use trust::{RestoredState, Trust, max_age, trust};
