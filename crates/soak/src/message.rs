//! The parts of HTTP/1.1 that the simulated clients, upstreams and discovery need.

use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::Instant;

/// The head of a message.
#[derive(Clone, Debug)]
pub struct Head {
    /// Start line and header lines.
    pub lines: Vec<String>,
    /// Time at which the first byte was read.
    pub begun: Instant,
}

impl Head {
    /// Returns the value of a header, or an empty string if the header is missing.
    pub fn header(&self, name: &str) -> &str {
        let mut fields = self.lines.iter().skip(1).filter_map(|line| line.split_once(':'));
        fields.find(|(n, _)| n.eq_ignore_ascii_case(name)).map_or("", |(_, value)| value.trim())
    }

    /// Returns the status of a response, or 0 if the start line has none.
    pub fn status(&self) -> u16 {
        let status = self.lines.first().and_then(|line| line.split(' ').nth(1));
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the length of the body. Chunked bodies are not supported.
    pub fn length(&self) -> usize {
        self.header("content-length").parse().unwrap_or(0)
    }
}

/// Reason for which no message could be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoMessage {
    /// The connection closed without a reset before the first byte.
    Ended,
    /// The connection closed or was reset within the message.
    Partial,
    /// The connection was reset before the first byte.
    Reset,
}

/// Reads the head of a message.
///
/// # Errors
/// Fails if the connection ends before the part is complete.
pub async fn read_head(stream: &mut (impl AsyncRead + Unpin)) -> Result<Head, NoMessage> {
    let mut text = Vec::new();
    let mut begun = None;
    while !text.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => {
                begun = begun.or_else(|| Some(Instant::now()));
                text.push(byte);
            }
            Err(_) if !text.is_empty() => return Err(NoMessage::Partial),
            Err(cause) if cause.kind() == std::io::ErrorKind::UnexpectedEof => {
                return Err(NoMessage::Ended);
            }
            Err(_) => return Err(NoMessage::Reset),
        }
    }
    let lines = String::from_utf8_lossy(&text).lines().map(str::to_string).collect();
    Ok(Head { lines, begun: begun.unwrap_or_else(Instant::now) })
}

/// Reads a body of this length.
///
/// # Errors
/// Fails if the connection ends before the part is complete.
pub async fn read_body(
    stream: &mut (impl AsyncRead + Unpin),
    length: usize,
) -> Result<Vec<u8>, NoMessage> {
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.map_err(|_| NoMessage::Partial)?;
    Ok(body)
}
