//! Parses one call of an operator from its method, path and body. The balancer decides whether the call succeeds.

use serde::Deserialize;

/// The longest body, in bytes: enough for a name and its JSON object.
pub const BODY_LIMIT: usize = 4 << 10;
/// The longest name of an upstream, in bytes.
pub const NAME_LIMIT: usize = 512;

/// A call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Returns whether this process can serve.
    Health,
    /// Returns what this process restored at its start, and the state of saving for the next start.
    Start,
    /// Cordons the upstream of this name, which then receives no new requests.
    Cordon(String),
    /// Removes the cordon of the upstream of this name.
    Uncordon(String),
    /// Confirms that the commands that apply are complete, so that the state is no longer suspect.
    Confirm,
    /// Rejects clients.
    Quiesce,
    /// Accepts clients again.
    Resume,
}

/// Reason why a call is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// There is no call under this path.
    #[error(
        "no such call; there are health, start, cordon, uncordon, confirm, quiesce and resume under /admin/"
    )]
    Unknown,
    /// The path requires this method.
    #[error("the method must be {0}")]
    Method(&'static str),
    /// The body does not name an upstream.
    #[error("the body must be a JSON object {{\"name\":\"ID\"}}: {0}")]
    Body(String),
}

impl CallError {
    /// Returns the HTTP status of the response (RFC 9110, 15.5).
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
    /// Parses a call. `path` is without the query.
    ///
    /// # Errors
    /// There is no call under the path, the path requires another method, or the body does not name an upstream.
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

/// Returns the name in the body of a cordon or uncordon call.
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
