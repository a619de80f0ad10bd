//! Attempts at upstreams and the connections for them. Whether and where an attempt is made is left to the engine.
//!
//! | module | job |
//! | --- | --- |
//! | `pool` | keeps idle connections, and closes those of no more use |
//! | `connection` | one connection, and whether it can be used again |
//! | `connect` | takes an idle connection or opens one, within the limit on descriptors |
//! | `exchange` | sends one request and tells how the attempt ended |
//! | `spares` | which upstreams get a spare connection |
//! | `send_progress` | how much of a request was handed to the kernel |
//! | `response` | receives the response |
//! | `unsolicited` | counts bytes that upstreams send out of turn |
//! | `load_report` | reads the load report in a response's headers |

mod connect;
mod connection;
mod exchange;
mod load_report;
mod pool;
mod response;
mod send_progress;
mod spares;
mod unsolicited;

pub use pool::Pool;
pub use unsolicited::UnsolicitedBytes;
