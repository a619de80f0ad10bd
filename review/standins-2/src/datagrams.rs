//! The way of datagrams between balancers, which passes them on late (PROTOCOL, "Between balancers").

use std::io::Result;
use std::net::{SocketAddr, UdpSocket};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// The longest datagram (PROTOCOL, "Between balancers").
const MAX_DATAGRAM: usize = 256;

/// A tier of balancers.
pub struct Tier {
    /// For each balancer the addresses of all, as its configuration names them: its own, and for each other balancer the
    /// entry of the way to it.
    pub peers: Vec<Vec<SocketAddr>>,
}

impl Tier {
    /// Returns a tier whose balancers send to one another directly.
    pub fn direct(balancers: usize) -> Result<Self> {
        let sockets: Vec<UdpSocket> =
            (0..balancers).map(|_| UdpSocket::bind("127.0.0.1:0")).collect::<Result<_>>()?;
        let own: Vec<SocketAddr> =
            sockets.iter().map(UdpSocket::local_addr).collect::<Result<_>>()?;
        Ok(Self { peers: vec![own; balancers] })
    }

    /// Opens the ways between this many balancers, on which each datagram takes `delay`.
    ///
    /// What one balancer sends to the entry of its way to another one arrives there from the entry of the way back, which
    /// is the sender's address in the receiver's configuration.
    pub fn open(balancers: usize, delay: Duration) -> Result<Self> {
        let own: Vec<SocketAddr> = (0..balancers)
            .map(|_| UdpSocket::bind("127.0.0.1:0")?.local_addr())
            .collect::<Result<_>>()?;
        let entries: Vec<Vec<UdpSocket>> = (0..balancers)
            .map(|_| (0..balancers).map(|_| UdpSocket::bind("127.0.0.1:0")).collect())
            .collect::<Result<_>>()?;
        let mut peers = Vec::new();
        for from in 0..balancers {
            let mut known = Vec::new();
            for to in 0..balancers {
                if from == to {
                    known.push(own[from]);
                    continue;
                }
                let entry = entries[from][to].try_clone()?;
                known.push(entry.local_addr()?);
                open_way(entry, entries[to][from].try_clone()?, own[to], delay);
            }
            peers.push(known);
        }
        Ok(Self { peers })
    }
}

/// Passes on what arrives at `entry` to `target`, from the address of `exit`, after `delay`.
fn open_way(entry: UdpSocket, exit: UdpSocket, target: SocketAddr, delay: Duration) {
    let (sender, datagrams) = channel();
    thread::spawn(move || {
        let mut buffer = [0; MAX_DATAGRAM];
        while let Ok((length, _)) = entry.recv_from(&mut buffer) {
            let _ = sender.send((Instant::now() + delay, buffer[..length].to_vec()));
        }
    });
    thread::spawn(move || pass_on(&datagrams, &exit, target));
}

/// Sends each datagram when it is due.
fn pass_on(datagrams: &Receiver<(Instant, Vec<u8>)>, exit: &UdpSocket, target: SocketAddr) {
    for (due_at, datagram) in datagrams {
        thread::sleep(due_at.saturating_duration_since(Instant::now()));
        let _ = exit.send_to(&datagram, target);
    }
}
