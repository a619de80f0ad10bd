//! HTTP/1.1 connections of the stand-ins: whole messages with their times, and all ways in which a
//! connection can end before a message is complete. Framing follows RFC 9112, section 6.3; heads
//! are parsed by `httparse`.

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use hollowpaddle_net::Stream;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, timeout};

/// Maximum sizes of a head and a body, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
const MAX_BODY_BYTES: usize = 16 << 20;
const MAX_HEADERS: usize = 100;

/// A complete message.
#[derive(Clone, Debug)]
pub struct Message {
    /// Method and target, or status and reason.
    pub start: (String, String),
    /// Headers in the order received, with names as received.
    pub headers: Vec<(String, String)>,
    /// The body, decoded from its transfer coding.
    pub body: Bytes,
    /// Time at which the first byte was read.
    pub first: Instant,
}

impl Message {
    /// Returns the value of the first header with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 for a request.
    pub fn status(&self) -> u16 {
        self.start.0.parse().unwrap_or(0)
    }

    /// Returns whether the sender will close the connection after this message.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// Direction of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From clients to servers.
    Requests,
    /// From servers to clients.
    Responses,
}

/// The reason why no complete message was read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectionEnd {
    /// The connection was closed in an orderly way.
    #[error("closed")]
    Closed {
        /// Whether a part of a message had been received.
        inside: bool,
    },
    /// The connection was reset.
    #[error("reset")]
    Reset {
        /// Whether a part of a message had been received.
        inside: bool,
    },
    /// The received bytes are not a valid message.
    #[error("not HTTP/1.1: {0}")]
    Malformed(String),
}

/// One end of a connection that carries messages.
pub struct Exchange {
    stream: Box<dyn Stream>,
    buffer: BytesMut,
    first: Option<Instant>,
}

enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

impl Exchange {
    /// Creates an exchange on a new connection.
    pub fn new(stream: Box<dyn Stream>) -> Self {
        Self { stream, buffer: BytesMut::new(), first: None }
    }

    /// Returns whether nothing unread has been received, not even the end of the connection.
    pub fn is_quiet(&self) -> bool {
        self.buffer.is_empty() && self.stream.is_quiet()
    }

    /// Returns the number of bytes received after the last message.
    pub fn left_over(&self) -> usize {
        self.buffer.len()
    }

    /// Resets the connection.
    pub fn reset(self) {
        self.stream.reset();
    }

    async fn fill(&mut self) -> Result<(), ConnectionEnd> {
        let read = self.stream.read_buf(&mut self.buffer).await;
        let inside = !self.buffer.is_empty();
        match read {
            Ok(0) => Err(ConnectionEnd::Closed { inside }),
            Ok(_) => {
                self.first.get_or_insert_with(Instant::now);
                Ok(())
            }
            Err(_) => Err(ConnectionEnd::Reset { inside }),
        }
    }

    /// Reads the next complete message.
    ///
    /// # Errors
    /// The connection has ended, or the received bytes are not a valid message.
    pub async fn message(&mut self, direction: Direction) -> Result<Message, ConnectionEnd> {
        if !self.buffer.is_empty() {
            self.first.get_or_insert_with(Instant::now);
        }
        loop {
            if let Some((mut message, head, framing)) = parse(&self.buffer, direction)? {
                self.buffer.advance(head);
                message.first = self.first.take().unwrap_or(message.first);
                // Informational responses precede the final one (RFC 9110, section 15.2).
                if direction == Direction::Responses && (100..200).contains(&message.status()) {
                    if !self.buffer.is_empty() {
                        self.first = Some(Instant::now());
                    }
                    continue;
                }
                message.body = self.body(framing).await?;
                self.first = None;
                return Ok(message);
            }
            self.fill().await?;
        }
    }

    async fn body(&mut self, framing: Framing) -> Result<Bytes, ConnectionEnd> {
        let inside = |ended| match ended {
            ConnectionEnd::Closed { .. } => ConnectionEnd::Closed { inside: true },
            ConnectionEnd::Reset { .. } => ConnectionEnd::Reset { inside: true },
            other => other,
        };
        match framing {
            Framing::Length(length) => {
                while self.buffer.len() < length {
                    self.fill().await.map_err(inside)?;
                }
                Ok(self.buffer.split_to(length).freeze())
            }
            Framing::UntilClose => loop {
                match self.fill().await {
                    Ok(()) if self.buffer.len() <= MAX_BODY_BYTES => {}
                    Ok(()) => return Err(ConnectionEnd::Malformed("a body without end".into())),
                    Err(ConnectionEnd::Closed { .. }) => return Ok(self.buffer.split().freeze()),
                    Err(other) => return Err(inside(other)),
                }
            },
            Framing::Chunked => {
                let mut body = BytesMut::new();
                loop {
                    let size = match httparse::parse_chunk_size(&self.buffer) {
                        Ok(httparse::Status::Complete((used, size))) => {
                            self.buffer.advance(used);
                            usize::try_from(size).unwrap_or(usize::MAX)
                        }
                        Ok(httparse::Status::Partial) => {
                            self.fill().await.map_err(inside)?;
                            continue;
                        }
                        Err(_) => return Err(ConnectionEnd::Malformed("a chunk size".into())),
                    };
                    if size > MAX_BODY_BYTES - body.len().min(MAX_BODY_BYTES) {
                        return Err(ConnectionEnd::Malformed("a body without end".into()));
                    }
                    while self.buffer.len() < size + 2 {
                        self.fill().await.map_err(inside)?;
                    }
                    body.extend_from_slice(&self.buffer[..size]);
                    self.buffer.advance(size + 2);
                    if size == 0 {
                        return Ok(body.freeze());
                    }
                }
            }
        }
    }

    /// Waits for the end of the connection. Bytes received before that are kept for the next
    /// message.
    pub async fn end(&mut self) -> ConnectionEnd {
        loop {
            if let Err(ended) = self.fill().await {
                return ended;
            }
            if self.buffer.len() > MAX_HEAD_BYTES + MAX_BODY_BYTES {
                return ConnectionEnd::Malformed("more than anyone asked for".into());
            }
        }
    }

    /// Returns the bytes received but not part of a message, or the next bytes received.
    ///
    /// # Errors
    /// The connection has ended.
    pub async fn some(&mut self) -> Result<Bytes, ConnectionEnd> {
        if self.buffer.is_empty() {
            self.fill().await?;
        }
        Ok(self.buffer.split().freeze())
    }

    /// Reads and discards bytes until none have been received for `quiet`. Returns their number.
    pub async fn drain(&mut self, quiet: Duration) -> usize {
        let mut bytes = std::mem::take(&mut self.buffer).len();
        while let Ok(Ok(())) = timeout(quiet, self.fill()).await {
            bytes += std::mem::take(&mut self.buffer).len();
        }
        bytes
    }

    /// Writes all bytes.
    ///
    /// # Errors
    /// The connection is closed.
    pub async fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes).await?;
        self.stream.flush().await
    }

    /// Writes one chunk of a chunked response.
    ///
    /// # Errors
    /// The connection is closed.
    pub async fn chunk(&mut self, text: &str) -> std::io::Result<()> {
        self.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await
    }
}

/// Parses a head if it is complete. Returns the message, the length of the head and the framing of
/// the body.
fn parse(
    buffer: &[u8],
    direction: Direction,
) -> Result<Option<(Message, usize, Framing)>, ConnectionEnd> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let bad = |e: httparse::Error| ConnectionEnd::Malformed(e.to_string());
    let (start, length) = match direction {
        Direction::Requests => {
            let mut head = httparse::Request::new(&mut headers);
            let status = head.parse(buffer).map_err(bad)?;
            let text = |t: Option<&str>| t.unwrap_or_default().to_string();
            ((text(head.method), text(head.path)), status)
        }
        Direction::Responses => {
            let mut head = httparse::Response::new(&mut headers);
            let status = head.parse(buffer).map_err(bad)?;
            let code = head.code.unwrap_or_default().to_string();
            ((code, head.reason.unwrap_or_default().to_string()), status)
        }
    };
    let httparse::Status::Complete(length) = length else {
        if buffer.len() > MAX_HEAD_BYTES {
            return Err(ConnectionEnd::Malformed("a head without end".into()));
        }
        return Ok(None);
    };
    let headers: Vec<(String, String)> = headers
        .iter()
        .take_while(|h| !h.name.is_empty())
        .map(|h| (h.name.to_string(), String::from_utf8_lossy(h.value).into_owned()))
        .collect();
    let message = Message { start, headers, body: Bytes::new(), first: Instant::now() };
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|v| v.to_ascii_lowercase().trim_end().ends_with("chunked"));
    let announced = message.header("content-length");
    let none = direction == Direction::Requests || matches!(message.status(), 204 | 304);
    let framing = match announced {
        _ if chunked => Framing::Chunked,
        Some(text) => match text.trim().parse() {
            Ok(n) if n <= MAX_BODY_BYTES => Framing::Length(n),
            _ => return Err(ConnectionEnd::Malformed(format!("a length of {text}"))),
        },
        None if none => Framing::Length(0),
        None => Framing::UntilClose,
    };
    Ok(Some((message, length, framing)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use hollowpaddle_net::{Network, accept};
    use hollowpaddle_simnet::Fabric;
    use std::net::{IpAddr, SocketAddr};
    use std::rc::Rc;

    async fn pair() -> (Exchange, Exchange) {
        let fabric = Fabric::new(Duration::ZERO, |_, _| Duration::ZERO);
        let host: Rc<dyn Network> = fabric.host(IpAddr::from([10, 0, 0, 1]));
        let mut listener = host.listen(SocketAddr::from(([10, 0, 0, 1], 80))).expect("free");
        let here = host.connect(listener.local_addr()).await.expect("it listens");
        let (there, _) = accept(&mut *listener).await.expect("waiting");
        (Exchange::new(here), Exchange::new(there))
    }

    #[tokio::test(start_paused = true)]
    async fn a_message_in_single_bytes_has_the_time_of_its_first_byte() {
        let (mut here, mut there) = pair().await;
        let text = "POST /api HTTP/1.1\r\nX-Request-Id: 7\r\nContent-Length: 3\r\n\r\nabc";
        let from = Instant::now();
        let read = tokio::join!(there.message(Direction::Requests), async {
            for byte in text.as_bytes() {
                here.write(&[*byte]).await.expect("open");
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        });
        let message = read.0.expect("whole");
        assert_eq!(message.start, ("POST".to_string(), "/api".to_string()));
        assert_eq!((message.header("x-request-id"), &message.body[..]), (Some("7"), &b"abc"[..]));
        assert_eq!(message.first, from);
        assert!(there.is_quiet());
    }

    #[tokio::test(start_paused = true)]
    async fn responses_are_read_in_each_framing_and_informational_ones_are_skipped() {
        let (mut here, mut there) = pair().await;
        let early = "HTTP/1.1 103 Early Hints\r\n\r\n";
        let chunked =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
        let long = "HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nnoXX";
        here.write(format!("{early}{chunked}{long}").as_bytes()).await.expect("open");
        let first = there.message(Direction::Responses).await.expect("whole");
        assert_eq!((first.status(), &first.body[..]), (200, &b"abc"[..]));
        let second = there.message(Direction::Responses).await.expect("whole");
        assert_eq!((second.status(), &second.body[..], there.left_over()), (503, &b"no"[..], 2));
    }

    #[tokio::test(start_paused = true)]
    async fn a_connection_end_tells_whether_it_came_inside_a_message() {
        for (text, inside) in [("", false), ("HTTP/1.1 2", true)] {
            let (mut here, mut there) = pair().await;
            here.write(text.as_bytes()).await.expect("open");
            drop(here);
            let ended = there.message(Direction::Responses).await.expect_err("nothing whole");
            assert_eq!(ended, ConnectionEnd::Closed { inside });
        }
        let (mut here, mut there) = pair().await;
        here.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf").await.expect("open");
        here.reset();
        let ended = there.message(Direction::Responses).await.expect_err("cut short");
        assert_eq!(ended, ConnectionEnd::Reset { inside: true });
        let (mut here, mut there) = pair().await;
        here.write(b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n").await.expect("open");
        assert!(matches!(
            there.message(Direction::Responses).await,
            Err(ConnectionEnd::Malformed(_))
        ));
    }
}
