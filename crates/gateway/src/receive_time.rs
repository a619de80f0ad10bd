//! Determines when the kernel received a client's bytes. The time of a request counts from its last byte (PROTOCOL,
//! 'Figures'), which may wait in the listener's backlog, in the socket while this process does not run, or behind an open
//! request on its connection.

use std::cell::Cell;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::BytesMut;
use hollowpaddle_net::Stream;
use tokio::io::ReadBuf;
use tokio::time::Instant;

/// Waits up to this long count as none, since the kernel counts them in ticks of up to 10 ms.
const KERNEL_CLOCK_RESOLUTION: Duration = Duration::from_millis(10);

/// What is known of a connection when it is accepted.
pub struct AcceptedConnection {
    /// Since when the client may have been silent: the establishment of the connection, or the accept if bytes have arrived.
    pub silent_since: Instant,
    /// When the bytes in the socket were received, if there are any.
    bytes_received_at: Option<Instant>,
}

impl AcceptedConnection {
    /// Examines a connection that was just accepted, after a wait of at most `max_wait` in the backlog. `max_wait` counts as
    /// the wait where the kernel does not tell it, so that no request gets more time than it has left.
    pub fn examine(stream: &dyn Stream, max_wait: Duration) -> Self {
        let now = Instant::now();
        let connected_at = received_at(stream, now, before(now, max_wait));
        if connected_at == now {
            return Self { silent_since: now, bytes_received_at: None };
        }
        tracing::debug!(waited_ms = (now - connected_at).as_millis() as u64, "backlog wait");
        if stream.is_quiet() {
            return Self { silent_since: connected_at, bytes_received_at: None };
        }
        Self { silent_since: now, bytes_received_at: Some(connected_at) }
    }
}

/// Determines when the bytes read from one connection were received.
pub struct ReceiveClock {
    /// When the bytes of the first read were received, if they had arrived before the accept.
    first_received_at: Cell<Option<Instant>>,
}

impl ReceiveClock {
    /// Creates the clock of a connection that was just accepted.
    pub fn new(accepted: &AcceptedConnection) -> Self {
        Self { first_received_at: Cell::new(accepted.bytes_received_at) }
    }

    /// Returns when the bytes that were just read from `stream` were received.
    pub fn received_at(&self, stream: &dyn Stream) -> Instant {
        let now = Instant::now();
        let first_received_at = self.first_received_at.take();
        received_at(stream, now, first_received_at.unwrap_or(now))
    }
}

/// The times of a request's head.
#[derive(Clone, Copy)]
pub struct HeadTime {
    /// When the last byte of the head was received.
    received_at: Instant,
    /// When the head was passed on by the HTTP library, which reads on before the request is answered.
    parsed_at: Instant,
}

impl HeadTime {
    /// Creates the times of a head that was just parsed, and whose last byte was received at `received_at`.
    pub fn new(received_at: Instant) -> Self {
        Self { received_at, parsed_at: Instant::now() }
    }

    /// Returns how long the head waited until it was parsed.
    pub fn wait(self) -> Duration {
        self.parsed_at.saturating_duration_since(self.received_at)
    }

    /// Returns when the last byte of the request was received, if the bytes that were read last were received at
    /// `last_received_at`.
    ///
    /// Bytes that were received after the head was parsed belong to the body. Other bytes may belong to the next request of
    /// a client that sends several at once, so the request's time then counts from its head.
    pub fn end_of_request(self, has_no_body: bool, last_received_at: Instant) -> Instant {
        if has_no_body || last_received_at <= self.parsed_at {
            return self.received_at;
        }
        last_received_at
    }
}

/// Bytes in the order of their arrival, with the time at which each part was received.
#[derive(Default)]
pub struct TimedBytes {
    bytes: BytesMut,
    parts: VecDeque<Part>,
}

/// A number of bytes that count as received together.
struct Part {
    received_at: Instant,
    length: usize,
}

impl TimedBytes {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Appends `bytes`, which were received at `received_at`. Within a tick of the kernel's clock they count as received with
    /// the bytes before them, so that a client that sends single bytes does not use much memory.
    pub fn push(&mut self, bytes: &[u8], received_at: Instant) {
        self.bytes.extend_from_slice(bytes);
        let is_same_tick = |part: &&mut Part| {
            received_at.saturating_duration_since(part.received_at) <= KERNEL_CLOCK_RESOLUTION
        };
        match self.parts.back_mut().filter(is_same_tick) {
            Some(part) => part.length += bytes.len(),
            None => self.parts.push_back(Part { received_at, length: bytes.len() }),
        }
    }

    /// Moves bytes of the first part into `buf`, as many as fit. Returns when they were received; `None` if there are none.
    pub fn take_into(&mut self, buf: &mut ReadBuf<'_>) -> Option<Instant> {
        let part = self.parts.front_mut()?;
        let received_at = part.received_at;
        let count = part.length.min(buf.remaining());
        part.length -= count;
        if part.length == 0 {
            self.parts.pop_front();
        }
        buf.put_slice(&self.bytes.split_to(count));
        Some(received_at)
    }
}

/// Returns when the last bytes of `stream` were received, or `otherwise` if the kernel does not tell.
fn received_at(stream: &dyn Stream, now: Instant, otherwise: Instant) -> Instant {
    let received_at = stream.since_last_bytes().map_or(otherwise, |wait| before(now, wait));
    if now - received_at <= KERNEL_CLOCK_RESOLUTION { now } else { received_at }
}

fn before(now: Instant, wait: Duration) -> Instant {
    now.checked_sub(wait).unwrap_or(now)
}

#[cfg(test)]
mod tests;
