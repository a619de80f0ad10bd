//! A stand-in discovery: one endpoint list, whole or as a watch (PROTOCOL, "Discovery").

use std::io::{BufReader, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::read_message;
use crate::record::Record;

/// The time between two heartbeats of a watch.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// How often a watch looks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What happens to a call before its answer begins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CallMode {
    /// Each call is answered at once.
    #[default]
    Prompt,
    /// There are so many callers that each call waits for this time, and is then answered 503.
    Crowded(Duration),
}

#[derive(Default)]
struct State {
    version: u64,
    /// The entries, each with its upstream's name and the version that last changed it.
    entries: Vec<(String, String, u64)>,
    mode: CallMode,
    calls: u64,
}

/// A running discovery.
#[derive(Clone)]
pub struct Discovery {
    /// The listening address.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Discovery {
    /// Starts a discovery on a free port, with an empty list of version 40.
    pub fn start(record: &Record) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = Arc::new(Mutex::new(State { version: 40, ..State::default() }));
        let discovery = Self { address: listener.local_addr()?, state, record: record.clone() };
        let server = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || {
                    let _ = server.serve(stream);
                });
            }
        });
        Ok(discovery)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the state")
    }

    /// Sets the entry of an upstream, and tells it to all watches.
    pub fn set(&self, name: &str, entry: String) {
        let mut state = self.state();
        state.version += 1;
        let version = state.version;
        self.record.line(format!("discovery: version {version} {entry}"));
        state.entries.retain(|(known, _, _)| known != name);
        state.entries.push((name.to_string(), entry, version));
    }

    /// Sets how calls are treated from now on.
    pub fn set_mode(&self, mode: CallMode) {
        self.record.line(format!("discovery: calls are {mode:?}"));
        self.state().mode = mode;
    }

    /// Returns the whole list.
    pub fn whole_list(&self) -> String {
        list_text(&self.state(), 0, true)
    }

    fn serve(&self, mut stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let call = read_message(&mut BufReader::new(stream.try_clone()?))?;
        let (mode, number) = {
            let mut state = self.state();
            state.calls += 1;
            (state.mode, state.calls)
        };
        self.record.line(format!("discovery: call {number} {} {mode:?}", call.first));
        match mode {
            CallMode::Prompt => {}
            CallMode::Crowded(wait) => {
                thread::sleep(wait);
                let refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                self.record.line(format!("discovery: call {number} answered 503"));
                return stream.write_all(refusal.as_bytes());
            }
        }
        let sent = if call.first.contains("stream=1") {
            self.watch(&mut stream, number, after_version(&call.first))
        } else {
            let list = self.whole_list();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            stream.write_all((head + &list).as_bytes())
        };
        self.record.line(format!("discovery: call {number} over"));
        sent
    }

    /// Serves a watch until it is ended or its connection breaks.
    fn watch(&self, stream: &mut TcpStream, number: u64, after: u64) -> Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut told = None;
        let mut last_write = Instant::now();
        loop {
            let (list, version) = {
                let state = self.state();
                let since = told.unwrap_or(after);
                let is_due = told.is_none() || state.version > since;
                let list = is_due.then(|| list_text(&state, since, false));
                (list, state.version)
            };
            let is_heartbeat_due = last_write.elapsed() >= HEARTBEAT;
            if let Some(list) = list {
                self.record.line(format!("discovery: watch {number} is told {list}"));
                write_chunk(stream, &(list + "\n"))?;
                (told, last_write) = (Some(version), Instant::now());
            } else if is_heartbeat_due {
                write_chunk(stream, "\n")?;
                last_write = Instant::now();
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

/// Returns the version in the target of a call; 0 if there is none.
fn after_version(request_line: &str) -> u64 {
    let Some((_, rest)) = request_line.split_once("index=") else { return 0 };
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

/// Returns the entries that have changed after version `since`, as a line of a watch.
fn list_text(state: &State, since: u64, complete: bool) -> String {
    let changed = state.entries.iter().filter(|(_, _, version)| *version > since);
    let entries: Vec<&str> = changed.map(|(_, entry, _)| entry.as_str()).collect();
    format!(
        r#"{{"revision":{},"complete":{complete},"members":[{}]}}"#,
        state.version,
        entries.join(",")
    )
}
