//! The cases. Each plays one disruption before a balancer, and judges what clients and upstreams have seen.

pub mod backlog;
pub mod crowded_discovery;
pub mod foreign_id;
pub mod full_table;
pub mod second_answer;

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::discovery::Discovery;
use crate::record::Record;
use crate::settings::{entry, list};
use crate::upstream::{Arrival, Arrivals, Upstream};

/// Each time limit is so much longer on sockets (PROTOCOL, "The rules on sockets").
const SOCKET_SLACK: Duration = Duration::from_millis(50);

/// The upstreams of a run, and the discovery that names them.
struct Fleet {
    upstreams: Vec<Upstream>,
    discovery: Discovery,
    arrivals: Arrivals,
    /// The list that the platform gives the balancer at its start.
    known: String,
}

impl Fleet {
    /// Starts `count` upstreams that serve each request in `service_time`.
    fn start(count: usize, service_time: Duration, record: &Record) -> io::Result<Self> {
        let arrivals = Arrivals::default();
        let start =
            |number| Upstream::start(&format!("s-{number}"), service_time, &arrivals, record);
        let upstreams = (0..count).map(start).collect::<io::Result<Vec<_>>>()?;
        let entries: Vec<String> = upstreams.iter().map(|u| entry(u, "SERVING")).collect();
        let discovery = Discovery::start(list(42, true, &entries), record)?;
        Ok(Self { upstreams, discovery, known: list(41, true, &entries), arrivals })
    }

    /// Returns all requests that upstreams have received so far.
    fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().map(|arrivals| arrivals.clone()).unwrap_or_default()
    }
}

/// Concludes a run in which `breaks` breaks of the rule were found.
fn verdict(breaks: usize, record: &Record) -> Verdict {
    if breaks > 0 {
        record.conclude(format!("BROKEN: {breaks} breaks of the rule"));
        Verdict::Broken
    } else {
        record.conclude("HELD: no break of the rule");
        Verdict::Held
    }
}

/// Connects clients that send nothing, and close once the balancer has closed.
fn connect_silent_clients(balancer: SocketAddr, count: usize) -> io::Result<()> {
    for _ in 0..count {
        let mut stream = TcpStream::connect(balancer)?;
        thread::spawn(move || {
            let _ = io::copy(&mut stream, &mut io::sink());
        });
    }
    Ok(())
}

/// Whether a read ended because nothing came in time.
fn is_timeout(cause: &io::Error) -> bool {
    matches!(cause.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
