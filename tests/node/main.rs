//! The node as a process on loopback sockets, by subject. Each test guards against a failure that the code
//! it covers names.

mod bad_clients;
mod reload;
mod serving;
mod spoilt;
mod stubs;
