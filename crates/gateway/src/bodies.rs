//! Memory for the bodies of requests and answers, and the reading of a whole answer within it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

/// What bodies of one side may take together. Atomic since `Bytes` asks for it; there is one thread.
#[derive(Clone)]
pub struct Allowance {
    taken: Arc<AtomicUsize>,
    most: usize,
}

/// A part of it, for as long as it is held.
pub struct Room {
    of: Allowance,
    bytes: usize,
}

impl Allowance {
    pub fn new(most: usize) -> Self {
        Self { taken: Arc::default(), most }
    }

    pub fn room(&self, bytes: usize) -> Option<Room> {
        let mut room = Room { of: self.clone(), bytes: 0 };
        room.reach(bytes).then_some(room)
    }
}

impl Room {
    /// Grows to so many bytes, if there are as many left.
    fn reach(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let taken = self.of.taken.load(Relaxed);
        let fits = more <= self.of.most.saturating_sub(taken);
        if fits {
            self.of.taken.store(taken + more, Relaxed);
            self.bytes += more;
        }
        fits
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.of.taken.fetch_sub(self.bytes, Relaxed);
    }
}

/// A body that is counted until its last copy is dropped, a slow reader's too.
struct Counted {
    body: Vec<u8>,
    _room: Room,
}

impl AsRef<[u8]> for Counted {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Reads a body to its end; `None` if it is cut short, larger than `largest` or than there is room for. What
/// announces too much is not read at all.
pub async fn whole<B>(mut body: B, largest: usize, allowance: &Allowance) -> Option<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced = usize::try_from(body.size_hint().lower()).ok().filter(|n| *n <= largest)?;
    let mut room = allowance.room(announced)?;
    let mut read = Vec::with_capacity(announced);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        if read.len() + data.len() > largest || !room.reach(read.len() + data.len()) {
            return None;
        }
        read.extend_from_slice(&data);
    }
    Some(Bytes::from_owner(Counted { body: read, _room: room }))
}

#[cfg(test)]
mod tests {
    use super::*;
    use http_body_util::Full;

    #[tokio::test]
    async fn a_body_takes_room_until_its_last_copy_is_gone() {
        let allowance = Allowance::new(10);
        let body = || Full::new(Bytes::from_static(b"123456"));
        let first = whole(body(), 6, &allowance).await.expect("there is room");
        assert_eq!(first, "123456");
        assert!(whole(body(), 6, &allowance).await.is_none(), "there is none");
        let part = first.slice(2..3);
        drop(first);
        assert!(whole(body(), 6, &allowance).await.is_none(), "a copy is left");
        drop(part);
        assert!(whole(body(), 5, &allowance).await.is_none(), "too large");
        assert!(whole(body(), 6, &allowance).await.is_some());
        assert_eq!(allowance.taken.load(Relaxed), 0);
    }
}
