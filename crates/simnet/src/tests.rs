//! What programs can tell of a connection, against what the kernel's return.

use super::*;
use hollowpaddle_net::{MAX_DATAGRAM_BYTES, accept, receive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

fn ip(last: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, last])
}

fn fabric(delay: Duration) -> (Rc<dyn Network>, Rc<dyn Network>) {
    let fabric = Fabric::new(Duration::from_secs(1_000_000), move |_, _| delay);
    (fabric.host(ip(1)), fabric.host(ip(2)))
}

const FAR: Duration = Duration::from_millis(7);

#[tokio::test(start_paused = true)]
async fn bytes_take_the_delay_and_come_in_order_and_the_clock_is_the_runtimes() {
    let (a, b) = fabric(FAR);
    let mut listener = b.listen(SocketAddr::new(ip(2), 80)).expect("free");
    assert!(b.listen(SocketAddr::new(ip(2), 80)).is_err(), "taken");
    let from = Instant::now();
    let mut here = a.connect(listener.local_addr()).await.expect("it listens");
    assert_eq!(from.elapsed(), 2 * FAR);
    let (mut there, peer) = accept(&mut *listener).await.expect("waiting");
    assert_eq!(peer.ip(), ip(1));
    let from = Instant::now();
    here.write_all(b"one").await.expect("taken");
    here.write_all(b"two").await.expect("taken");
    assert!(there.is_quiet());
    let mut read = [0; 6];
    there.read_exact(&mut read).await.expect("all of it");
    assert_eq!((&read, from.elapsed()), (b"onetwo", FAR));
    here.write_all(b"three").await.expect("taken");
    sleep(4 * FAR).await;
    assert_eq!(there.since_last_bytes(), Some(3 * FAR), "nobody has read them");
    there.read_exact(&mut read[..5]).await.expect("all of it");
    sleep(FAR).await;
    assert_eq!(there.since_last_bytes(), Some(4 * FAR));
    assert_eq!(here.since_last_bytes(), None);
    assert_eq!(a.unix_now(), Duration::from_secs(1_000_000) + 8 * FAR);
    here.shutdown().await.expect("half of it");
    assert_eq!(there.read(&mut read).await.expect("an orderly end"), 0);
    there.write_all(b"still").await.expect("the other half is open");
    assert_eq!(here.read(&mut read).await.expect("it comes"), 5);
}

#[tokio::test(start_paused = true)]
async fn what_is_dropped_with_something_unread_resets_and_else_ends_in_order() {
    for unread in [false, true] {
        let (a, b) = fabric(FAR);
        let mut listener = b.listen(SocketAddr::new(ip(2), 80)).expect("free");
        let mut here = a.connect(listener.local_addr()).await.expect("it listens");
        let (mut there, _) = accept(&mut *listener).await.expect("waiting");
        if unread {
            here.write_all(b"x").await.expect("taken");
        }
        there.write_all(b"last").await.expect("taken");
        drop(there);
        assert!(!here.has_ended());
        sleep(FAR).await;
        assert!(here.has_ended() && !here.is_quiet(), "behind what is unread");
        let mut read = [0; 8];
        assert_eq!(here.read(&mut read).await.expect("what was sent before"), 4);
        let end = here.read(&mut read).await;
        assert_eq!(end.is_err(), unread);
        if !unread {
            // The first write goes out, and is answered by a reset.
            here.write_all(b"x").await.expect("taken");
            sleep(2 * FAR).await;
            assert!(here.write_all(b"x").await.is_err());
        }
    }
}

#[tokio::test(start_paused = true)]
async fn nobody_listens_or_nobody_answers_or_the_process_died() {
    let (a, b) = fabric(FAR);
    let at = SocketAddr::new(ip(2), 80);
    let refused = a.connect(at).await.err().expect("nobody listens");
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    let mut listener = b.listen(at).expect("free");
    listener.set_silent(true);
    assert!(timeout(Duration::from_secs(9), a.connect(at)).await.is_err());
    listener.set_silent(false);
    let mut here = a.connect(at).await.expect("it is back");
    drop(listener);
    assert!(here.read(&mut [0]).await.is_err(), "never accepted");
    let mut listener = b.listen(at).expect("free again");
    let mut here = a.connect(at).await.expect("it listens");
    let (there, _) = accept(&mut *listener).await.expect("waiting");
    there.reset();
    let end = here.read(&mut [0]).await.expect_err("no orderly end");
    assert_eq!(end.kind(), ErrorKind::ConnectionReset);
}

#[tokio::test(start_paused = true)]
async fn a_reader_that_does_not_read_holds_its_writer_up() {
    let (a, b) = fabric(Duration::ZERO);
    let mut listener = b.listen(SocketAddr::new(ip(2), 80)).expect("free");
    let mut here = a.connect(listener.local_addr()).await.expect("it listens");
    let (mut there, _) = accept(&mut *listener).await.expect("waiting");
    let much = vec![7; 1 << 20];
    let mut got = Vec::new();
    assert!(timeout(Duration::from_secs(1), here.write_all(&much)).await.is_err(), "bounded");
    let read = async {
        while got.len() < 1 << 18 {
            there.read_buf(&mut got).await.expect("more");
        }
    };
    read.await;
    assert!(timeout(Duration::from_secs(1), here.write_all(b"x")).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn datagrams_take_the_delay_and_whatever_route_they_are_given() {
    let fabric = Fabric::new(Duration::ZERO, |_, _| FAR);
    let (a, b) = (fabric.host(ip(1)), fabric.host(ip(2)));
    let at = |last, port| SocketAddr::new(ip(last), port);
    let here = a.datagrams(at(1, 0)).expect("free");
    let mut there = b.datagrams(at(2, 9)).expect("free");
    assert!(b.datagrams(at(2, 9)).is_err(), "taken");
    assert!(here.send(&[0; MAX_DATAGRAM_BYTES + 1], at(2, 9)).is_err(), "too long");
    let mut bytes = [0; MAX_DATAGRAM_BYTES];
    let from = Instant::now();
    here.send(b"one", at(2, 9)).expect("sent");
    let came = receive(&mut *there, &mut bytes).await.expect("it comes");
    assert_eq!((came, from.elapsed()), ((3, here.local_addr()), FAR));
    // The first copy is later than the second, and says that it is somebody else's.
    fabric.route_datagrams(Box::new(move |d| {
        let other = Datagram { from: at(9, 9), ..d.clone() };
        vec![(Duration::from_millis(5), other), (Duration::ZERO, d)]
    }));
    here.send(b"two", at(2, 9)).expect("sent");
    for (sender, after) in [(here.local_addr(), FAR), (at(9, 9), FAR + Duration::from_millis(5))] {
        let from = from + FAR;
        let came = receive(&mut *there, &mut bytes).await.expect("it comes");
        assert_eq!((came, from.elapsed()), ((3, sender), after));
    }
    // What was under way to one that has ended, and what comes beyond the room there is, is lost.
    fabric.route_datagrams(Box::new(|d| vec![(Duration::ZERO, d)]));
    here.send(b"old", at(2, 9)).expect("sent");
    drop(there);
    let mut there = b.datagrams(at(2, 9)).expect("free again");
    for n in 0..300u16 {
        here.send(&n.to_be_bytes(), at(2, 9)).expect("sent");
    }
    let mut came = 0;
    while let Ok(got) = timeout(FAR * 2, receive(&mut *there, &mut bytes)).await {
        assert_eq!((got.expect("it comes").0, &bytes[..2]), (2, &u16::to_be_bytes(came)[..]));
        came += 1;
    }
    assert_eq!(came, 256);
}

#[tokio::test(start_paused = true)]
async fn a_machines_wall_clock_may_step_and_no_other_does() {
    let fabric = Fabric::new(Duration::from_secs(1000), |_, _| FAR);
    let (a, b) = (fabric.host(ip(1)), fabric.host(ip(2)));
    fabric.step_clock(ip(1), -400_000_000);
    assert_eq!((a.unix_now().as_secs(), b.unix_now().as_secs()), (600, 1000));
    fabric.step_clock(ip(1), 500_000_000);
    assert_eq!((a.unix_now().as_secs(), b.unix_now().as_secs()), (1100, 1000));
}
