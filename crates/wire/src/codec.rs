//! Codecs: JSON for callers, operators and the platform, MessagePack between entry instances.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::ResultCode;

/// Version of the messages between entry instances, sent in the header `x-hinge-version`.
pub const WIRE_VERSION: u32 = 1;

/// Deepest nesting accepted in a MessagePack message; no message type needs as much. The library's default of 1024
/// overflows the 2 MB stack of a worker thread in builds without optimization.
const MAX_DEPTH: usize = 64;

/// Reason why a message could not be encoded or decoded.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The bytes are not JSON, do not match the message type, or the message cannot be expressed in JSON.
    #[error("not valid JSON for this message: {0}")]
    Json(#[from] serde_json::Error),
    /// The bytes are not MessagePack or do not match the message type.
    #[error("not valid MessagePack for this message: {0}")]
    MsgpackDecode(#[from] rmp_serde::decode::Error),
    /// The message cannot be expressed in MessagePack.
    #[error("cannot encode the message: {0}")]
    MsgpackEncode(#[from] rmp_serde::encode::Error),
    /// This number of bytes follows the message.
    #[error("{0} bytes follow the message")]
    TrailingBytes(usize),
}

impl CodecError {
    /// Result code that reports the error.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        ResultCode::Malformed
    }
}

/// Decodes a message from JSON.
///
/// # Errors
///
/// Fails when the bytes are not JSON, do not match the message type, or are followed by anything but white space.
pub fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    Ok(serde_json::from_slice(bytes)?)
}

/// Encodes a message as JSON.
///
/// # Errors
///
/// Fails when the message contains a value that JSON cannot express.
pub fn to_json<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    Ok(serde_json::to_vec(message)?)
}

/// Decodes a message from MessagePack.
///
/// # Errors
///
/// Fails when the bytes are not MessagePack, do not match the message type, or are followed by other bytes.
pub fn from_msgpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let mut rest = bytes;
    let mut decoder = rmp_serde::Deserializer::new(&mut rest);
    decoder.set_max_depth(MAX_DEPTH);
    let message = T::deserialize(&mut decoder)?;
    if !rest.is_empty() {
        return Err(CodecError::TrailingBytes(rest.len()));
    }
    Ok(message)
}

/// Encodes a message as MessagePack with field names, so that fields can be added later.
///
/// # Errors
///
/// Fails when the message contains a value that MessagePack cannot express.
pub fn to_msgpack<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    Ok(rmp_serde::to_vec_named(message)?)
}
