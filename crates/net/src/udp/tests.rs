//! The UDP implementation against what the kernel does.

use super::*;
use crate::{Network, Tcp, receive};

#[tokio::test]
async fn datagram_arrives_complete_and_a_too_long_one_not_at_all() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (here, mut there) =
        (Tcp.datagrams(any).expect("a port"), Tcp.datagrams(any).expect("another"));
    assert!(Tcp.datagrams(there.local_addr()).is_err(), "taken");
    let refused =
        here.send(&[7; MAX_DATAGRAM_BYTES + 1], there.local_addr()).expect_err("too long");
    assert_eq!(refused.kind(), ErrorKind::InvalidInput);
    // From another program, past our own check.
    let stranger = std::net::UdpSocket::bind(any).expect("a port");
    stranger.send_to(&[8; MAX_DATAGRAM_BYTES + 1], there.local_addr()).expect("sent");
    here.send(&[9; MAX_DATAGRAM_BYTES], there.local_addr()).expect("sent");
    here.send(&[], there.local_addr()).expect("sent");
    let mut bytes = [0; MAX_DATAGRAM_BYTES];
    for length in [MAX_DATAGRAM_BYTES, 0] {
        let received = receive(&mut *there, &mut bytes).await.expect("it comes");
        assert_eq!(received, (length, here.local_addr()));
    }
    assert_eq!(bytes, [9; MAX_DATAGRAM_BYTES]);
}
