//! Tests attempts of a complete balancer at one upstream on a simulated network: the time between the decision to send and
//! the first byte, and between the first byte and the end of the response.

mod connecting;
mod harness;
mod list_changes;
mod responses;
mod retry_window;
