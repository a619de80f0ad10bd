//! Sends attempts to upstreams and manages their connections. The engine decides whether and where an attempt is made.
//!
//! | module | job |
//! | --- | --- |
//! | `pool` | holds idle connections, and closes those that can't be used any more |
//! | `connection` | represents one connection, and checks whether it can be reused |
//! | `connect` | takes an idle connection or opens a new one, within the limit on descriptors |
//! | `exchange` | sends one request and determines the outcome of the attempt |
//! | `spares` | decides which upstreams get a spare connection |
//! | `send_progress` | tracks how much of a request was handed to the kernel |
//! | `response` | receives the response |
//! | `unsolicited` | counts connections on which upstreams send bytes without a request |
//! | `load_report` | parses the load report in a response's headers |

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
