//! A stand-in client: one connection, and requests in the form of PROTOCOL, "Clients to balancers".

use std::io::{BufReader, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Message, read_message};

/// A connection to a balancer.
pub struct Client {
    /// The stream, for writes.
    pub stream: TcpStream,
    /// The same stream, for reads.
    pub reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects to a balancer. Each read fails after `read_timeout`.
    pub fn connect(address: SocketAddr, read_timeout: Duration) -> Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(read_timeout))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Sends a request, and reads its answer.
    pub fn ask(&mut self, request: &str) -> Result<Message> {
        self.stream.write_all(request.as_bytes())?;
        read_message(&mut self.reader)
    }
}

/// Returns a `reading-sync` request, which is safe to repeat.
pub fn reading_sync(id: &str, deadline: Duration) -> String {
    format!("GET /api HTTP/1.1\r\n{}\r\n", headers(id, "reading-sync", deadline))
}

/// Returns a `delivery-log` request, which has a key, with further header lines.
pub fn delivery_log(id: &str, deadline: Duration, key: &str, more_headers: &str) -> String {
    let headers = headers(id, "delivery-log", deadline);
    let body = "parcel 17 delivered";
    format!(
        "POST /api HTTP/1.1\r\n{headers}Idempotency-Key: {key}\r\n{more_headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns an `alarm-raise` request, which is unsafe to repeat.
pub fn alarm_raise(id: &str, deadline: Duration, body: &str) -> String {
    let headers = headers(id, "alarm-raise", deadline);
    format!("POST /api HTTP/1.1\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

fn headers(id: &str, class: &str, deadline: Duration) -> String {
    format!(
        "Host: api.internal\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\nCookie: sid=7f3a9c21e0b4d655\r\nX-Deadline-Ms: {}\r\n",
        deadline.as_millis()
    )
}
