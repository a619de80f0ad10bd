//! Waits until the daemon says that it is ready to serve.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::MeasureError;
use super::process::Daemon;

/// How often the daemon is asked. It bounds the error of the time that is measured.
const ASK_EVERY: Duration = Duration::from_millis(5);
/// Longest wait for one answer: a daemon that is busy with a long list answers late.
const ANSWER_WITHIN: Duration = Duration::from_secs(2);

const REQUEST: &[u8] = b"GET /-/ready HTTP/1.1\r\nHost: measure\r\nConnection: close\r\n\r\n";
const READY: &[u8] = b"HTTP/1.1 200";

/// The time from the daemon's start until it said that it is ready; `None` if that takes longer than `within`.
pub(super) fn wait(
    daemon: &mut Daemon,
    address: SocketAddr,
    within: Duration,
) -> Result<Option<Duration>, MeasureError> {
    while daemon.age() < within {
        if is_ready(address) {
            return Ok(Some(daemon.age()));
        }
        daemon.check_runs()?;
        std::thread::sleep(ASK_EVERY);
    }
    Ok(None)
}

/// Whether the daemon answers with 200. No connection and no answer mean that it is not ready yet.
fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, ANSWER_WITHIN)?;
        stream.set_read_timeout(Some(ANSWER_WITHIN))?;
        stream.write_all(REQUEST)?;
        let mut start = [0; READY.len()];
        stream.read_exact(&mut start)?;
        Ok(start == *READY)
    };
    ask().unwrap_or(false)
}
