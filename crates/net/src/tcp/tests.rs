//! Tests of the TCP implementation on the sockets of the kernel.

use super::*;
use crate::accept;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[tokio::test]
async fn stream_is_quiet_until_bytes_or_a_reset_arrive() {
    let mut listener = Tcp.listen(any()).expect("a port");
    let mut client = Tcp.connect(listener.local_addr()).await.expect("it listens");
    let (mut server, _) = accept(&mut *listener).await.expect("accepted");
    assert!(client.is_quiet());
    server.write_all(b"x").await.expect("written");
    let mut byte = [0; 1];
    client.read_exact(&mut byte).await.expect("a byte");
    assert!(client.is_quiet());
    if cfg!(target_os = "linux") {
        // Reading the bytes does not change the time since they arrived.
        let waits = Duration::from_millis(200);
        tokio::time::sleep(waits).await;
        assert!(
            client.since_last_bytes().expect("known on Linux") + Duration::from_millis(20) >= waits
        );
        server.write_all(b"y").await.expect("written");
        client.read_exact(&mut byte).await.expect("a byte");
        assert!(client.since_last_bytes().expect("known on Linux") < waits);
    }
    assert!(!client.has_ended());
    server.reset();
    let end = client.read(&mut byte).await.expect_err("no orderly end");
    assert_eq!(end.kind(), ErrorKind::ConnectionReset);
    assert!(!client.is_quiet() && client.has_ended());
}

#[tokio::test]
async fn end_is_detected_behind_unread_bytes() {
    let mut listener = Tcp.listen(any()).expect("a port");
    for (reset, unread) in [(false, false), (false, true), (true, false), (true, true)] {
        let mut client = Tcp.connect(listener.local_addr()).await.expect("it listens");
        let (mut server, _) = accept(&mut *listener).await.expect("accepted");
        assert!(!client.has_ended());
        if unread {
            server.write_all(b"unread").await.expect("written");
            // Waits until the poller has reported the bytes.
            tokio::time::sleep(Duration::from_millis(1)).await;
            assert!(!client.has_ended() && !client.is_quiet());
        }
        if reset {
            server.reset()
        } else {
            drop(server)
        }
        let from = std::time::Instant::now();
        while !client.has_ended() {
            assert!(from.elapsed() < Duration::from_secs(20), "{reset} {unread}");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        if unread {
            let mut bytes = [0; 6];
            let read = client.read_exact(&mut bytes).await;
            assert!(
                reset || read.is_ok_and(|_| &bytes == b"unread"),
                "the check has read no bytes"
            );
        }
    }
}

#[tokio::test]
async fn inherited_socket_must_listen() {
    use std::os::fd::IntoRawFd;
    let listener = std::net::TcpListener::bind(any()).expect("a port");
    let address = listener.local_addr().expect("bound");
    let stream = std::net::TcpStream::connect(address).expect("it listens");
    assert!(Tcp::inherited(stream.into_raw_fd()).is_err(), "a connection is rejected");
    let file = std::fs::File::open("/dev/null").expect("there");
    let file = file.into_raw_fd();
    assert!(Tcp::inherited(file).is_err(), "a file is rejected");
    assert!(Tcp::inherited(1 << 20).is_err(), "a descriptor that is not open is rejected");
    let mut inherited = Tcp::inherited(listener.into_raw_fd()).expect("a listening socket");
    assert_eq!(inherited.local_addr(), address);
    accept(&mut *inherited).await.expect("the waiting connection");
}

#[tokio::test]
async fn silent_listener_neither_accepts_nor_refuses_until_silence_ends() {
    let mut listener = Tcp.listen(any()).expect("a port");
    let address = listener.local_addr();
    listener.set_silent(true);
    let connect = || tokio::time::timeout(Duration::from_millis(300), Tcp.connect(address));
    // Repeated calls of accept, as simulated servers make them, must not free places in the backlog.
    for _ in 0..3 {
        let accepting = tokio::time::timeout(Duration::ZERO, accept(&mut *listener));
        assert!(accepting.await.is_err(), "accepted");
        assert!(connect().await.is_err(), "the connection was established or refused");
    }
    listener.set_silent(false);
    // The closed filler connections are still in the backlog, before the new connection.
    let wait = Duration::from_secs(20);
    tokio::time::timeout(wait, Tcp.connect(address)).await.expect("in time").expect("connected");
    drop(listener);
    assert!(Tcp.connect(address).await.is_err());
    Tcp.listen(address).expect("the address can be used again");
}
