//! The memory of the daemon while hundreds of clients send slowly or stop within a request.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::start;
use hollowpaddle_rehearsal::scripted::*;
use serde_json::json;

const MEMORY_MB: usize = 32;
const CLIENTS: usize = 340;
/// As many as the descriptors allow, and more than the memory limit allows.
const MANY_CLIENTS: usize = 490;
/// How long the clients take for their requests, so that all are in progress at the same time.
const SEND_TIME: Duration = Duration::from_secs(3);
const SIDE_REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// The most memory that the process has had, in KiB.
fn peak_kib(node: &Node) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id()));
    let status = status.expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("the peak");
    line.split_whitespace().nth(1).expect("a size").parse().expect("a number")
}

/// A request that is sent in turn with those of the other clients, a piece at a time.
struct Sender {
    stream: TcpStream,
    text: Vec<u8>,
    sent: usize,
}

impl Sender {
    /// Sends the next piece, if the connection takes it.
    fn send_piece(&mut self, piece: usize) {
        let end = self.text.len().min(self.sent + piece);
        match self.stream.write(&self.text[self.sent..end]) {
            Ok(count) => self.sent += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            // The daemon has closed the connection.
            Err(_) => self.sent = self.text.len(),
        }
    }
}

/// Has this number of clients send `text` behind a head of their own, `piece` bytes at a time, while another client asks. Returns the peak memory in KiB.
fn peak_while_sending(clients: usize, text: &str, piece: usize) -> usize {
    let upstream = Upstream::start(|_| ok("ok"));
    let mut config = config(members(&[&upstream]));
    config["limits"]["memory_mb"] = json!(MEMORY_MB);
    let node = start(&config);
    let is_over = Arc::new(AtomicBool::new(false));
    let side = thread::spawn({
        let (address, is_over) = (node.address, is_over.clone());
        move || ask_until(address, &is_over)
    });
    let connect = |number| {
        let stream = TcpStream::connect(node.address).expect("the backlog has room");
        stream.set_nonblocking(true).expect("a socket");
        Sender { stream, text: (head(number) + text).into_bytes(), sent: 0 }
    };
    let mut senders: Vec<Sender> = (0..clients).map(connect).collect();
    let from = Instant::now();
    let pieces = text.len().div_ceil(piece) as u32;
    for number in 1..=pieces {
        for sender in &mut senders {
            sender.send_piece(piece);
        }
        thread::sleep((SEND_TIME * number / pieces).saturating_sub(from.elapsed()));
    }
    is_over.store(true, Ordering::Relaxed);
    side.join().expect("each request is answered");
    peak_kib(&node)
}

/// Asks until `is_over`. Each request has to be served or rejected. A request that crosses the close of the idle connection is
/// sent once more on a new one (PROTOCOL).
fn ask_until(address: SocketAddr, is_over: &AtomicBool) {
    let mut client = Client::to(address);
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let request = read(&format!("side-{number}"), 2000);
        let first_answer = client.try_send(&request).and_then(|()| client.answer());
        let answer = first_answer.unwrap_or_else(|| {
            client = Client::to(address);
            client.ask(&request)
        });
        assert!([200, 503].contains(&answer.status()), "{}", answer.status());
        if answer.header("connection") == "close" {
            client = Client::to(address);
        }
        thread::sleep(SIDE_REQUEST_INTERVAL);
    }
}

/// Returns the head of a request of this client, without its last line.
fn head(client: usize) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r{client}\r\nX-Class: alarm\r\nX-Deadline-Ms: 5000\r\n"
    )
}

/// Returns the rest of a request with a body of 60 kB in chunks of `chunk` bytes.
fn chunked(chunk: usize) -> String {
    let piece = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
    let body = piece.repeat(60_000 / chunk);
    format!("Transfer-Encoding: chunked\r\n\r\n{body}0\r\n\r\n")
}

// Failure: bodies in small chunks took more than the memory limit, since they counted by what was received and not by what was
// allocated, and each connection buffered its bytes a second time and kept a copy of its head.
#[test]
fn hundreds_of_bodies_in_small_chunks_stay_within_the_memory_limit() {
    let mut peaks = Vec::new();
    for (chunk, piece) in [(1, 512), (3, 1024), (4, 2048), (12, 4096), (16, 2048)] {
        peaks.push((chunk, peak_while_sending(CLIENTS, &chunked(chunk), piece)));
    }
    println!("bytes in a chunk and peak in KiB: {peaks:?}");
    assert!(peaks.iter().all(|(_, peak)| *peak <= MEMORY_MB << 10), "{peaks:?}");
}

// Guards against heads and bodies that clients do not complete.
#[test]
fn hundreds_of_requests_that_stop_halfway_stay_within_the_memory_limit() {
    let fields = "a:b\r\n".repeat(3000);
    let body = format!("Content-Length: 65536\r\n\r\n{}", "x".repeat(33_000));
    for (name, text, piece) in [("fields", fields, 200), ("body", body, 1024)] {
        let peak = peak_while_sending(CLIENTS, &text, piece);
        println!("{name}: {peak} KiB");
        assert!(peak <= MEMORY_MB << 10, "{name}: {peak} KiB");
    }
}

// Failure: the table of clients had as many slots as there were descriptors for, whatever the memory limit.
#[test]
fn more_clients_than_the_memory_limit_has_room_for_stay_within_it() {
    let fields = "a:b\r\n".repeat(3000);
    for (name, text, piece) in [("chunks", chunked(12), 4096), ("fields", fields, 200)] {
        let peak = peak_while_sending(MANY_CLIENTS, &text, piece);
        println!("{name}: {peak} KiB");
        assert!(peak <= MEMORY_MB << 10, "{name}: {peak} KiB");
    }
}
