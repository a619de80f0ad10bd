//! The TCP implementation against what the kernel does.

use super::*;
use crate::accept;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[tokio::test]
async fn stream_is_quiet_until_bytes_or_a_reset_arrive() {
    let mut listener = Tcp.listen(any()).expect("a port");
    let mut here = Tcp.connect(listener.local_addr()).await.expect("it listens");
    let (mut there, _) = accept(&mut *listener).await.expect("accepted");
    assert!(here.is_quiet());
    there.write_all(b"x").await.expect("written");
    let mut byte = [0; 1];
    here.read_exact(&mut byte).await.expect("it comes");
    assert!(here.is_quiet());
    if cfg!(target_os = "linux") {
        // Read or not, what came is as old as it is.
        let waits = Duration::from_millis(200);
        tokio::time::sleep(waits).await;
        assert!(here.since_last_bytes().expect("told") + Duration::from_millis(20) >= waits);
        there.write_all(b"y").await.expect("written");
        here.read_exact(&mut byte).await.expect("it comes");
        assert!(here.since_last_bytes().expect("told") < waits);
    }
    assert!(!here.has_ended());
    there.reset();
    let end = here.read(&mut byte).await.expect_err("no orderly end");
    assert_eq!(end.kind(), ErrorKind::ConnectionReset);
    assert!(!here.is_quiet() && here.has_ended());
}

#[tokio::test]
async fn end_is_seen_behind_unread_bytes() {
    let mut listener = Tcp.listen(any()).expect("a port");
    for (reset, unread) in [(false, false), (false, true), (true, false), (true, true)] {
        let mut here = Tcp.connect(listener.local_addr()).await.expect("it listens");
        let (mut there, _) = accept(&mut *listener).await.expect("accepted");
        assert!(!here.has_ended());
        if unread {
            there.write_all(b"unread").await.expect("written");
            // Until the poller has told of the bytes.
            tokio::time::sleep(Duration::from_millis(1)).await;
            assert!(!here.has_ended() && !here.is_quiet());
        }
        if reset {
            there.reset()
        } else {
            drop(there)
        }
        let from = std::time::Instant::now();
        while !here.has_ended() {
            assert!(from.elapsed() < Duration::from_secs(20), "{reset} {unread}");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        if unread {
            let mut bytes = [0; 6];
            let read = here.read_exact(&mut bytes).await;
            assert!(reset || read.is_ok_and(|_| &bytes == b"unread"), "nothing was taken");
        }
    }
}

#[tokio::test]
async fn inherited_socket_must_listen() {
    use std::os::fd::IntoRawFd;
    let listener = std::net::TcpListener::bind(any()).expect("a port");
    let address = listener.local_addr().expect("bound");
    let stream = std::net::TcpStream::connect(address).expect("it listens");
    assert!(Tcp::inherited(stream.into_raw_fd()).is_err(), "a connection");
    let file = std::fs::File::open("/dev/null").expect("there");
    let file = file.into_raw_fd();
    assert!(Tcp::inherited(file).is_err(), "a file");
    assert!(Tcp::inherited(1 << 20).is_err(), "nothing");
    let mut inherited = Tcp::inherited(listener.into_raw_fd()).expect("a listening socket");
    assert_eq!(inherited.local_addr(), address);
    accept(&mut *inherited).await.expect("the one that waits");
}

#[tokio::test]
async fn hushed_listener_neither_accepts_nor_refuses_until_it_is_back() {
    let mut listener = Tcp.listen(any()).expect("a port");
    let address = listener.local_addr();
    listener.set_silent(true);
    let try_it = || tokio::time::timeout(Duration::from_millis(300), Tcp.connect(address));
    // Whoever accepts all the time, as a stand-in does, must not make room again.
    for _ in 0..3 {
        let accepting = tokio::time::timeout(Duration::ZERO, accept(&mut *listener));
        assert!(accepting.await.is_err(), "accepted");
        assert!(try_it().await.is_err(), "it came up or was refused");
    }
    listener.set_silent(false);
    // The fillers that were let go are still in line; whoever comes now is behind them.
    let wait = Duration::from_secs(20);
    tokio::time::timeout(wait, Tcp.connect(address)).await.expect("in time").expect("taken");
    drop(listener);
    assert!(Tcp.connect(address).await.is_err());
    Tcp.listen(address).expect("the address can be taken again");
}
