//! HTTP/1.1 messages on blocking sockets, as far as the stand-ins need them.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result};
use std::net::TcpStream;

/// A request or a response: first line, headers with lower-case names, and body.
#[derive(Clone, Debug)]
pub struct Message {
    /// The request line or status line.
    pub first: String,
    headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a line without its end.
fn read_line(stream: &mut BufReader<TcpStream>) -> Result<String> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_string())
}

/// Reads the first line and the headers of a message.
pub fn read_head(stream: &mut BufReader<TcpStream>) -> Result<Message> {
    let first = read_line(stream)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(stream)?;
        let Some((name, value)) = line.split_once(':') else { break };
        headers.push((name.to_lowercase(), value.trim().to_string()));
    }
    Ok(Message { first, headers, body: Vec::new() })
}

/// Reads a message whose body has a length or is chunked.
///
/// # Errors
/// Fails if the connection ends within the message, or if the body's length is malformed.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> Result<Message> {
    let mut message = read_head(stream)?;
    if message.header("transfer-encoding") == "chunked" {
        loop {
            let size = usize::from_str_radix(&read_line(stream)?, 16).map_err(Error::other)?;
            let mut chunk = vec![0; size];
            stream.read_exact(&mut chunk)?;
            read_line(stream)?;
            if size == 0 {
                return Ok(message);
            }
            message.body.extend(chunk);
        }
    }
    let length = message.header("content-length");
    let length = if length.is_empty() { 0 } else { length.parse().map_err(Error::other)? };
    message.body = vec![0; length];
    stream.read_exact(&mut message.body)?;
    Ok(message)
}
