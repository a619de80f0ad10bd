//! Decodes values that must fill their bytes exactly; size bounds and error types are the callers' concern.

use serde::de::DeserializeOwned;

/// Decodes one `postcard` value that takes up all of `bytes`.
///
/// # Errors
/// A description of the cause, if the bytes hold no such value or more bytes follow it.
pub(crate) fn decode_exact<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let (value, rest) = postcard::take_from_bytes(bytes).map_err(|error| error.to_string())?;
    if rest.is_empty() { Ok(value) } else { Err(format!("{} more behind it", rest.len())) }
}
