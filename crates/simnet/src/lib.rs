//! A network that is simulated inside one process, under the runtime's clock. TCP and datagrams behave as far as programs
//! can observe by the results of their calls. With a paused clock on one thread, the same calls yield the same run, byte
//! for byte.
//!
//! The [`Route`] set by [`Fabric::route_datagrams`] can lose, delay, duplicate and change datagrams.
//! `hollowpaddle_link_faults` implements these faults.
//!
//! Limits of the simulation:
//! - The kernel's buffers are one bounded queue in each direction.
//! - Descriptors cost nothing.
//! - Bytes of a stream are never lost or reordered.
//! - A delay is rounded to whole milliseconds (the resolution of the runtime's timers), so that one under half a
//!   millisecond is zero.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod datagrams;
mod pipe;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::{Future, pending};
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use hollowpaddle_net::{Datagrams, Listener, LocalBoxFuture, Network, Stream};
use rustc_hash::FxHashMap;
use tokio::time::{Instant, Sleep, sleep, sleep_until};

use datagrams::{BoundSocket, Inbox};
use pipe::End;

pub use datagrams::{Datagram, Route};

/// Maximum number of connections that wait to be accepted. Further SYNs are dropped, as by the kernel.
const BACKLOG: usize = 1024;
/// Start of the range from which ports are assigned for port 0 and to clients. Ports are not reused before the range is
/// exhausted.
const FIRST_PORT: u16 = 20_000;

type Delays = Box<dyn Fn(IpAddr, IpAddr) -> Duration>;

/// A simulated network with all its machines.
#[derive(Clone)]
pub struct Fabric(Rc<Inner>);

struct Inner {
    listeners: RefCell<FxHashMap<SocketAddr, Rc<Backlog>>>,
    delays: Delays,
    ports: RefCell<FxHashMap<IpAddr, u16>>,
    /// Wall clock time at `start`, since the Unix epoch.
    epoch: Duration,
    start: Instant,
    connections_opened: Cell<u64>,
    inboxes: RefCell<FxHashMap<SocketAddr, Rc<RefCell<Inbox>>>>,
    route: RefCell<Option<Route>>,
    /// Offsets of the machines' wall clocks from the network's, in microseconds. Positive values are ahead.
    clock_offsets: RefCell<FxHashMap<IpAddr, i64>>,
}

impl Fabric {
    /// Creates a network. `delays` returns the one-way delay from one address to another. The wall clock starts at `epoch`,
    /// a time since the Unix epoch.
    pub fn new(epoch: Duration, delays: impl Fn(IpAddr, IpAddr) -> Duration + 'static) -> Self {
        Self(Rc::new(Inner {
            listeners: RefCell::default(),
            delays: Box::new(delays),
            ports: RefCell::default(),
            epoch,
            start: Instant::now(),
            connections_opened: Cell::new(0),
            inboxes: RefCell::default(),
            route: RefCell::default(),
            clock_offsets: RefCell::default(),
        }))
    }

    /// Sets the route that decides on every datagram sent from now on. Without a route each datagram arrives after the
    /// network's delay.
    pub fn route_datagrams(&self, route: Route) {
        *self.0.route.borrow_mut() = Some(route);
    }

    /// Steps the wall clock of the machine at this address by `by_us` microseconds. Timers are not affected.
    pub fn step_clock(&self, ip: IpAddr, by_us: i64) {
        *self.0.clock_offsets.borrow_mut().entry(ip).or_default() += by_us;
    }

    /// Returns the network as seen from the machine at this address.
    pub fn host(&self, ip: IpAddr) -> Rc<dyn Network> {
        Rc::new(Host { fabric: self.0.clone(), ip })
    }

    /// Returns the number of connections established so far.
    pub fn opened(&self) -> u64 {
        self.0.connections_opened.get()
    }
}

impl Inner {
    fn delay(&self, from: IpAddr, to: IpAddr) -> Duration {
        let delay_ms = (self.delays)(from, to).as_secs_f64() * 1e3;
        Duration::from_millis(delay_ms.round() as u64)
    }

    fn next_port(&self, ip: IpAddr) -> u16 {
        let mut ports = self.ports.borrow_mut();
        let port = ports.entry(ip).or_insert(FIRST_PORT);
        *port = port.checked_add(1).unwrap_or(FIRST_PORT);
        *port
    }
}

impl Inner {
    /// Adds a datagram to the inbox of the receiver's socket. Drops the datagram if no socket is bound to `to`.
    fn deliver(&self, at: Instant, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        if let Some(inbox) = self.inboxes.borrow().get(&to) {
            inbox.borrow_mut().push(at, from, bytes);
        }
    }
}

struct Host {
    fabric: Rc<Inner>,
    ip: IpAddr,
}

/// Wakes a reader when the next segment or datagram arrives.
#[derive(Default)]
struct Timer(Option<Pin<Box<Sleep>>>);

impl Timer {
    /// Returns ready once the time `at` is reached. Until then the task is registered to be woken at that time.
    fn poll(&mut self, at: Instant, cx: &mut Context<'_>) -> Poll<()> {
        let timer = self.0.get_or_insert_with(|| Box::pin(sleep_until(at)));
        if timer.deadline() != at {
            timer.as_mut().reset(at);
        }
        timer.as_mut().poll(cx)
    }
}

async fn wait(delay: Duration) {
    if !delay.is_zero() {
        sleep(delay).await;
    }
}

impl Network for Host {
    fn connect(&self, to: SocketAddr) -> LocalBoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            let delay = self.fabric.delay(self.ip, to.ip());
            wait(delay).await;
            let backlog = self.fabric.listeners.borrow().get(&to).cloned();
            let Some(backlog) = backlog else {
                wait(delay).await;
                return Err(ErrorKind::ConnectionRefused.into());
            };
            if backlog.is_hushed.get() || backlog.waiting.borrow().len() >= BACKLOG {
                return pending().await;
            }
            let from = SocketAddr::new(self.ip, self.fabric.next_port(self.ip));
            let (client, server) = End::pair(delay);
            self.fabric.connections_opened.set(self.fabric.connections_opened.get() + 1);
            backlog.waiting.borrow_mut().push_back((server, from));
            if let Some(waker) = backlog.waker.take() {
                waker.wake();
            }
            wait(delay).await;
            Ok(Box::new(client) as Box<dyn Stream>)
        })
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        let port = if at.port() == 0 { self.fabric.next_port(at.ip()) } else { at.port() };
        let address = SocketAddr::new(at.ip(), port);
        let mut listeners = self.fabric.listeners.borrow_mut();
        if listeners.contains_key(&address) {
            return Err(ErrorKind::AddrInUse.into());
        }
        let backlog = Rc::<Backlog>::default();
        listeners.insert(address, backlog.clone());
        Ok(Box::new(BoundListener { fabric: self.fabric.clone(), address, backlog }))
    }

    fn datagrams(&self, at: SocketAddr) -> io::Result<Box<dyn Datagrams>> {
        let port = if at.port() == 0 { self.fabric.next_port(at.ip()) } else { at.port() };
        let address = SocketAddr::new(at.ip(), port);
        let mut inboxes = self.fabric.inboxes.borrow_mut();
        if inboxes.contains_key(&address) {
            return Err(ErrorKind::AddrInUse.into());
        }
        let inbox = Rc::<RefCell<Inbox>>::default();
        inboxes.insert(address, inbox.clone());
        Ok(Box::new(BoundSocket {
            fabric: self.fabric.clone(),
            address,
            inbox,
            timer: Timer::default(),
        }))
    }

    fn unix_now(&self) -> Duration {
        let now = self.fabric.epoch + self.fabric.start.elapsed();
        let offset_us = self.fabric.clock_offsets.borrow().get(&self.ip).copied().unwrap_or(0);
        let offset = Duration::from_micros(offset_us.unsigned_abs());
        if offset_us < 0 { now.saturating_sub(offset) } else { now + offset }
    }
}

#[derive(Default)]
struct Backlog {
    waiting: RefCell<VecDeque<(End, SocketAddr)>>,
    waker: Cell<Option<Waker>>,
    is_hushed: Cell<bool>,
}

struct BoundListener {
    fabric: Rc<Inner>,
    address: SocketAddr,
    backlog: Rc<Backlog>,
}

impl Drop for BoundListener {
    fn drop(&mut self) {
        self.fabric.listeners.borrow_mut().remove(&self.address);
        let waiting = std::mem::take(&mut *self.backlog.waiting.borrow_mut());
        for (end, _) in waiting {
            Box::new(end).reset();
        }
    }
}

impl Listener for BoundListener {
    fn poll_accept(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<(Box<dyn Stream>, SocketAddr)>> {
        let next = self.backlog.waiting.borrow_mut().pop_front();
        match next {
            Some((end, peer)) => Poll::Ready(Ok((Box::new(end), peer))),
            None => {
                self.backlog.waker.set(Some(cx.waker().clone()));
                Poll::Pending
            }
        }
    }

    fn local_addr(&self) -> SocketAddr {
        self.address
    }

    fn set_silent(&mut self, silent: bool) {
        self.backlog.is_hushed.set(silent);
    }
}

#[cfg(test)]
mod tests;
