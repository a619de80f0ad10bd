//! An interface to the network and the wall clock, and its implementation with the machine's own TCP and UDP. A program that
//! uses a [`Network`] runs unchanged on a simulated network.
//!
//! Timers are not part of the interface: all code waits by the runtime's clock (`tokio::time`), which a simulation pauses.
#![deny(unsafe_code)]
#![warn(missing_docs)]

mod errors;
mod tcp;
mod udp;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite};

pub use errors::{AcceptFailure, is_local, is_transient};
pub use tcp::Tcp;
pub use udp::datagram_too_long;

/// A boxed future that stays on its thread.
pub type LocalBoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// A connection. Dropping it closes the connection in order if no bytes are unread, and resets it otherwise, as the kernel
/// does.
pub trait Stream: AsyncRead + AsyncWrite + Unpin {
    /// Returns whether the connection is open and has neither unread bytes nor an unread end.
    fn is_quiet(&self) -> bool;

    /// Returns whether the peer has closed or reset the connection, or shut down its sending side. If the system reports
    /// this, the result is also true while earlier bytes are unread.
    fn has_ended(&self) -> bool;

    /// Is ready once there are unread bytes or an unread end of the stream. Reads nothing.
    fn poll_unread(&mut self, cx: &mut Context<'_>) -> Poll<()>;

    /// Returns the time since the kernel received the last bytes, read or not, if that is known. Without any bytes, the time
    /// counts from the establishment of the connection. A program may not have run when the bytes arrived.
    fn since_last_bytes(&self) -> Option<Duration>;

    /// Resets the connection, as the kernel does when a process with unread data ends.
    fn reset(self: Box<Self>);
}

/// A listening socket.
pub trait Listener {
    /// Accepts the next connection. Returns the connection and the address of its peer.
    ///
    /// # Errors
    /// The errors of accept(2), which [`AcceptFailure`] classifies. The listener can be used after each of them.
    fn poll_accept(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<(Box<dyn Stream>, SocketAddr)>>;

    /// Returns the listener's address, with the chosen port if port 0 was requested.
    fn local_addr(&self) -> SocketAddr;

    /// While `silent`, new connections are neither established nor refused, as with a machine that has failed. For simulated
    /// servers in tests.
    fn set_silent(&mut self, silent: bool);
}

/// The longest datagram between balancers, in bytes (PROTOCOL, 'Between balancers').
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// A socket for datagrams, which may be lost, late, duplicated and out of order.
pub trait Datagrams {
    /// Receives the next datagram. Returns its length and its sender. A datagram longer than [`MAX_DATAGRAM_BYTES`] is
    /// dropped.
    ///
    /// # Errors
    /// The errors of recvfrom(2). The socket can be used after each of them.
    fn poll_receive(
        &mut self,
        cx: &mut Context<'_>,
        into: &mut [u8; MAX_DATAGRAM_BYTES],
    ) -> Poll<io::Result<(usize, SocketAddr)>>;

    /// Sends a datagram without waiting. A datagram for which there is no buffer is lost, as any datagram may be.
    ///
    /// # Errors
    /// The datagram is longer than [`MAX_DATAGRAM_BYTES`] ([`datagram_too_long`]), or was not sent. A datagram that was sent
    /// need not arrive.
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;

    /// Returns the socket's address, with the chosen port if port 0 was requested.
    fn local_addr(&self) -> SocketAddr;
}

/// The network as seen from one machine.
pub trait Network {
    /// Opens a connection, without delays for small writes.
    ///
    /// # Errors
    /// The errors of socket(2) and connect(2). [`is_local`] distinguishes errors of this machine from those of the peer.
    fn connect(&self, to: SocketAddr) -> LocalBoxFuture<'_, io::Result<Box<dyn Stream>>>;

    /// Listens at an address. An address that another listener of this process has just released can be used again at once.
    ///
    /// # Errors
    /// The address is in use, or is none of this machine's.
    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>>;

    /// Opens a socket for datagrams.
    ///
    /// # Errors
    /// The address is in use, or is none of this machine's.
    fn datagrams(&self, at: SocketAddr) -> io::Result<Box<dyn Datagrams>>;

    /// Returns the time since the Unix epoch, by the wall clock. Callers read the wall clock once, and add the elapsed time of
    /// the runtime's clock.
    fn unix_now(&self) -> Duration;
}

/// Accepts the next connection of a listener.
///
/// # Errors
/// See [`Listener::poll_accept`].
pub async fn accept(listener: &mut dyn Listener) -> io::Result<(Box<dyn Stream>, SocketAddr)> {
    std::future::poll_fn(|cx| listener.poll_accept(cx)).await
}

/// Receives the next datagram. Returns its length and its sender.
///
/// # Errors
/// See [`Datagrams::poll_receive`].
pub async fn receive(
    at: &mut dyn Datagrams,
    into: &mut [u8; MAX_DATAGRAM_BYTES],
) -> io::Result<(usize, SocketAddr)> {
    std::future::poll_fn(|cx| at.poll_receive(cx, into)).await
}
