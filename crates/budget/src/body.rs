//! Reading of a body against the budget.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;

use crate::Connection;

/// Reason why a body was not read. Nothing of it was handed on.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection failed or sent something invalid.
    #[error("cannot read the body: {0}")]
    Incomplete(String),
    /// The body was given up because the process holds too much.
    #[error("the memory for requests is used up")]
    Shed,
    /// The body is larger than allowed.
    #[error("the body is larger than {max_bytes} bytes")]
    TooLarge {
        /// Largest size that is allowed.
        max_bytes: usize,
    },
}

/// Reads the body of a request of `connection`. The caller limits the time; a body that is given up returns what it holds.
///
/// # Errors
///
/// Fails when the body is larger than `max_bytes`, when it is incomplete, and when it was shed.
pub async fn read_body<B>(body: B, connection: &Connection, max_bytes: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let mut pieces = Pieces { body, left_bytes: max_bytes, max_bytes };
    // The first piece is in the read buffer of the connection, which is counted with the connection.
    let Some(first) = pieces.next().await? else { return Ok(Bytes::new()) };
    if pieces.body.is_end_stream() {
        return Ok(first);
    }
    let Some(second) = pieces.next().await? else { return Ok(first) };
    let unfinished = Unfinished::new(connection);
    unfinished.push(first)?;
    unfinished.push(second)?;
    loop {
        let piece = tokio::select! {
            biased;
            () = connection.body_shed() => return Err(BodyError::Shed),
            piece = pieces.next() => piece?,
        };
        match piece {
            Some(piece) => unfinished.push(piece)?,
            None => return unfinished.finish(),
        }
    }
}

/// The data of a body, up to its largest size.
struct Pieces<B> {
    body: B,
    left_bytes: usize,
    max_bytes: usize,
}

impl<B> Pieces<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    /// The next data that is not empty; none at the end.
    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|error| BodyError::Incomplete(error.to_string()))?;
            // Trailers are ignored.
            let Ok(data) = frame.into_data() else { continue };
            let too_large = BodyError::TooLarge { max_bytes: self.max_bytes };
            self.left_bytes = self.left_bytes.checked_sub(data.len()).ok_or(too_large)?;
            if !data.is_empty() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }
}

/// The unfinished body of a connection; dropping it frees its blocks.
struct Unfinished<'a> {
    connection: &'a Connection,
}

impl<'a> Unfinished<'a> {
    fn new(connection: &'a Connection) -> Self {
        connection.begin_body();
        Self { connection }
    }

    /// Copies a piece, and frees the read buffer that it is part of.
    fn push(&self, piece: Bytes) -> Result<(), BodyError> {
        self.connection.extend_body(&piece).then_some(()).ok_or(BodyError::Shed)
    }

    fn finish(self) -> Result<Bytes, BodyError> {
        self.connection.finish_body().map(Bytes::from).ok_or(BodyError::Shed)
    }
}

impl Drop for Unfinished<'_> {
    fn drop(&mut self) {
        self.connection.give_up_body();
    }
}
