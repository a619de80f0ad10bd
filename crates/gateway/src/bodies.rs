//! Memory budgets for the bodies of requests and responses, and the buffering of a client's body within its budget. The
//! module `streamed_body` forwards bodies while they are received.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::{Instant, timeout_at};

/// The least growth of a body whose length is not announced, in bytes.
const MIN_BODY_GROWTH: usize = 4 << 10;

/// The memory that all bodies of one kind may use in total.
///
/// The counter is atomic because `Bytes::from_owner` requires a `Send` owner; all uses are on one thread.
#[derive(Clone)]
pub struct MemoryBudget {
    used: Arc<AtomicUsize>,
    capacity: usize,
}

/// A part of a [`MemoryBudget`], released when it is dropped.
pub struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryBudget {
    /// Creates a budget of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        Self { used: Arc::default(), capacity }
    }

    /// Reserves `bytes` bytes, if they are available.
    pub fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let mut reservation = MemoryReservation { budget: self.clone(), bytes: 0 };
        reservation.grow_to(bytes).then_some(reservation)
    }
}

impl MemoryReservation {
    /// Grows the reservation to `bytes` bytes in total. Returns whether they were available; if not, the reservation stays
    /// unchanged.
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

/// The reason why a client's body was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body ends early or can't be parsed.
    Malformed,
    /// The body exceeds the size limit.
    TooLarge,
    /// The client sends the body below the minimum rate.
    TooSlow,
    /// The memory budget is used up.
    OutOfMemory,
}

/// The size limit and the minimum rate of a client's body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// The largest body, in bytes.
    pub max_bytes: usize,
    /// The time that a body of any size may take.
    pub base_timeout: Duration,
    /// The additional time that a body may take for each byte received.
    pub timeout_per_byte: Duration,
}

impl BodyLimits {
    /// Returns how long a client may take for `bytes` bytes.
    pub fn timeout_for(&self, bytes: usize) -> Duration {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.base_timeout + self.timeout_per_byte.saturating_mul(bytes)
    }
}

/// A client's body, or the beginning of a long one.
#[derive(Debug)]
pub enum ReceivedBody<B> {
    /// The complete body.
    Complete(Bytes),
    /// The beginning of a body that is too long to be buffered.
    Long {
        /// The bytes received so far.
        first: Bytes,
        /// The body that is still to be received.
        rest: B,
        /// The length of the body in bytes, if known.
        length: Option<u64>,
    },
}

/// A body that is being received. The reservation covers the allocated capacity, and not only the bytes received.
pub struct GrowingBody {
    bytes: Vec<u8>,
    reservation: MemoryReservation,
}

impl GrowingBody {
    /// Creates an empty body with room for `capacity` bytes, if `budget` has the memory.
    pub fn with_capacity(capacity: usize, budget: &MemoryBudget) -> Option<Self> {
        let reservation = budget.reserve(capacity)?;
        Some(Self { bytes: Vec::with_capacity(capacity), reservation })
    }

    /// Returns the number of bytes received.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Appends bytes. Returns whether there was memory for them.
    pub fn append(&mut self, data: &[u8]) -> bool {
        let length = self.bytes.len() + data.len();
        if length > self.bytes.capacity() && !self.grow(length) {
            return false;
        }
        self.bytes.extend_from_slice(data);
        true
    }

    /// Allocates a capacity of `length` bytes, and some more if the budget has it. Returns whether there was memory.
    fn grow(&mut self, length: usize) -> bool {
        let capacity = self.bytes.capacity();
        let preferred = length.max(capacity + capacity / 4 + MIN_BODY_GROWTH);
        let available =
            [preferred, length].into_iter().find(|size| self.reservation.grow_to(*size));
        let Some(size) = available else { return false };
        self.bytes.reserve_exact(size - self.bytes.len());
        true
    }

    /// Converts the body and its reservation to shared bytes, which hold the reservation until the last copy is dropped, even
    /// by a slow reader.
    pub fn share(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for GrowingBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Receives a client's body to its end, or until more than `max_buffered` bytes were received. Nothing is received of a body
/// with a longer announced length.
///
/// # Errors
/// Fails if the body is malformed, too large or too slow, or if `budget` has no memory left for it.
pub async fn receive_body<B>(
    mut body: B,
    limits: BodyLimits,
    max_buffered: usize,
    budget: &MemoryBudget,
) -> Result<ReceivedBody<B>, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let started_at = Instant::now();
    let length = body.size_hint().exact();
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > limits.max_bytes {
        return Err(BodyError::TooLarge);
    }
    if announced > max_buffered {
        return Ok(ReceivedBody::Long { first: Bytes::new(), rest: body, length });
    }
    let mut received =
        GrowingBody::with_capacity(announced, budget).ok_or(BodyError::OutOfMemory)?;
    loop {
        let deadline = started_at + limits.timeout_for(received.len());
        let frame = timeout_at(deadline, body.frame()).await.map_err(|_| BodyError::TooSlow)?;
        let Some(frame) = frame else {
            return Ok(ReceivedBody::Complete(received.share()));
        };
        let Ok(data) = frame.map_err(|_| BodyError::Malformed)?.into_data() else { continue };
        let size = received.len() + data.len();
        if size > limits.max_bytes {
            return Err(BodyError::TooLarge);
        }
        if !received.append(&data) {
            return Err(BodyError::OutOfMemory);
        }
        if size > max_buffered {
            return Ok(ReceivedBody::Long { first: received.share(), rest: body, length });
        }
    }
}

#[cfg(test)]
pub mod slow_body;
#[cfg(test)]
mod tests;
