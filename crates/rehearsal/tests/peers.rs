//! The network between balancers has the same addresses and faults in virtual time and over the
//! machine's sockets.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_net::{Datagrams, MAX_DATAGRAM_BYTES, receive};
use hollowpaddle_rehearsal::peers::Peers;
use hollowpaddle_rehearsal::record::Observation;
use hollowpaddle_rehearsal::run_context::{Host, Testbed};
use hollowpaddle_rehearsal::scenario::{FaultKind, LinkDirection, Trouble};
use hollowpaddle_simnet::Fabric;
use tokio::task::LocalSet;
use tokio::time::timeout;

const COUNT: usize = 3;

struct Cluster {
    peers: Rc<Peers>,
    ends: Vec<Box<dyn Datagrams>>,
    seen: Rc<RefCell<Vec<(usize, usize, usize)>>>,
    /// Time after which every datagram has arrived.
    receive_timeout: Duration,
}

impl Cluster {
    fn new(testbed: Testbed) -> Self {
        let seen = Rc::<RefCell<Vec<_>>>::default();
        let observe = {
            let seen = seen.clone();
            move |s| {
                if let Observation::Datagram { from, to, copies, .. } = s {
                    seen.borrow_mut().push((from, to, copies));
                }
            }
        };
        let receive_timeout = Duration::from_millis(if testbed.is_simulated() { 100 } else { 300 });
        let peers = Peers::new(testbed.clone(), COUNT, 7, observe).expect("addresses");
        let end = |b| {
            let listen = peers.addresses(b).listen;
            testbed.network(Host::Balancer(b)).datagrams(listen).expect("its own address")
        };
        Self { ends: (0..COUNT).map(end).collect(), peers, seen, receive_timeout }
    }

    fn send(&self, from: usize, to: usize, bytes: &[u8]) {
        let to = self.peers.addresses(from).peers[to];
        self.ends[from].send(bytes, to).expect("sent");
    }

    /// Receives all datagrams for a balancer: sender, by its address as this balancer sees it, and
    /// content.
    async fn received(&mut self, to: usize) -> Vec<(usize, Vec<u8>)> {
        let (mut all, mut bytes) = (Vec::new(), [0; MAX_DATAGRAM_BYTES]);
        let known = self.peers.addresses(to).peers;
        while let Ok(received) =
            timeout(self.receive_timeout, receive(&mut *self.ends[to], &mut bytes)).await
        {
            let (length, from) = received.expect("it comes");
            let from = known.iter().position(|p| *p == from).expect("under the sender's address");
            all.push((from, bytes[..length].to_vec()));
        }
        all
    }

    async fn check_links(mut self) {
        for b in 0..COUNT {
            let addresses = self.peers.addresses(b);
            assert_eq!(addresses.peers[b], addresses.listen, "its own address is among them");
            assert!(!addresses.peers.contains(&addresses.all));
        }
        self.send(0, 1, b"one");
        self.send(2, 1, b"two");
        let mut received = self.received(1).await;
        received.sort();
        assert_eq!(received, [(0, b"one".to_vec()), (2, b"two".to_vec())]);
        // A datagram to all doesn't reach its sender.
        let all = self.peers.addresses(0).all;
        self.ends[0].send(b"all", all).expect("sent");
        assert_eq!(self.received(0).await, []);
        for b in [1, 2] {
            assert_eq!(self.received(b).await, [(0, b"all".to_vec())]);
        }
        // A datagram to an address that belongs to another balancer's view is dropped.
        let others = self.peers.addresses(1).peers[2];
        self.ends[0].send(b"stolen", others).expect("sent");
        assert_eq!(self.received(2).await, []);
        // Outgoing cut of 0: its datagrams are lost, and those to it arrive.
        let cut = FaultKind::LinksCut { direction: LinkDirection::Out, open_share: 0.0 };
        self.peers.apply_fault(4, &cut, &[0], true);
        self.send(0, 1, b"lost");
        self.send(1, 0, b"heard");
        self.send(1, 2, b"heard");
        assert_eq!(self.received(1).await, []);
        assert_eq!(self.received(0).await, [(1, b"heard".to_vec())]);
        assert_eq!(self.received(2).await, [(1, b"heard".to_vec())]);
        self.peers.apply_fault(4, &cut, &[0], false);
        // Each datagram arrives twice, delayed, with one bit flipped; within the set the fault
        // applies only once.
        let trouble = Trouble {
            copies: 1.0,
            flips: 1.0,
            delay: Duration::from_millis(20),
            ..Trouble::default()
        };
        let bad = FaultKind::LinksBad { direction: LinkDirection::Both, trouble };
        self.peers.apply_fault(5, &bad, &[0, 1], true);
        for (from, to) in [(0, 1), (0, 2), (2, 0)] {
            self.send(from, to, b"abc");
            let received = self.received(to).await;
            assert_eq!(received.len(), 2, "{from} to {to}");
            for (_, bytes) in received {
                let bits: u32 = bytes.iter().zip(b"abc").map(|(a, b)| (a ^ b).count_ones()).sum();
                assert_eq!(bits, 1);
            }
        }
        self.send(2, 2, b"itself");
        assert_eq!(self.received(2).await, [(2, b"itself".to_vec())]);
        let seen = self.seen.take();
        assert_eq!(seen[..4], [(0, 1, 1), (2, 1, 1), (0, 1, 1), (0, 2, 1)]);
        assert!(seen.contains(&(0, 1, 0)) && seen.contains(&(2, 0, 2)));
        assert!(!seen.contains(&(2, 2, 1)), "no link between a balancer and itself");
    }
}

#[tokio::test(start_paused = true)]
async fn links_work_in_virtual_time() {
    let testbed = Testbed::Simulated(Fabric::new(Duration::ZERO, |_, _| Duration::from_millis(2)));
    LocalSet::new().run_until(Cluster::new(testbed).check_links()).await;
}

#[tokio::test]
async fn links_work_over_sockets() {
    LocalSet::new()
        .run_until(async { Cluster::new(Testbed::loopback()).check_links().await })
        .await;
}
