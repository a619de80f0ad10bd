//! What lies between balancers, in virtual time and over the machine's sockets: the same addresses, the same faults.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_net::{DATAGRAM, Datagrams, receive};
use hollowpaddle_rehearsal::peers::Peers;
use hollowpaddle_rehearsal::record::Observation;
use hollowpaddle_rehearsal::run_context::{Host, Testbed};
use hollowpaddle_rehearsal::scenario::{FaultKind, LinkDirection, Trouble};
use hollowpaddle_simnet::Fabric;
use tokio::task::LocalSet;
use tokio::time::timeout;

const COUNT: usize = 3;

struct Bank {
    peers: Rc<Peers>,
    ends: Vec<Box<dyn Datagrams>>,
    seen: Rc<RefCell<Vec<(usize, usize, usize)>>>,
    /// Long enough for whatever comes to have come.
    soon: Duration,
}

impl Bank {
    fn new(testbed: Testbed) -> Self {
        let seen = Rc::<RefCell<Vec<_>>>::default();
        let tell = {
            let seen = seen.clone();
            move |s| {
                if let Observation::Datagram { from, to, copies, .. } = s {
                    seen.borrow_mut().push((from, to, copies));
                }
            }
        };
        let soon = Duration::from_millis(if testbed.is_simulated() { 100 } else { 300 });
        let peers = Peers::new(testbed.clone(), COUNT, 7, tell).expect("addresses");
        let end = |b| {
            let listen = peers.addresses(b).listen;
            testbed.network(Host::Balancer(b)).datagrams(listen).expect("its own address")
        };
        Self { ends: (0..COUNT).map(end).collect(), peers, seen, soon }
    }

    fn send(&self, from: usize, to: usize, bytes: &[u8]) {
        let to = self.peers.addresses(from).peers[to];
        self.ends[from].send(bytes, to).expect("sent");
    }

    /// All that comes to one: from whom, as it sees that, and what.
    async fn come(&mut self, to: usize) -> Vec<(usize, Vec<u8>)> {
        let (mut all, mut bytes) = (Vec::new(), [0; DATAGRAM]);
        let known = self.peers.addresses(to).peers;
        while let Ok(came) = timeout(self.soon, receive(&mut *self.ends[to], &mut bytes)).await {
            let (length, from) = came.expect("it comes");
            let from = known.iter().position(|p| *p == from).expect("under the sender's address");
            all.push((from, bytes[..length].to_vec()));
        }
        all
    }

    async fn drill(mut self) {
        for b in 0..COUNT {
            let told = self.peers.addresses(b);
            assert_eq!(told.peers[b], told.listen, "its own among them");
            assert!(!told.peers.contains(&told.all));
        }
        self.send(0, 1, b"one");
        self.send(2, 1, b"two");
        let mut came = self.come(1).await;
        came.sort();
        assert_eq!(came, [(0, b"one".to_vec()), (2, b"two".to_vec())]);
        // To all, but not to itself.
        let all = self.peers.addresses(0).all;
        self.ends[0].send(b"all", all).expect("sent");
        assert_eq!(self.come(0).await, []);
        for b in [1, 2] {
            assert_eq!(self.come(b).await, [(0, b"all".to_vec())]);
        }
        // Whoever uses another's way is nobody.
        let others = self.peers.addresses(1).peers[2];
        self.ends[0].send(b"stolen", others).expect("sent");
        assert_eq!(self.come(2).await, []);
        // Cut one way: what 0 says reaches nobody, what it is told reaches it.
        let cut = FaultKind::LinksCut { direction: LinkDirection::Out, open_share: 0.0 };
        self.peers.apply_fault(4, &cut, &[0], true);
        self.send(0, 1, b"lost");
        self.send(1, 0, b"heard");
        self.send(1, 2, b"heard");
        assert_eq!(self.come(1).await, []);
        assert_eq!(self.come(0).await, [(1, b"heard".to_vec())]);
        assert_eq!(self.come(2).await, [(1, b"heard".to_vec())]);
        self.peers.apply_fault(4, &cut, &[0], false);
        // Each comes twice, later, with one bit flipped; within the set not four times.
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
            let came = self.come(to).await;
            assert_eq!(came.len(), 2, "{from} to {to}");
            for (_, bytes) in came {
                let bits: u32 = bytes.iter().zip(b"abc").map(|(a, b)| (a ^ b).count_ones()).sum();
                assert_eq!(bits, 1);
            }
        }
        self.send(2, 2, b"itself");
        assert_eq!(self.come(2).await, [(2, b"itself".to_vec())]);
        let seen = self.seen.take();
        assert_eq!(seen[..4], [(0, 1, 1), (2, 1, 1), (0, 1, 1), (0, 2, 1)]);
        assert!(seen.contains(&(0, 1, 0)) && seen.contains(&(2, 0, 2)));
        assert!(!seen.contains(&(2, 2, 1)), "nothing lies between one and itself");
    }
}

#[tokio::test(start_paused = true)]
async fn in_virtual_time() {
    let testbed = Testbed::Simulated(Fabric::new(Duration::ZERO, |_, _| Duration::from_millis(2)));
    LocalSet::new().run_until(Bank::new(testbed).drill()).await;
}

#[tokio::test]
async fn over_sockets() {
    LocalSet::new().run_until(async { Bank::new(Testbed::loopback()).drill().await }).await;
}
