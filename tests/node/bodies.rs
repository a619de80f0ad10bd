//! Bodies longer than a balancer holds: passed on while they come, and never twice.

use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::time::Duration;

use crate::start;
use hollowpaddle_rehearsal::scripted::*;

const MB: usize = 1 << 20;

fn head(id: &str, deadline_ms: u64, more: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: alarm\r\n\
         X-Deadline-Ms: {deadline_ms}\r\n{more}\r\n"
    )
}

/// No two stretches of it are alike.
fn long(bytes: usize) -> Vec<u8> {
    (0..bytes).map(|i| (i.wrapping_mul(2_654_435_761) >> 13) as u8).collect()
}

/// The most memory that a process has had, in bytes.
fn peak(node: &Node) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id()));
    let status = status.expect("it runs");
    let line = status.lines().find(|l| l.starts_with("VmHWM:")).expect("its peak");
    line.split_whitespace().nth(1).expect("kB").parse::<usize>().expect("a number") << 10
}

#[test]
fn a_long_body_goes_on_as_it_was_and_takes_no_memory() {
    let upstream = Upstream::start(|_| ok("done"));
    let mut config = config(members(&[&upstream]));
    config["limits"]["memory_mb"] = 32.into();
    let node = start(&config);
    let body = long(30 * MB);
    for id in ["r1", "r2"] {
        let mut client = node.client();
        client.send(&head(id, 5000, &format!("Content-Length: {}\r\n", body.len())));
        client.send_bytes(&body);
        assert_eq!(client.answer().expect("an answer").status(), 200);
        assert!(upstream.request().1.body == body, "another body");
    }
    // In chunks nobody knows beforehand that it is long.
    let mut client = node.client();
    client.send(&head("r3", 5000, "Transfer-Encoding: chunked\r\n"));
    for part in body[..10 * MB].chunks(MB) {
        client.send(&format!("{:x}\r\n", part.len()));
        client.send_bytes(part);
        client.send("\r\n");
    }
    client.send("0\r\n\r\n");
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert!(upstream.request().1.body == body[..10 * MB], "another body");
    assert!(peak(&node) < 24 * MB, "{} bytes", peak(&node));
}

#[test]
fn time_counts_from_its_last_byte() {
    let upstream = Upstream::start(|_| ok("done"));
    let node = start(&config(members(&[&upstream])));
    let body = long(3 * MB);
    let mut client = node.client();
    client.send(&head("r1", 400, &format!("Content-Length: {}\r\n", body.len())));
    for part in body.chunks(MB) {
        std::thread::sleep(Duration::from_millis(300));
        client.send_bytes(part);
    }
    assert_eq!(client.answer().expect("an answer").status(), 200);
    let left: u64 = upstream.request().1.header("x-deadline-ms").parse().expect("whole");
    assert!(left > 300 && left < 400, "{left} ms");
}

#[test]
fn one_that_gets_no_answer_is_failed_in_its_time() {
    let upstream = Upstream::start(|_| Action::Hang);
    let node = start(&config(members(&[&upstream])));
    let body = long(3 * MB);
    let mut client = node.client();
    client.send(&head("r1", 400, &format!("Content-Length: {}\r\n", body.len())));
    client.send_bytes(&body);
    assert_eq!(client.answer().expect("an answer").status(), 504);
    assert_eq!(upstream.requests_so_far(), 1, "it may have run");
}

/// Starts an upstream that reads `bytes_per_interval` bytes of its connections every 20 ms, and never answers.
fn slow_reader(bytes_per_interval: usize) -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("accepted");
            std::thread::spawn(move || {
                let mut piece = vec![0; bytes_per_interval];
                while let Ok(1..) = std::io::Read::read(&mut stream, &mut piece) {
                    std::thread::sleep(Duration::from_millis(20));
                }
            });
        }
    });
    address
}

// Failure: where an upstream read a long body slowly, the final answer came seconds after the client's time.
#[test]
fn one_that_an_upstream_reads_slowly_is_failed_in_its_time() {
    const DEADLINE: Duration = Duration::from_secs(1);
    // STANDING: half a second later the answer only earns nothing. The rest is for a busy machine.
    const SLACK: Duration = Duration::from_millis(750);
    for bytes_per_interval in [400, 4000] {
        let address = slow_reader(bytes_per_interval);
        let node = start(&config(vec![member("s-0", address, "SERVING")]));
        let body = long(15 * MB / 2);
        let mut stream = TcpStream::connect(node.address).expect("it accepts");
        let mut writer = stream.try_clone().expect("a second handle");
        let text =
            head("r1", DEADLINE.as_millis() as u64, &format!("Content-Length: {}\r\n", body.len()));
        let from = std::time::Instant::now();
        std::thread::spawn(move || {
            let _ = writer.write_all(text.as_bytes()).and_then(|()| writer.write_all(&body));
        });
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).expect("a limit");
        let count = std::io::Read::read(&mut stream, &mut [0; 4096]).expect("an answer");
        let elapsed = from.elapsed();
        assert!(count > 0, "closed without an answer");
        assert!(elapsed < DEADLINE + SLACK, "{bytes_per_interval}: {elapsed:?}");
    }
}

#[test]
fn one_whose_upstream_breaks_off_has_not_run_and_is_not_sent_again() {
    // It takes the connection, reads the head and a little of the body, and closes it.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (tell, came) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("accepted");
            // Until some of the body has come. Closed over a head alone, none of it is spent, and it may go once more; a
            // connection that came up too late for its attempt brings nothing at all.
            let (mut came, mut piece) = (Vec::new(), [0; 4096]);
            while let Ok(n @ 1..) = std::io::Read::read(&mut stream, &mut piece) {
                came.extend_from_slice(&piece[..n]);
                if came.windows(4).any(|end| end == b"\r\n\r\n") && !came.ends_with(b"\r\n\r\n") {
                    let _ = tell.send(());
                    break;
                }
            }
        }
    });
    let node = start(&config(vec![member("s-0", address, "SERVING")]));
    let body = long(8 * MB);
    let mut stream = TcpStream::connect(node.address).expect("it accepts");
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).expect("a limit");
    let text = head("r1", 5000, &format!("Content-Length: {}\r\n", body.len()));
    stream.write_all(text.as_bytes()).expect("written");
    stream.write_all(&body[..MB]).expect("written");
    // It never sends the rest, so the answer can't be lost to a reset.
    let mut answer = vec![0; 4096];
    let n = std::io::Read::read(&mut stream, &mut answer).expect("an answer");
    let answer = String::from_utf8_lossy(&answer[..n]).into_owned();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(
        answer.to_ascii_lowercase().contains("\r\nretry-after: "),
        "when to come again: {answer}"
    );
    assert_eq!(came.try_iter().count(), 1, "it was sent again, without its beginning");
}

#[test]
fn a_client_that_stops_halfway_is_told_and_its_upstream_is_not_blamed() {
    let upstream = Upstream::start(|_| ok("done"));
    let node = start(&config(members(&[&upstream])));
    let body = long(3 * MB);
    let mut client = node.client();
    client.send(&head("r1", 400, &format!("Content-Length: {}\r\n", body.len())));
    client.send_bytes(&body[..1000]);
    assert_eq!(client.answer().expect("a word").status(), 408);
    // One that goes away says nothing and hears nothing.
    let mut gone = node.client();
    gone.send(&head("r2", 400, &format!("Content-Length: {}\r\n", body.len())));
    gone.send_bytes(&body[..1000]);
    drop(gone);
    let mut other = node.client();
    assert_eq!(other.ask(&alarm("r3", 5000, "x")).status(), 200);
    assert_eq!(upstream.request().1.header("x-request-id"), "r3", "half a request passed for one");
}
