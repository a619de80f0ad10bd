//! The network between the balancers of a run. Each balancer sees every other under a separate
//! address, and all datagrams pass the [`Links`]. In virtual time the simulated network applies
//! them; in live runs a relay does, with a socket for each ordered pair.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use hollowpaddle_link_faults::{Does, Links, Rule, Set};
use hollowpaddle_net::{Datagrams, MAX_DATAGRAM_BYTES};
use hollowpaddle_simnet::{Datagram, Fabric};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::sleep;

use crate::record::Observation;
use crate::run_context::{Host, Testbed};
use crate::scenario::{FaultKind, LinkDirection};

/// Maximum number of balancers with peer messages in a live run: the relay holds a descriptor for
/// each ordered pair, and a process usually may hold 1,024.
pub const MAX_LIVE_BALANCERS: usize = 24;

/// Ports in virtual time: where balancers receive, the address of all others, and the first of the
/// addresses of single others.
const LISTEN: u16 = 7946;
const ALL: u16 = 9999;
const FIRST: u16 = 10_000;

/// The address at which a balancer receives, and those of the other balancers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// `peer_listen`.
    pub listen: SocketAddr,
    /// `peers`, by balancer number; the balancer's own entry is its listening address.
    pub peers: Vec<SocketAddr>,
    /// `peers_all`.
    pub all: SocketAddr,
}

/// The recipient of a datagram.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Recipient {
    One(usize),
    All,
}

type Socket = Rc<RefCell<Box<dyn Datagrams>>>;

/// The links between the balancers of a run.
pub struct Peers {
    testbed: Testbed,
    observe: Box<dyn Fn(Observation)>,
    links: RefCell<Links>,
    listens: Vec<SocketAddr>,
    /// The relay's sockets in live runs, by sender and recipient.
    sockets: BTreeMap<(usize, Recipient), Socket>,
    relays: RefCell<Vec<AbortHandle>>,
}

impl Drop for Peers {
    fn drop(&mut self) {
        self.relays.borrow().iter().for_each(AbortHandle::abort);
    }
}

impl Peers {
    /// Creates the links between `count` balancers. `seed` seeds the random faults; `observe` is
    /// called for every datagram.
    ///
    /// # Errors
    /// No address is free (live runs only).
    pub fn new(
        testbed: Testbed,
        count: usize,
        seed: u64,
        observe: impl Fn(Observation) + 'static,
    ) -> io::Result<Rc<Self>> {
        let (mut listens, mut sockets) = (Vec::new(), BTreeMap::new());
        let links = RefCell::new(Links::new(seed));
        let fabric = testbed.fabric();
        for balancer in 0..count {
            let own = testbed.address(Host::Balancer(balancer));
            if fabric.is_some() {
                listens.push(SocketAddr::new(own.ip(), LISTEN));
                continue;
            }
            // No other host uses this IP address, so the port stays free after the trial socket
            // closes.
            let network = testbed.network(Host::Balancer(balancer));
            listens.push(network.datagrams(own)?.local_addr());
            let network = testbed.network(Host::Peers(balancer));
            let recipient =
                (0..count).filter(|b| *b != balancer).map(Recipient::One).chain([Recipient::All]);
            for recipient in recipient {
                let socket = network.datagrams(testbed.address(Host::Peers(balancer)))?;
                sockets.insert((balancer, recipient), Rc::new(RefCell::new(socket)));
            }
        }
        let (observe, relays) = (Box::new(observe), RefCell::default());
        let peers = Rc::new(Self { testbed, observe, links, listens, sockets, relays });
        match peers.testbed.fabric() {
            Some(fabric) => peers.route(fabric),
            None => peers.relay(),
        }
        Ok(peers)
    }

    /// Returns the addresses in a balancer's configuration.
    pub fn addresses(&self, balancer: usize) -> Addresses {
        let at = |recipient: Recipient| match (self.sockets.get(&(balancer, recipient)), recipient)
        {
            (Some(socket), _) => socket.borrow().local_addr(),
            (None, Recipient::One(other)) if other == balancer => self.listens[balancer],
            (None, Recipient::One(other)) => {
                self.seen_in_virtual_time(balancer, FIRST + other as u16)
            }
            (None, Recipient::All) => self.seen_in_virtual_time(balancer, ALL),
        };
        Addresses {
            listen: self.listens[balancer],
            peers: (0..self.listens.len()).map(|other| at(Recipient::One(other))).collect(),
            all: at(Recipient::All),
        }
    }

    fn seen_in_virtual_time(&self, by: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.testbed.address(Host::Peers(by)).ip(), port)
    }

    /// Applies a rule from now on, until [`Peers::end`] with its key.
    pub fn begin(&self, key: usize, rule: Rule) {
        self.links.borrow_mut().begin(key, rule);
    }

    /// Ends the rules with this key.
    pub fn end(&self, key: usize) {
        self.links.borrow_mut().end(key);
    }

    /// Starts or ends a fault of links.
    pub fn apply_fault(&self, fault: usize, kind: &FaultKind, affected: &[usize], begins: bool) {
        if !begins {
            return self.end(fault);
        }
        let (way, crossing, does) = match kind {
            FaultKind::LinksCut { direction, open_share } => {
                (*direction, true, Does::Cut { open: *open_share })
            }
            FaultKind::LinksBad { direction, trouble } => {
                (*direction, false, Does::Bad(trouble.clone()))
            }
            _ => return,
        };
        let set: Set = affected.iter().copied().collect();
        if way != LinkDirection::In {
            let from = Some(set.clone());
            self.begin(fault, Rule { from, to: None, crossing, does: does.clone() });
        }
        if way != LinkDirection::Out {
            // Datagrams within the set match only the first rule, so that the fault applies once.
            let crossing = crossing || way == LinkDirection::Both;
            self.begin(fault, Rule { from: None, to: Some(set), crossing, does });
        }
    }

    /// Returns the copies of a datagram that arrive: recipient, delay and content of each.
    fn pass(
        &self,
        from: usize,
        recipient: Recipient,
        bytes: &[u8],
    ) -> Vec<(usize, Duration, Vec<u8>)> {
        let count = self.listens.len();
        let to: Vec<usize> = match recipient {
            Recipient::One(other) => vec![other],
            Recipient::All => (0..count).filter(|b| *b != from).collect(),
        };
        let mut arrive = Vec::new();
        for to in to {
            let copies = self.links.borrow_mut().pass(from, to, bytes);
            let seen = Observation::Datagram { from, to, bytes: bytes.len(), copies: copies.len() };
            (self.observe)(seen);
            arrive.extend(copies.into_iter().map(|(later, bytes)| (to, later, bytes)));
        }
        arrive
    }

    fn route(self: &Rc<Self>, fabric: &Fabric) {
        let peers = Rc::downgrade(self);
        fabric.route_datagrams(Box::new(move |datagram| match Weak::upgrade(&peers) {
            Some(peers) => peers.routed(datagram),
            None => Vec::new(),
        }));
    }

    fn routed(&self, datagram: Datagram) -> Vec<(Duration, Datagram)> {
        let Datagram { from, to, bytes } = datagram;
        // A datagram to the sender itself passes no link.
        if to == from && self.listens.contains(&to) {
            return vec![(Duration::ZERO, Datagram { from, to, bytes })];
        }
        // Only a balancer's own address sends, and only configured addresses are reachable.
        let (Host::Balancer(sender), Host::Peers(by)) =
            (Host::from_ip(from.ip()), Host::from_ip(to.ip()))
        else {
            return Vec::new();
        };
        if sender != by || self.listens.get(sender) != Some(&from) {
            return Vec::new();
        }
        let recipient = match to.port() {
            ALL => Recipient::All,
            port => match port.checked_sub(FIRST).map(usize::from) {
                Some(other) if other < self.listens.len() && other != sender => {
                    Recipient::One(other)
                }
                _ => return Vec::new(),
            },
        };
        let arrives = |(to, later, bytes): (usize, Duration, Vec<u8>)| {
            let from = self.seen_in_virtual_time(to, FIRST + sender as u16);
            (later, Datagram { from, to: self.listens[to], bytes })
        };
        self.pass(sender, recipient, &bytes).into_iter().map(arrives).collect()
    }

    fn relay(self: &Rc<Self>) {
        for ((sender, recipient), socket) in &self.sockets {
            let (peers, socket) = (Rc::downgrade(self), socket.clone());
            let (sender, recipient) = (*sender, *recipient);
            let relay = spawn_local(async move {
                let mut bytes = [0; MAX_DATAGRAM_BYTES];
                loop {
                    let received =
                        std::future::poll_fn(|cx| socket.borrow_mut().poll_receive(cx, &mut bytes));
                    // No error ends a socket; the pause keeps an immediate error from causing a
                    // busy loop.
                    let Ok((length, from)) = received.await else {
                        sleep(Duration::from_millis(1)).await;
                        continue;
                    };
                    let Some(peers) = Weak::upgrade(&peers) else { return };
                    if peers.listens[sender] == from {
                        peers.relayed(sender, recipient, &bytes[..length]);
                    }
                }
            });
            self.relays.borrow_mut().push(relay.abort_handle());
        }
    }

    fn relayed(&self, sender: usize, recipient: Recipient, bytes: &[u8]) {
        for (to, later, bytes) in self.pass(sender, recipient, bytes) {
            let Some(socket) = self.sockets.get(&(to, Recipient::One(sender))).cloned() else {
                continue;
            };
            let listens = self.listens[to];
            if later.is_zero() {
                let _ = socket.borrow().send(&bytes, listens);
                continue;
            }
            spawn_local(async move {
                sleep(later).await;
                let _ = socket.borrow().send(&bytes, listens);
            });
        }
    }
}
