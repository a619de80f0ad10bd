//! Memory for the bodies of requests and responses, and the receiving of a client's body within it. Passing on a body that
//! is still being received is left to `streamed_body`.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::{Instant, timeout_at};

/// The memory that all bodies of one kind may take together.
///
/// It is atomic because `Bytes` requires so of its owner; there is one thread.
#[derive(Clone)]
pub struct MemoryBudget {
    used: Arc<AtomicUsize>,
    capacity: usize,
}

/// A part of a [`MemoryBudget`], given back when it is dropped.
pub struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryBudget {
    /// A budget of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        Self { used: Arc::default(), capacity }
    }

    /// Reserves so many bytes, if they are left.
    pub fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let mut reservation = MemoryReservation { budget: self.clone(), bytes: 0 };
        reservation.grow_to(bytes).then_some(reservation)
    }
}

impl MemoryReservation {
    /// Grows to so many bytes. Returns whether they were left; if not, the reservation stays as it is.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let additional = bytes.saturating_sub(self.bytes);
        let used = self.budget.used.load(Relaxed);
        let fits = additional <= self.budget.capacity.saturating_sub(used);
        if fits {
            self.budget.used.store(used + additional, Relaxed);
            self.bytes += additional;
        }
        fits
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Relaxed);
    }
}

/// A body that holds its reservation until its last copy is dropped, that of a slow reader too.
pub struct ReservedBytes {
    body: BytesMut,
    _reservation: MemoryReservation,
}

impl ReservedBytes {
    /// The body as shared bytes.
    pub fn share(body: BytesMut, reservation: MemoryReservation) -> Bytes {
        Bytes::from_owner(Self { body, _reservation: reservation })
    }
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Why a client's body was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It ends early or can't be read.
    Malformed,
    /// It is longer than a body may be.
    TooLarge,
    /// It comes more slowly than a client may send.
    TooSlow,
    /// There is no memory for it now.
    OutOfMemory,
}

/// How much a client may send, and how slowly.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// The largest body, in bytes.
    pub max_bytes: usize,
    /// The time that every body may take.
    pub base_time: Duration,
    /// The time that it may take in addition for each byte received.
    pub time_per_byte: Duration,
}

impl Pace {
    /// How long a client may take for so many bytes.
    pub fn time_allowed(&self, bytes: usize) -> Duration {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.base_time + self.time_per_byte.saturating_mul(bytes)
    }
}

/// What was received of a client's body.
#[derive(Debug)]
pub enum ReceivedBody<B> {
    /// All of it.
    Complete(Bytes),
    /// The beginning of one that is longer than what is buffered.
    Long {
        /// What was received.
        first: Bytes,
        /// What is still to come.
        rest: B,
        /// The length of the body in bytes, if it is known.
        length: Option<u64>,
    },
}

/// Receives a client's body to its end, or until it has more than `max_buffered` bytes. Nothing is received of a body that
/// announces more.
///
/// # Errors
/// The body is malformed, too large or too slow, or `budget` has no memory left for it.
pub async fn receive_body<B>(
    mut body: B,
    pace: Pace,
    max_buffered: usize,
    budget: &MemoryBudget,
) -> Result<ReceivedBody<B>, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let started_at = Instant::now();
    let length = body.size_hint().exact();
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > pace.max_bytes {
        return Err(BodyError::TooLarge);
    }
    if announced > max_buffered {
        return Ok(ReceivedBody::Long { first: Bytes::new(), rest: body, length });
    }
    let mut reservation = budget.reserve(announced).ok_or(BodyError::OutOfMemory)?;
    let mut received = BytesMut::with_capacity(announced);
    loop {
        let deadline = started_at + pace.time_allowed(received.len());
        let frame = timeout_at(deadline, body.frame()).await.map_err(|_| BodyError::TooSlow)?;
        let Some(frame) = frame else {
            return Ok(ReceivedBody::Complete(ReservedBytes::share(received, reservation)));
        };
        let Ok(data) = frame.map_err(|_| BodyError::Malformed)?.into_data() else { continue };
        let size = received.len() + data.len();
        if size > pace.max_bytes {
            return Err(BodyError::TooLarge);
        }
        if !reservation.grow_to(size) {
            return Err(BodyError::OutOfMemory);
        }
        received.extend_from_slice(&data);
        if size > max_buffered {
            let first = ReservedBytes::share(received, reservation);
            return Ok(ReceivedBody::Long { first, rest: body, length });
        }
    }
}

#[cfg(test)]
mod tests;
#[cfg(test)]
pub mod trickle;
