//! Simulated datagrams, in flight and queued at their receivers. A [`Route`] decides whether a datagram arrives, when, and
//! with which content.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use hollowpaddle_net::{Datagrams, MAX_DATAGRAM_BYTES, datagram_too_long};
use tokio::time::Instant;

use crate::{Inner, Timer};

/// Maximum number of datagrams in an inbox. Further datagrams are lost, as with a full kernel buffer.
const INBOX_CAPACITY: usize = 256;

/// A datagram with its addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Address of the sender, as the receiver sees it.
    pub from: SocketAddr,
    /// Address of the receiver.
    pub to: SocketAddr,
    /// Content, at most [`MAX_DATAGRAM_BYTES`] bytes.
    pub bytes: Vec<u8>,
}

/// Decides on a datagram that was sent. Returns the datagrams that arrive in its place, each with a delay in addition to
/// that of the network. A lost datagram yields an empty vector.
pub type Route = Box<dyn FnMut(Datagram) -> Vec<(Duration, Datagram)>>;

/// Datagrams that a socket has not received yet, in the order of their arrival.
#[derive(Default)]
pub(crate) struct Inbox {
    /// Senders and contents, by time of arrival and then by the order in which the datagrams were sent.
    arrivals: BTreeMap<(Instant, u64), (SocketAddr, Vec<u8>)>,
    /// Number of datagrams added so far.
    sent: u64,
    reader: Option<Waker>,
}

impl Inbox {
    /// Adds a datagram that arrives at the time `at`. Drops the datagram if the inbox is full.
    pub(crate) fn push(&mut self, at: Instant, from: SocketAddr, bytes: Vec<u8>) {
        if self.arrivals.len() >= INBOX_CAPACITY {
            return;
        }
        self.sent += 1;
        self.arrivals.insert((at, self.sent), (from, bytes));
        self.reader.take().into_iter().for_each(Waker::wake);
    }
}

/// A bound datagram socket.
pub(crate) struct BoundSocket {
    pub(crate) fabric: Rc<Inner>,
    pub(crate) address: SocketAddr,
    pub(crate) inbox: Rc<RefCell<Inbox>>,
    pub(crate) timer: Timer,
}

impl Drop for BoundSocket {
    fn drop(&mut self) {
        self.fabric.inboxes.borrow_mut().remove(&self.address);
    }
}

impl Datagrams for BoundSocket {
    fn poll_receive(
        &mut self,
        cx: &mut Context<'_>,
        into: &mut [u8; MAX_DATAGRAM_BYTES],
    ) -> Poll<io::Result<(usize, SocketAddr)>> {
        loop {
            let mut inbox = self.inbox.borrow_mut();
            let next_arrival = inbox.arrivals.first_key_value().map(|((at, _), _)| *at);
            if next_arrival.is_some_and(|at| at <= Instant::now())
                && let Some((_, (from, bytes))) = inbox.arrivals.pop_first()
            {
                into[..bytes.len()].copy_from_slice(&bytes);
                return Poll::Ready(Ok((bytes.len(), from)));
            }
            inbox.reader = Some(cx.waker().clone());
            drop(inbox);
            let Some(at) = next_arrival else { return Poll::Pending };
            if self.timer.poll(at, cx).is_pending() {
                return Poll::Pending;
            }
        }
    }

    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(datagram_too_long(bytes.len()));
        }
        let datagram = Datagram { from: self.address, to, bytes: bytes.to_vec() };
        // The route is taken out of the fabric during the call, since the route may use the fabric.
        let route = self.fabric.route.borrow_mut().take();
        let arriving = match route {
            None => vec![(Duration::ZERO, datagram)],
            Some(mut route) => {
                let arriving = route(datagram);
                *self.fabric.route.borrow_mut() = Some(route);
                arriving
            }
        };
        for (added_delay, Datagram { from, to, bytes }) in arriving {
            let at = Instant::now() + self.fabric.delay(self.address.ip(), to.ip()) + added_delay;
            // The datagram goes to the socket that is bound at the time of sending. A socket that is bound to the address
            // before the arrival has another inbox.
            self.fabric.deliver(at, from, to, bytes);
        }
        Ok(())
    }

    fn local_addr(&self) -> SocketAddr {
        self.address
    }
}
