//! A client: writes requests in the form of the protocol page, and waits for the answers.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Message, read_message};

/// A request of a client.
pub struct Request<'a> {
    /// `X-Request-Id`.
    pub id: &'a str,
    /// `X-Class`.
    pub class: &'a str,
    /// `X-Tenant`, if the site has tenants.
    pub tenant: Option<&'a str>,
    /// `X-Deadline-Ms`.
    pub deadline_ms: u64,
    /// The body: none for a class that is safe to repeat, which is asked for with `GET`.
    pub body: Option<&'a str>,
}

impl Request<'_> {
    /// Returns the text of the request.
    pub fn text(&self) -> String {
        let method = if self.body.is_some() { "POST" } else { "GET" };
        let tenant = self.tenant.map_or(String::new(), |name| format!("X-Tenant: {name}\r\n"));
        let length =
            self.body.map_or(String::new(), |body| format!("Content-Length: {}\r\n", body.len()));
        format!(
            "{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {}\r\nX-Class: {}\r\n\
             {tenant}X-Deadline-Ms: {}\r\n{length}\r\n{}",
            self.id,
            self.class,
            self.deadline_ms,
            self.body.unwrap_or_default()
        )
    }
}

/// A client's connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Connects to a balancer.
    pub fn connect(balancer: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(balancer)?;
        stream.set_nodelay(true)?;
        Ok(Self(BufReader::new(stream)))
    }

    /// Writes a request.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.0.get_mut().write_all(text.as_bytes())
    }

    /// Waits for an answer, for at most `time`. `Ok(None)` if the balancer closed the connection.
    pub fn answer_within(&mut self, time: Duration) -> io::Result<Option<Message>> {
        self.0.get_ref().set_read_timeout(Some(time))?;
        read_message(&mut self.0)
    }
}
