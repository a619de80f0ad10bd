//! The network and the wall clock as an interface, and its implementation by the machine's own TCP and UDP. A program that
//! uses a [`Network`] runs unchanged on a simulated one.
//!
//! Timers are not part of it: everything waits by the runtime's clock (`tokio::time`), which a simulation pauses.
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

/// One connection. Dropped, it is closed in order if nothing is unread, and reset otherwise, as by the kernel.
pub trait Stream: AsyncRead + AsyncWrite + Unpin {
    /// Whether the connection is open and nothing is unread, not even its end.
    fn is_quiet(&self) -> bool;

    /// Whether the peer has closed or reset the connection, or ended its sending. Where the system reports it, also while
    /// earlier bytes are unread.
    fn has_ended(&self) -> bool;

    /// Ready once something is unread, the end of the stream included. Reads nothing.
    fn poll_unread(&mut self, cx: &mut Context<'_>) -> Poll<()>;

    /// How long ago the last bytes were received by the kernel, read or not, if that is known: for a program that may not
    /// have run when they came.
    fn since_last_bytes(&self) -> Option<Duration>;

    /// Resets the connection, as by the death of a process with unread data.
    fn reset(self: Box<Self>);
}

/// A listening socket.
pub trait Listener {
    /// Accepts the next connection. Returns its peer's address too.
    ///
    /// # Errors
    /// Those of accept(2). None of them is a reason to give the listener up. [`AcceptFailure`] says what each means.
    fn poll_accept(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<(Box<dyn Stream>, SocketAddr)>>;

    /// The address that it listens at, with the chosen port if 0 was asked for.
    fn local_addr(&self) -> SocketAddr;

    /// While silent, new connections neither come up nor are refused, as with a machine that has vanished. For stand-ins in
    /// tests.
    fn set_silent(&mut self, silent: bool);
}

/// The longest datagram between balancers, in bytes (PROTOCOL, 'Between balancers').
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// A socket for datagrams, which may be lost, late, duplicated and out of order.
pub trait Datagrams {
    /// Receives the next datagram. Returns its length and its sender. One longer than [`MAX_DATAGRAM_BYTES`] is dropped.
    ///
    /// # Errors
    /// Those of recvfrom(2). None of them is a reason to give the socket up.
    fn poll_receive(
        &mut self,
        cx: &mut Context<'_>,
        into: &mut [u8; MAX_DATAGRAM_BYTES],
    ) -> Poll<io::Result<(usize, SocketAddr)>>;

    /// Sends a datagram without waiting: one for which there is no buffer is lost, as any other may be.
    ///
    /// # Errors
    /// The datagram is longer than [`MAX_DATAGRAM_BYTES`] ([`datagram_too_long`]), or was not sent. Whether one that was sent arrives is not
    /// known.
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;

    /// The address that it receives at, with the chosen port if 0 was asked for.
    fn local_addr(&self) -> SocketAddr;
}

/// The network as seen from one machine.
pub trait Network {
    /// Opens a connection, without delays for small writes.
    ///
    /// # Errors
    /// Those of socket(2) and connect(2). [`is_local`] tells errors of this machine from those of the peer.
    fn connect(&self, to: SocketAddr) -> LocalBoxFuture<'_, io::Result<Box<dyn Stream>>>;

    /// Listens at an address. One that another listener of this process has just left can be used again at once.
    ///
    /// # Errors
    /// The address is in use, or is none of this machine's.
    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>>;

    /// Opens a socket for datagrams.
    ///
    /// # Errors
    /// The address is in use, or is none of this machine's.
    fn datagrams(&self, at: SocketAddr) -> io::Result<Box<dyn Datagrams>>;

    /// The time since the Unix epoch, by the wall clock. To be read once and continued by the runtime's clock.
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
