//! The oracle: the former decision module, which scanned all upstreams for every decision.
#![allow(dead_code, clippy::too_many_lines)]

pub mod policy;
mod state;
