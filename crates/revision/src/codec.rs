//! Decodes values that must take up all of their bytes. The callers check size bounds and convert errors.

use serde::de::DeserializeOwned;

/// Decodes one `postcard` value that takes up all of `bytes`.
///
/// # Errors
/// If the bytes hold no such value, or more bytes follow the value. The error describes the cause.
pub(crate) fn decode_exact<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let (value, rest) = postcard::take_from_bytes(bytes).map_err(|error| error.to_string())?;
    if rest.is_empty() { Ok(value) } else { Err(format!("{} more behind it", rest.len())) }
}
