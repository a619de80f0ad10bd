//! A network link between a balancer and an upstream in another data centre: a proxy that delays whatever passes, in order.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

/// The one-way delay of a link: "5.6 to 10 ms one way" between the data centres (BRIEF).
const DELAY_MIN_US: u64 = 5_600;
const DELAY_MAX_US: u64 = 10_000;
/// The number of bytes that are read at once.
const READ_SIZE: usize = 16 << 10;

/// Bytes on their way, and when they arrive.
struct InFlight {
    arrives_at: Instant,
    bytes: Vec<u8>,
}

/// Starts a link to an upstream. Returns the address that the balancer knows the upstream by.
pub fn start(upstream: SocketAddr) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for (number, stream) in (0..).zip(listener.incoming().flatten()) {
            let _ = connect(stream, upstream, number);
        }
    });
    Ok(address)
}

fn connect(balancer: TcpStream, upstream: SocketAddr, number: u64) -> io::Result<()> {
    let upstream = TcpStream::connect(upstream)?;
    balancer.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    carry(balancer.try_clone()?, upstream.try_clone()?, Delays::new(2 * number));
    carry(upstream, balancer, Delays::new(2 * number + 1));
    Ok(())
}

/// Carries bytes in one direction, each piece with a delay of its own and never before an earlier piece.
fn carry(mut from: TcpStream, to: TcpStream, mut delays: Delays) {
    let (sender, receiver): (Sender<InFlight>, Receiver<InFlight>) = channel();
    thread::spawn(move || {
        let mut buffer = vec![0; READ_SIZE];
        while let Ok(bytes @ 1..) = from.read(&mut buffer) {
            let arrives_at = Instant::now() + delays.next();
            if sender.send(InFlight { arrives_at, bytes: buffer[..bytes].to_vec() }).is_err() {
                break;
            }
        }
    });
    thread::spawn(move || deliver(&receiver, to));
}

fn deliver(receiver: &Receiver<InFlight>, mut to: TcpStream) {
    for InFlight { arrives_at, bytes } in receiver {
        thread::sleep(arrives_at.saturating_duration_since(Instant::now()));
        if to.write_all(&bytes).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}

/// A sequence of random delays.
struct Delays(u64);

impl Delays {
    fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns the next delay, evenly distributed.
    fn next(&mut self) -> Duration {
        // Xorshift: good enough for delays.
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        Duration::from_micros(DELAY_MIN_US + self.0 % (DELAY_MAX_US - DELAY_MIN_US + 1))
    }
}
