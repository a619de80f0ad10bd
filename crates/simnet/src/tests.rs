//! Compares the results of calls on simulated connections with those of the kernel's.

use super::*;
use hollowpaddle_net::{MAX_DATAGRAM_BYTES, accept, receive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

fn ip(last: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, last])
}

fn connected_hosts(delay: Duration) -> (Rc<dyn Network>, Rc<dyn Network>) {
    let fabric = Fabric::new(Duration::from_secs(1_000_000), move |_, _| delay);
    (fabric.host(ip(1)), fabric.host(ip(2)))
}

const DELAY: Duration = Duration::from_millis(7);

#[tokio::test(start_paused = true)]
async fn bytes_arrive_in_order_after_the_delay_by_the_clock_of_the_runtime() {
    let (a, b) = connected_hosts(DELAY);
    let mut listener = b.listen(SocketAddr::new(ip(2), 80)).expect("address is free");
    assert!(b.listen(SocketAddr::new(ip(2), 80)).is_err(), "address in use");
    let start = Instant::now();
    let mut client = a.connect(listener.local_addr()).await.expect("listener accepts connections");
    assert_eq!(start.elapsed(), 2 * DELAY);
    let (mut server, peer) = accept(&mut *listener).await.expect("connection is pending");
    assert_eq!(peer.ip(), ip(1));
    let start = Instant::now();
    client.write_all(b"one").await.expect("bytes are buffered");
    client.write_all(b"two").await.expect("bytes are buffered");
    assert!(server.is_quiet());
    let mut read = [0; 6];
    server.read_exact(&mut read).await.expect("all bytes arrive");
    assert_eq!((&read, start.elapsed()), (b"onetwo", DELAY));
    client.write_all(b"three").await.expect("bytes are buffered");
    sleep(4 * DELAY).await;
    assert_eq!(
        server.since_last_bytes(),
        Some(3 * DELAY),
        "counted from the arrival of unread bytes"
    );
    server.read_exact(&mut read[..5]).await.expect("all bytes arrive");
    sleep(DELAY).await;
    assert_eq!(server.since_last_bytes(), Some(4 * DELAY));
    assert_eq!(client.since_last_bytes(), None);
    assert_eq!(a.unix_now(), Duration::from_secs(1_000_000) + 8 * DELAY);
    client.shutdown().await.expect("write half closes");
    assert_eq!(server.read(&mut read).await.expect("an orderly end"), 0);
    server.write_all(b"still").await.expect("the other half is open");
    assert_eq!(client.read(&mut read).await.expect("data arrives"), 5);
}

#[tokio::test(start_paused = true)]
async fn dropping_an_end_resets_if_bytes_are_unread_and_otherwise_closes_orderly() {
    for has_unread in [false, true] {
        let (a, b) = connected_hosts(DELAY);
        let mut listener = b.listen(SocketAddr::new(ip(2), 80)).expect("address is free");
        let mut client =
            a.connect(listener.local_addr()).await.expect("listener accepts connections");
        let (mut server, _) = accept(&mut *listener).await.expect("connection is pending");
        if has_unread {
            client.write_all(b"x").await.expect("bytes are buffered");
        }
        server.write_all(b"last").await.expect("bytes are buffered");
        drop(server);
        assert!(!client.has_ended());
        sleep(DELAY).await;
        assert!(client.has_ended() && !client.is_quiet(), "the end has arrived after unread bytes");
        let mut read = [0; 8];
        assert_eq!(client.read(&mut read).await.expect("bytes sent before the end arrive"), 4);
        let end = client.read(&mut read).await;
        assert_eq!(end.is_err(), has_unread);
        if !has_unread {
            // The first write succeeds, and the other end answers it by a reset.
            client.write_all(b"x").await.expect("bytes are buffered");
            sleep(2 * DELAY).await;
            assert!(client.write_all(b"x").await.is_err());
        }
    }
}

#[tokio::test(start_paused = true)]
async fn connections_are_refused_time_out_or_are_reset_according_to_the_listener() {
    let (a, b) = connected_hosts(DELAY);
    let at = SocketAddr::new(ip(2), 80);
    let refused = a.connect(at).await.err().expect("no listener is bound");
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    let mut listener = b.listen(at).expect("address is free");
    listener.set_silent(true);
    assert!(timeout(Duration::from_secs(9), a.connect(at)).await.is_err());
    listener.set_silent(false);
    let mut client = a.connect(at).await.expect("listener accepts connections again");
    drop(listener);
    assert!(client.read(&mut [0]).await.is_err(), "connection was never accepted");
    let mut listener = b.listen(at).expect("address is free again");
    let mut client = a.connect(at).await.expect("listener accepts connections");
    let (server, _) = accept(&mut *listener).await.expect("connection is pending");
    server.reset();
    let end = client.read(&mut [0]).await.expect_err("no orderly end");
    assert_eq!(end.kind(), ErrorKind::ConnectionReset);
}

#[tokio::test(start_paused = true)]
async fn a_writer_blocks_while_its_reader_does_not_read() {
    let (a, b) = connected_hosts(Duration::ZERO);
    let mut listener = b.listen(SocketAddr::new(ip(2), 80)).expect("address is free");
    let mut client = a.connect(listener.local_addr()).await.expect("listener accepts connections");
    let (mut server, _) = accept(&mut *listener).await.expect("connection is pending");
    let payload = vec![7; 1 << 20];
    let mut received = Vec::new();
    assert!(
        timeout(Duration::from_secs(1), client.write_all(&payload)).await.is_err(),
        "buffer is bounded"
    );
    let read = async {
        while received.len() < 1 << 18 {
            server.read_buf(&mut received).await.expect("more bytes arrive");
        }
    };
    read.await;
    assert!(timeout(Duration::from_secs(1), client.write_all(b"x")).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn datagrams_arrive_after_the_delay_as_the_route_decides() {
    let fabric = Fabric::new(Duration::ZERO, |_, _| DELAY);
    let (a, b) = (fabric.host(ip(1)), fabric.host(ip(2)));
    let at = |last, port| SocketAddr::new(ip(last), port);
    let client = a.datagrams(at(1, 0)).expect("address is free");
    let mut server = b.datagrams(at(2, 9)).expect("address is free");
    assert!(b.datagrams(at(2, 9)).is_err(), "address in use");
    assert!(client.send(&[0; MAX_DATAGRAM_BYTES + 1], at(2, 9)).is_err(), "datagram is too long");
    let mut bytes = [0; MAX_DATAGRAM_BYTES];
    let start = Instant::now();
    client.send(b"one", at(2, 9)).expect("datagram is sent");
    let received = receive(&mut *server, &mut bytes).await.expect("data arrives");
    assert_eq!((received, start.elapsed()), ((3, client.local_addr()), DELAY));
    // The first copy arrives after the second, and carries another sender's address.
    fabric.route_datagrams(Box::new(move |d| {
        let other = Datagram { from: at(9, 9), ..d.clone() };
        vec![(Duration::from_millis(5), other), (Duration::ZERO, d)]
    }));
    client.send(b"two", at(2, 9)).expect("datagram is sent");
    for (sender, after) in
        [(client.local_addr(), DELAY), (at(9, 9), DELAY + Duration::from_millis(5))]
    {
        let start = start + DELAY;
        let received = receive(&mut *server, &mut bytes).await.expect("data arrives");
        assert_eq!((received, start.elapsed()), ((3, sender), after));
    }
    // Datagrams in flight to a closed socket are lost, and so are those that exceed the capacity of the inbox.
    fabric.route_datagrams(Box::new(|d| vec![(Duration::ZERO, d)]));
    client.send(b"old", at(2, 9)).expect("datagram is sent");
    drop(server);
    let mut server = b.datagrams(at(2, 9)).expect("address is free again");
    for n in 0..300u16 {
        client.send(&n.to_be_bytes(), at(2, 9)).expect("datagram is sent");
    }
    let mut received = 0;
    while let Ok(result) = timeout(DELAY * 2, receive(&mut *server, &mut bytes)).await {
        assert_eq!(
            (result.expect("data arrives").0, &bytes[..2]),
            (2, &u16::to_be_bytes(received)[..])
        );
        received += 1;
    }
    assert_eq!(received, 256);
}

#[tokio::test(start_paused = true)]
async fn a_wall_clock_step_affects_one_machine_only() {
    let fabric = Fabric::new(Duration::from_secs(1000), |_, _| DELAY);
    let (a, b) = (fabric.host(ip(1)), fabric.host(ip(2)));
    fabric.step_clock(ip(1), -400_000_000);
    assert_eq!((a.unix_now().as_secs(), b.unix_now().as_secs()), (600, 1000));
    fabric.step_clock(ip(1), 500_000_000);
    assert_eq!((a.unix_now().as_secs(), b.unix_now().as_secs()), (1100, 1000));
}
