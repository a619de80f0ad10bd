//! Tests of the UDP implementation on the sockets of the kernel.

use super::*;
use crate::{Network, Tcp, receive};

#[tokio::test]
async fn datagram_arrives_complete_and_a_too_long_one_not_at_all() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (sender, mut receiver) =
        (Tcp.datagrams(any).expect("a port"), Tcp.datagrams(any).expect("another"));
    assert!(Tcp.datagrams(receiver.local_addr()).is_err(), "the address is in use");
    let refused =
        sender.send(&[7; MAX_DATAGRAM_BYTES + 1], receiver.local_addr()).expect_err("too long");
    assert_eq!(refused.kind(), ErrorKind::InvalidInput);
    // Another program's datagram is not subject to the check of `send`.
    let other_program = std::net::UdpSocket::bind(any).expect("a port");
    other_program.send_to(&[8; MAX_DATAGRAM_BYTES + 1], receiver.local_addr()).expect("sent");
    sender.send(&[9; MAX_DATAGRAM_BYTES], receiver.local_addr()).expect("sent");
    sender.send(&[], receiver.local_addr()).expect("sent");
    let mut bytes = [0; MAX_DATAGRAM_BYTES];
    for length in [MAX_DATAGRAM_BYTES, 0] {
        let received = receive(&mut *receiver, &mut bytes).await.expect("a datagram");
        assert_eq!(received, (length, sender.local_addr()));
    }
    assert_eq!(bytes, [9; MAX_DATAGRAM_BYTES]);
}
