//! HTTP/1.1 messages as far as the stand-ins need them.

use std::io::{self, BufRead, ErrorKind};

/// A received message.
#[derive(Clone, Debug)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    /// The headers, with lower-case names.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message; `None` if the connection ends before its first byte.
pub fn read_message(stream: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(first_line) = read_line(stream)? else { return Ok(None) };
    let mut headers = Vec::new();
    loop {
        let line = read_line(stream)?.ok_or(ErrorKind::UnexpectedEof)?;
        let Some((name, value)) = line.split_once(':') else { break };
        headers.push((name.to_lowercase(), value.trim().to_string()));
    }
    let mut message = Message { first_line, headers, body: Vec::new() };
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body.resize(length, 0);
    stream.read_exact(&mut message.body)?;
    Ok(Some(message))
}

fn read_line(stream: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    let bytes = stream.read_line(&mut line)?;
    Ok((bytes > 0).then(|| line.trim_end().to_string()))
}

/// Returns a complete response with this status line and body.
pub fn response(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
