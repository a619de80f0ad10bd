//! The machine's own network: UDP datagrams.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::ReadBuf;
use tokio::net::UdpSocket;

use crate::{Datagrams, MAX_DATAGRAM_BYTES};

/// A UDP socket.
pub(crate) struct Udp {
    socket: UdpSocket,
    address: SocketAddr,
}

impl Udp {
    /// Binds a socket to this address.
    pub(crate) fn bind(at: SocketAddr) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind(at)?;
        socket.set_nonblocking(true)?;
        let socket = UdpSocket::from_std(socket)?;
        Ok(Self { address: socket.local_addr()?, socket })
    }
}

impl Datagrams for Udp {
    fn poll_receive(
        &mut self,
        cx: &mut Context<'_>,
        into: &mut [u8; MAX_DATAGRAM_BYTES],
    ) -> Poll<io::Result<(usize, SocketAddr)>> {
        // The additional byte shows that a datagram is too long, since the kernel truncates it to the buffer.
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let mut buf = ReadBuf::new(&mut bytes);
            let from = ready!(self.socket.poll_recv_from(cx, &mut buf))?;
            let received = buf.filled();
            if let Some(into) = into.get_mut(..received.len()) {
                into.copy_from_slice(received);
                return Poll::Ready(Ok((received.len(), from)));
            }
        }
    }

    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(datagram_too_long(bytes.len()));
        }
        // The call bypasses the runtime, which would first wait until the socket is writable.
        SockRef::from(&self.socket).send_to(bytes, &to.into()).map(|_| ())
    }

    fn local_addr(&self) -> SocketAddr {
        self.address
    }
}

/// Returns the error of [`Datagrams::send`] for a datagram of this length in bytes, which is too long.
pub fn datagram_too_long(bytes: usize) -> io::Error {
    let message = format!(
        "a datagram of {bytes} bytes, where {MAX_DATAGRAM_BYTES} is the maximum; send less at a time"
    );
    io::Error::new(ErrorKind::InvalidInput, message)
}

#[cfg(test)]
mod tests;
