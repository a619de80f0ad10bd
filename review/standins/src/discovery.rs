//! Discovery: answers each call for a watch with the complete list and, every 2 s, an empty line. While it is crowded, each
//! call waits in its queue.

use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_message, response};
use crate::record::Record;

/// While nothing changes, an empty line comes this often (PROTOCOL, "Discovery").
const HEARTBEAT: Duration = Duration::from_secs(2);
/// How often a watch looks for a change.
const WATCH_POLL: Duration = Duration::from_millis(20);

/// The queue of a discovery that has more callers than it can serve.
///
/// The queue is in order of arrival. Calls of other balancers arrive `arrival_gap` after one another, a call that has waited
/// for `patience` fails with `503`, and one call is served in each `service_time`: the one that has waited longest.
#[derive(Clone, Copy)]
pub struct Crowd {
    /// When the other callers come.
    pub from: Instant,
    /// When the other callers have gone.
    pub until: Instant,
    /// The time between two calls of other balancers.
    pub arrival_gap: Duration,
    /// How long a call waits.
    pub patience: Duration,
    /// How long discovery works on one call.
    pub service_time: Duration,
}

impl Crowd {
    /// Returns when a call that arrives at `at` is served; `None` if it fails before.
    fn served_at(&self, at: Instant) -> Option<Instant> {
        let service_us = self.service_time.as_micros();
        let expires_us = (at + self.patience).duration_since(self.from).as_micros();
        // The last call that is served before this one expires.
        let turn_us = expires_us / service_us * service_us;
        let left = Duration::from_micros((expires_us - turn_us) as u64);
        // Calls that came earlier are ahead, unless they have expired by then.
        (left < self.arrival_gap).then(|| at + self.patience - left)
    }
}

struct State {
    list: String,
    version: u64,
    crowd: Option<Crowd>,
}

/// A discovery service.
#[derive(Clone)]
pub struct Discovery {
    /// Where balancers call.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Discovery {
    /// Starts a service with this complete list.
    pub fn start(list: String, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State { list, version: 0, crowd: None }));
        let service = Self { address, state, record: record.clone() };
        let accepting = service.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = accepting.clone();
                thread::spawn(move || service.serve(stream));
            }
        });
        Ok(service)
    }

    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
    }

    /// Replaces the complete list.
    pub fn set_list(&self, list: String) {
        self.with(|state| {
            state.list = list;
            state.version += 1;
        });
    }

    /// Crowds the service.
    pub fn set_crowd(&self, crowd: Crowd) {
        self.with(|state| state.crowd = Some(crowd));
    }

    fn current_crowd(&self) -> Option<Crowd> {
        let now = Instant::now();
        self.with(|state| state.crowd.filter(|crowd| crowd.from <= now && now < crowd.until))
    }

    /// Answers one call.
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let Some(call) = read_message(&mut BufReader::new(stream))? else { return Ok(()) };
        let called_at = Instant::now();
        self.record.note(format!("discovery was called: {}", call.first_line));
        if let Some(crowd) = self.current_crowd() {
            let served_at = crowd.served_at(called_at);
            let answered_at = served_at.unwrap_or(called_at + crowd.patience);
            thread::sleep(answered_at.saturating_duration_since(Instant::now()));
            if served_at.is_none() {
                self.record.note("discovery failed the call with 503, which had waited too long");
                return writer.write_all(response("503 Service Unavailable", "").as_bytes());
            }
        }
        self.watch(writer)
    }

    /// Writes the list, each later list, and heartbeats, until the watch ends.
    fn watch(&self, mut writer: TcpStream) -> io::Result<()> {
        writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let (mut written, mut written_at) = (None, Instant::now());
        loop {
            let (list, version) = self.with(|state| (state.list.clone(), state.version));
            if written != Some(version) {
                write_chunk(&mut writer, &(list + "\n"))?;
                self.record.note(format!("discovery told list number {version}"));
                (written, written_at) = (Some(version), Instant::now());
            } else if written_at.elapsed() >= HEARTBEAT {
                write_chunk(&mut writer, "\n")?;
                written_at = Instant::now();
            }
            thread::sleep(WATCH_POLL);
        }
    }
}

fn write_chunk(writer: &mut TcpStream, text: &str) -> io::Result<()> {
    writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}
