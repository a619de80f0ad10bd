//! The node as a process on loopback sockets, by subject. Each test guards against a failure that the code
//! it covers names.

mod bad_clients;
mod bodies;
mod client_memory;
mod deadlines;
mod forms;
mod full_table;
mod leaving;
mod operators;
mod reload;
mod replaced;
mod serving;
mod spoilt;
mod stopping;
mod system_calls;
mod watches;

use hollowpaddle_rehearsal::scripted::Node;
use hollowpaddle_syscall_faults::Shim;
use serde_json::Value;

const NODE: &str = env!("CARGO_BIN_EXE_hollowpaddle");

/// The daemon with this configuration.
fn start(config: &Value) -> Node {
    Node::start(std::process::Command::new(NODE), config)
}

/// The daemon with this configuration, whose system calls fail as the shim is told.
fn start_with(shim: &Shim, config: &Value) -> Node {
    let mut command = std::process::Command::new(NODE);
    shim.load_into(&mut command);
    Node::start(command, config)
}
