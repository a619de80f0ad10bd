//! Reads one call of an operator from its method, path and body. Whether the call can be granted is left to the balancer.

use serde::Deserialize;

/// The longest body, in bytes: a name and a few braces.
pub const BODY_LIMIT: usize = 4 << 10;
/// The longest name of an upstream, in bytes.
pub const NAME_LIMIT: usize = 512;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Asks whether this process can serve.
    Health,
    /// Asks what this process restored at its start, and how saving for the next start goes.
    Start,
    /// Takes the upstream of this name out.
    Cordon(String),
    /// Takes the upstream of this name back in.
    Uncordon(String),
    /// Confirms that the commands that apply are complete: the state is no longer suspect.
    Confirm,
    /// Turns clients away.
    Quiesce,
    /// Accepts clients again.
    Resume,
}

/// Why a call can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// Nothing is served under this path.
    #[error(
        "no such call; there are health, start, cordon, uncordon, confirm, quiesce and resume under /admin/"
    )]
    Unknown,
    /// The path needs this method.
    #[error("the method must be {0}")]
    Method(&'static str),
    /// The body does not name an upstream.
    #[error("the body must be a JSON object {{\"name\":\"ID\"}}: {0}")]
    Body(String),
}

impl CallError {
    /// The HTTP status of the answer (RFC 9110, 15.5).
    pub fn status(&self) -> u16 {
        match self {
            Self::Unknown => 404,
            Self::Method(_) => 405,
            Self::Body(_) => 400,
        }
    }
}

#[derive(Deserialize)]
#[serde(expecting = "struct Named")]
struct CordonBody {
    name: String,
}

impl Call {
    /// Reads a call. A query is no part of `path`.
    ///
    /// # Errors
    /// Nothing is served under the path, it needs another method, or the body names no upstream.
    pub fn read(method: &str, path: &str, body: &[u8]) -> Result<Self, CallError> {
        let command = path.strip_prefix("/admin/").ok_or(CallError::Unknown)?;
        let expected_method = match command {
            "health" | "start" => "GET",
            "cordon" | "uncordon" | "confirm" | "quiesce" | "resume" => "POST",
            _ => return Err(CallError::Unknown),
        };
        if method != expected_method {
            return Err(CallError::Method(expected_method));
        }
        Ok(match command {
            "health" => Self::Health,
            "start" => Self::Start,
            "confirm" => Self::Confirm,
            "quiesce" => Self::Quiesce,
            "resume" => Self::Resume,
            "cordon" => Self::Cordon(upstream_name(body)?),
            _ => Self::Uncordon(upstream_name(body)?),
        })
    }
}

/// The name in the body of a cordon.
fn upstream_name(body: &[u8]) -> Result<String, CallError> {
    let CordonBody { name } =
        serde_json::from_slice(body).map_err(|e| CallError::Body(e.to_string()))?;
    if name.is_empty() || name.len() > NAME_LIMIT {
        return Err(CallError::Body(format!("a name has 1 to {NAME_LIMIT} bytes")));
    }
    Ok(name)
}

#[cfg(test)]
mod tests;
