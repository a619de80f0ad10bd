//! An upstream that serves each request after a fixed time, and records what it was sent.

use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_message, response};
use crate::record::Record;

/// A request that an upstream has received to its last byte.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Name of the upstream.
    pub upstream: String,
    /// `X-Request-Id`.
    pub id: String,
    /// When the last byte came.
    pub at: Instant,
    /// `X-Deadline-Ms`, the time that the balancer says it will wait.
    pub told: Duration,
}

/// What all upstreams of a run have received.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// One upstream.
#[derive(Clone)]
pub struct Upstream {
    /// Name in the list of discovery.
    pub name: String,
    /// Address in the list of discovery.
    pub address: SocketAddr,
    has_ended: Arc<AtomicBool>,
}

/// The state that the connections of one upstream share.
#[derive(Clone)]
struct Service {
    name: String,
    time: Duration,
    arrivals: Arrivals,
    has_ended: Arc<AtomicBool>,
    record: Record,
}

impl Upstream {
    /// Starts an upstream that answers `200` after `time`.
    pub fn start(
        name: &str,
        time: Duration,
        arrivals: &Arrivals,
        record: &Record,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let has_ended = Arc::<AtomicBool>::default();
        let service = Service {
            name: name.to_string(),
            time,
            arrivals: arrivals.clone(),
            has_ended: has_ended.clone(),
            record: record.clone(),
        };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = service.clone();
                thread::spawn(move || service.serve(stream));
            }
        });
        Ok(Self { name: name.to_string(), address, has_ended })
    }

    /// Ends the upstream: from now on each connection is closed, and no request is answered.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
    }
}

impl Service {
    /// Serves one connection to its end.
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            let id = request.header("x-request-id").to_string();
            let told_ms = request.header("x-deadline-ms").parse().unwrap_or(0);
            self.record.note(format!("upstream {} received {id}, told {told_ms} ms", self.name));
            let told = Duration::from_millis(told_ms);
            let arrival =
                Arrival { upstream: self.name.clone(), id: id.clone(), at: Instant::now(), told };
            if let Ok(mut arrivals) = self.arrivals.lock() {
                arrivals.push(arrival);
            }
            thread::sleep(self.time);
            if self.has_ended.load(Ordering::Relaxed) {
                self.record.note(format!("upstream {} ended and did not finish {id}", self.name));
                return Ok(());
            }
            let body = format!("{} for {id}", self.name);
            writer.write_all(response("200 OK", &body).as_bytes())?;
            self.record.note(format!("upstream {} ran {id}", self.name));
        }
        Ok(())
    }
}
