//! A simulated network inside one process, under the runtime's clock: TCP and datagrams as far as programs can tell by the
//! results of their calls. With a paused clock on one thread the same calls give the same run, byte for byte.
//!
//! Datagrams go by [`Fabric::route_datagrams`], which may lose, delay, duplicate and change them. Such faults are left to
//! `hollowpaddle_link_faults`.
//!
//! Limits of the simulation: the kernel's buffers are one bounded queue in each direction, descriptors cost nothing, nothing
//! of a stream is lost or reordered, and a delay is a whole number of milliseconds (the resolution of the runtime's timers);
//! one under half a millisecond is zero.
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

/// How many connections may wait to be accepted. Beyond, a SYN is dropped as by the kernel.
const BACKLOG: usize = 1024;
/// The first port that is given out for port 0 and to clients. Ports are not reused before the range is exhausted.
const FIRST_PORT: u16 = 20_000;

type Delays = Box<dyn Fn(IpAddr, IpAddr) -> Duration>;

/// All machines of one simulated network.
#[derive(Clone)]
pub struct Fabric(Rc<Inner>);

struct Inner {
    listeners: RefCell<FxHashMap<SocketAddr, Rc<Backlog>>>,
    delays: Delays,
    ports: RefCell<FxHashMap<IpAddr, u16>>,
    epoch: Duration,
    start: Instant,
    connections_opened: Cell<u64>,
    inboxes: RefCell<FxHashMap<SocketAddr, Rc<RefCell<Inbox>>>>,
    route: RefCell<Option<Route>>,
    /// How far machines' wall clocks are ahead of the network's, in microseconds.
    clock_offsets: RefCell<FxHashMap<IpAddr, i64>>,
}

impl Fabric {
    /// A network with these one-way delays from one address to another, whose wall clock shows `epoch` (since the Unix
    /// epoch) now.
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

    /// Has `route` decide on every datagram from now on. Without it each arrives, after the network's delay.
    pub fn route_datagrams(&self, route: Route) {
        *self.0.route.borrow_mut() = Some(route);
    }

    /// Steps the wall clock of the machine at this address by so many microseconds. Timers are not affected.
    pub fn step_clock(&self, ip: IpAddr, by_us: i64) {
        *self.0.clock_offsets.borrow_mut().entry(ip).or_default() += by_us;
    }

    /// The network as seen from the machine at this address.
    pub fn host(&self, ip: IpAddr) -> Rc<dyn Network> {
        Rc::new(Host { fabric: self.0.clone(), ip })
    }

    /// The number of connections that have come up so far.
    pub fn opened(&self) -> u64 {
        self.0.connections_opened.get()
    }
}

impl Inner {
    fn delay(&self, from: IpAddr, to: IpAddr) -> Duration {
        let exact = (self.delays)(from, to).as_secs_f64() * 1e3;
        Duration::from_millis(exact.round() as u64)
    }

    fn next_port(&self, ip: IpAddr) -> u16 {
        let mut ports = self.ports.borrow_mut();
        let port = ports.entry(ip).or_insert(FIRST_PORT);
        *port = port.checked_add(1).unwrap_or(FIRST_PORT);
        *port
    }
}

impl Inner {
    /// Puts a datagram into the inbox of its receiver, if there is one.
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

/// Wakes a reader when the next thing arrives.
#[derive(Default)]
struct Timer(Option<Pin<Box<Sleep>>>);

impl Timer {
    /// Ready at this time. The task is woken then.
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
            let (here, there) = End::pair(delay);
            self.fabric.connections_opened.set(self.fabric.connections_opened.get() + 1);
            backlog.waiting.borrow_mut().push_back((there, from));
            if let Some(waker) = backlog.waker.take() {
                waker.wake();
            }
            wait(delay).await;
            Ok(Box::new(here) as Box<dyn Stream>)
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
        let ahead = self.fabric.clock_offsets.borrow().get(&self.ip).copied().unwrap_or(0);
        let offset = Duration::from_micros(ahead.unsigned_abs());
        if ahead < 0 { now.saturating_sub(offset) } else { now + offset }
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
