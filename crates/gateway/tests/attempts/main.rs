//! Attempts at an upstream by a whole balancer on a simulated network: what comes between the module's word to send
//! and the first byte, and between the first byte and the last of an answer.

mod answers;
mod connects;
mod listed;
mod rig;
mod window;
