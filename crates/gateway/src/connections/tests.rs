//! Tests which connections are evicted, and which time out.

use std::net::SocketAddr;
use std::time::Duration;

use hollowpaddle_net::accept;
use hollowpaddle_simnet::Fabric;
use tokio::io::AsyncWriteExt;
use tokio::time::{advance, timeout};

use super::connection::{
    CLIENT_STALL_TIMEOUT, IDLE_TIMEOUT, MIN_IDLE_BEFORE_EVICTION, MIN_SILENCE_BEFORE_EVICTION,
};
use super::*;
use crate::stream::ObservedStream;

async fn is_evicted(slot: &ConnectionSlot) -> bool {
    timeout(Duration::ZERO, slot.connection().evicted()).await.is_ok()
}

#[tokio::test(start_paused = true)]
async fn longest_idle_connection_is_evicted_and_none_with_an_open_request() {
    let all = Connections::new(3, 3);
    let slots: Vec<ConnectionSlot> =
        (0..3).map(|_| all.open(Traffic::default(), Instant::now())).collect();
    assert!(all.is_full());
    slots[0].connection().start_request();
    assert!(!all.evict());
    assert!(
        !is_evicted(&slots[1]).await && !is_evicted(&slots[2]).await,
        "new connections have had no time to send a request"
    );
    advance(MIN_SILENCE_BEFORE_EVICTION).await;
    slots[1].finish_request();
    assert!(all.evict());
    assert!(
        is_evicted(&slots[2]).await && !is_evicted(&slots[1]).await && !is_evicted(&slots[0]).await
    );
    drop(slots);
    assert_eq!(all.len(), 0);
}

#[tokio::test(start_paused = true)]
async fn longest_idle_connections_close_while_many_are_in_use() {
    let all = Connections::new(100, 4);
    let mut slots = Vec::new();
    for _ in 0..10 {
        let slot = all.open(Traffic::default(), Instant::now());
        slot.connection().start_request();
        advance(Duration::from_millis(1)).await;
        slot.finish_request();
        slots.push(slot);
    }
    for (i, slot) in slots.iter().enumerate() {
        assert_eq!(is_evicted(slot).await, i < 6, "connection {i}");
    }
}

#[tokio::test(start_paused = true)]
async fn request_that_crosses_with_an_eviction_is_served() {
    let all = Connections::new(1, 1);
    let slot = all.open(Traffic::default(), Instant::now());
    slot.finish_request();
    advance(MIN_IDLE_BEFORE_EVICTION).await;
    all.evict();
    slot.connection().start_request();
    assert!(!is_evicted(&slot).await);
    slot.finish_request();
    assert!(!is_evicted(&slot).await);
}

#[tokio::test(start_paused = true)]
async fn no_second_connection_is_evicted_before_the_first_has_closed() {
    let all = Connections::new(2, 2);
    let now = Instant::now();
    let mut slots = vec![
        all.open(Traffic::default(), now),
        all.open(Traffic::default(), now + Duration::from_millis(1)),
    ];
    advance(FIRST_BYTES_TIME + Duration::from_millis(1)).await;
    assert!(all.evict() && all.evict());
    assert!(is_evicted(&slots[0]).await && !is_evicted(&slots[1]).await);
    slots.remove(0);
    assert!(all.evict());
    assert!(is_evicted(&slots[0]).await);
}

// Failure: a connection whose first request had arrived, but had not been read, counted as silent.
#[tokio::test(start_paused = true)]
async fn connection_with_unread_bytes_is_not_evicted() {
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    let host = Fabric::new(Duration::ZERO, |_, _| Duration::ZERO).host(address.ip());
    let mut listener = host.listen(address).expect("a free port");
    let mut connect = async || {
        let (client, accepted) = tokio::join!(host.connect(address), accept(&mut *listener));
        (client.expect("connected"), accepted.expect("accepted").0)
    };
    let (mut asking_client, asking) = connect().await;
    let (_silent_client, silent) = connect().await;
    let (_asking_io, _asking_stream, asking) = ObservedStream::new(asking);
    let (_silent_io, _silent_stream, silent) = ObservedStream::new(silent);

    let all = Connections::new(2, 2);
    let asking = all.open(asking, Instant::now());
    advance(Duration::from_millis(1)).await;
    let silent = all.open(silent, Instant::now());
    asking_client.write_all(b"GET").await.expect("written");
    advance(FIRST_BYTES_TIME).await;
    assert!(all.evict());
    assert!(is_evicted(&silent).await && !is_evicted(&asking).await);
    drop(silent);
    assert!(!all.evict(), "the client that asks is silent for longest");
}

// Failure: the first wait consumed the notification, so that the task that had to close the connection waited for another one.
#[tokio::test(start_paused = true)]
async fn eviction_completes_every_wait_for_it() {
    let all = Connections::new(1, 1);
    let slot = all.open(Traffic::default(), Instant::now());
    advance(MIN_SILENCE_BEFORE_EVICTION).await;
    all.evict();
    assert!(timeout(Duration::ZERO, slot.connection().overdue()).await.is_ok());
    assert!(is_evicted(&slot).await);
}

// Failure: the notification of an eviction that a request had cancelled ended the close behind that request's response.
#[tokio::test(start_paused = true)]
async fn cancelled_eviction_does_not_end_a_later_close() {
    let all = Connections::new(1, 1);
    let slot = all.open(Traffic::default(), Instant::now());
    slot.finish_request();
    advance(MIN_IDLE_BEFORE_EVICTION).await;
    all.evict();
    slot.connection().start_request();
    slot.connection().start_closing();
    assert!(!is_evicted(&slot).await);
    advance(MIN_SILENCE_BEFORE_EVICTION).await;
    all.evict();
    assert!(is_evicted(&slot).await, "a closing connection can be evicted");
}

#[tokio::test(start_paused = true)]
async fn streamed_response_lasts_as_long_as_its_client_reads() {
    let (all, traffic) = (Connections::new(1, 1), Traffic::default());
    let slot = all.open(traffic.clone(), Instant::now());
    slot.connection().start_request();
    let response = slot.start_streaming();
    let overdue = |within| timeout(within, slot.connection().overdue());
    for _ in 0..3 {
        traffic.count_written(1);
        assert!(
            overdue(CLIENT_STALL_TIMEOUT - Duration::from_millis(1)).await.is_err(),
            "the client still reads"
        );
        all.evict();
        assert!(!is_evicted(&slot).await);
    }
    assert!(overdue(Duration::from_millis(2)).await.is_ok(), "the client has stalled");
    assert!(all.any_streaming());
    drop(response);
    assert!(!all.any_streaming());
    assert!(
        overdue(IDLE_TIMEOUT - Duration::from_millis(1)).await.is_err(),
        "idle timeout counts from the end of the response"
    );
    assert!(overdue(Duration::from_millis(2)).await.is_ok());
}
