//! One call of an operator, read from its method, path and body. Whether it can be granted is for others to say.

use serde::Deserialize;

/// A body is no longer than this, in bytes: a name and a few braces.
pub const BODY_LIMIT: usize = 4 << 10;
/// A name of an upstream is no longer than this, in bytes.
pub const NAME_LIMIT: usize = 512;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process can serve.
    Health,
    /// From what this process started, and how saving for the next start goes.
    Start,
    /// Take that upstream out.
    Cordon(String),
    /// It may serve again.
    Uncordon(String),
    /// What stands is all that operators have said: the doubt is over.
    Confirm,
    /// Send clients away.
    Quiesce,
    /// Take clients again.
    Resume,
}

/// Why a call can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// Nothing has this path.
    #[error(
        "no such call; there are health, start, cordon, uncordon, confirm, quiesce and resume under /admin/"
    )]
    Unknown,
    /// The path is right.
    #[error("the method must be {0}")]
    Method(&'static str),
    /// The body does not name an upstream.
    #[error("the body must be a JSON object {{\"name\":\"ID\"}}: {0}")]
    Body(String),
}

impl CallError {
    /// The status of the answer (RFC 9110, 15.5).
    pub fn status(&self) -> u16 {
        match self {
            Self::Unknown => 404,
            Self::Method(_) => 405,
            Self::Body(_) => 400,
        }
    }
}

#[derive(Deserialize)]
struct Named {
    name: String,
}

impl Call {
    /// Reads a call; a query is no part of `path`.
    ///
    /// # Errors
    /// Nothing has this path, its method is another, or the body names no upstream.
    pub fn read(method: &str, path: &str, body: &[u8]) -> Result<Self, CallError> {
        let verb = path.strip_prefix("/admin/").ok_or(CallError::Unknown)?;
        let wanted = match verb {
            "health" | "start" => "GET",
            "cordon" | "uncordon" | "confirm" | "quiesce" | "resume" => "POST",
            _ => return Err(CallError::Unknown),
        };
        if method != wanted {
            return Err(CallError::Method(wanted));
        }
        Ok(match verb {
            "health" => Self::Health,
            "start" => Self::Start,
            "confirm" => Self::Confirm,
            "quiesce" => Self::Quiesce,
            "resume" => Self::Resume,
            "cordon" => Self::Cordon(named(body)?),
            _ => Self::Uncordon(named(body)?),
        })
    }
}

fn named(body: &[u8]) -> Result<String, CallError> {
    let named: Named = serde_json::from_slice(body).map_err(|e| CallError::Body(e.to_string()))?;
    if named.name.is_empty() || named.name.len() > NAME_LIMIT {
        return Err(CallError::Body(format!("a name has 1 to {NAME_LIMIT} bytes")));
    }
    Ok(named.name)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn each_call_is_read_by_method_path_and_body() {
        let read = |method, path, body: &str| Call::read(method, path, body.as_bytes());
        assert_eq!(read("GET", "/admin/health", ""), Ok(Call::Health));
        assert_eq!(read("GET", "/admin/start", ""), Ok(Call::Start));
        assert_eq!(
            read("POST", "/admin/cordon", r#"{"name":"s-1"}"#),
            Ok(Call::Cordon("s-1".into()))
        );
        let more = r#" {"why":[1], "name":"s-1"} "#;
        assert_eq!(read("POST", "/admin/uncordon", more), Ok(Call::Uncordon("s-1".into())));
        assert_eq!(read("POST", "/admin/quiesce", "anything"), Ok(Call::Quiesce));
        assert_eq!(read("POST", "/admin/resume", ""), Ok(Call::Resume));
        assert_eq!(read("POST", "/admin/confirm", ""), Ok(Call::Confirm));
    }

    #[test]
    fn what_is_no_call_is_told_what_would_be() {
        let status = |method, path, body: &str| {
            Call::read(method, path, body.as_bytes()).expect_err("no call").status()
        };
        assert_eq!(status("GET", "/admin/cordon", r#"{"name":"s-1"}"#), 405);
        assert_eq!(status("POST", "/admin/health", ""), 405);
        assert_eq!(status("POST", "/admin/start", ""), 405);
        assert_eq!(status("GET", "/admin", ""), 404);
        assert_eq!(status("GET", "/health", ""), 404);
        for body in ["", "s-1", "{}", r#"{"name":1}"#, r#"{"name":""}"#, r#"{"name":"s"#] {
            assert_eq!(status("POST", "/admin/cordon", body), 400, "{body}");
        }
        let long = format!(r#"{{"name":"{}"}}"#, "x".repeat(NAME_LIMIT + 1));
        assert_eq!(status("POST", "/admin/cordon", &long), 400);
    }

    proptest! {
        #[test]
        fn any_bytes_are_read_or_refused(
            method in "(GET|POST|[A-Z]{0,6})",
            path in "(/admin/)?(health|start|cordon|uncordon|confirm|quiesce|resume|.{0,12})",
            body in proptest::collection::vec(any::<u8>(), 0..64),
        ) {
            if let Err(cause) = Call::read(&method, &path, &body) {
                prop_assert!((400..500).contains(&cause.status()));
            }
        }
    }
}
