//! HTTP responses and rejections.

use hinge_budget::Held;
use hinge_wire::{CodecError, ErrorReply, ResultCode, SubmissionStatus, to_json, to_msgpack};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use rand::Rng;
use serde::Serialize;
use thiserror::Error;

/// Maximum length of a rejection's message, because error messages of decoders can contain the input.
const MAX_MESSAGE_CHARS: usize = 200;
/// Range of `Retry-After` if the entry is overloaded, so that callers do not all come back at once.
const OVERLOADED_RETRY_S: std::ops::RangeInclusive<u64> = 1..=3;

pub(crate) type HttpResponse = Response<Vec<u8>>;

/// A response, and what counts it; none if it is small or is to be counted by the server.
pub(crate) struct Reply {
    pub(crate) held: Option<Held>,
    pub(crate) response: HttpResponse,
}

impl From<HttpResponse> for Reply {
    fn from(response: HttpResponse) -> Self {
        Self { held: None, response }
    }
}

/// The status of a submission, and what counts a large answer in it. It is never refused for want of memory: the submission
/// may have run.
pub(crate) struct HeldStatus {
    pub(crate) held: Held,
    pub(crate) status: SubmissionStatus,
}

impl HeldStatus {
    /// Encodes the status; what counts it goes on to count the response.
    pub(crate) fn reply(self, encode: impl FnOnce(&SubmissionStatus) -> HttpResponse) -> Reply {
        Reply { held: Some(self.held), response: encode(&self.status) }
    }
}

/// A result code and a message that are returned instead of a reply.
#[derive(Clone, Debug, Error)]
#[error("{}: {message}", code.name())]
pub(crate) struct Rejection {
    pub(crate) code: ResultCode,
    pub(crate) message: String,
}

impl Rejection {
    pub(crate) fn new(code: ResultCode, message: impl Into<String>) -> Self {
        let mut message: String = message.into();
        if let Some((end, _)) = message.char_indices().nth(MAX_MESSAGE_CHARS) {
            message.truncate(end);
        }
        Self { code, message }
    }

    pub(crate) fn to_reply(&self) -> ErrorReply {
        ErrorReply {
            code: self.code.number(),
            message: self.message.clone(),
            name: self.code.name().to_owned(),
            outcome: self.code.outcome(),
        }
    }
}

impl From<ResultCode> for Rejection {
    fn from(code: ResultCode) -> Self {
        Self::new(code, "")
    }
}

impl From<CodecError> for Rejection {
    fn from(error: CodecError) -> Self {
        Self::new(error.code(), error.to_string())
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Encoding {
    Json,
    Msgpack,
}

impl Encoding {
    const fn content_type(self) -> &'static str {
        match self {
            Self::Json => "application/json",
            Self::Msgpack => "application/msgpack",
        }
    }

    pub(crate) fn response<T: Serialize>(self, status: StatusCode, message: &T) -> HttpResponse {
        let encoded = match self {
            Self::Json => to_json(message),
            Self::Msgpack => to_msgpack(message),
        };
        let (status, body) = match encoded {
            Ok(body) => (status, body),
            Err(_) => (StatusCode::INTERNAL_SERVER_ERROR, Vec::new()),
        };
        let mut response = Response::new(body);
        *response.status_mut() = status;
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(self.content_type()));
        response
    }

    pub(crate) fn rejection(self, rejection: &Rejection) -> HttpResponse {
        let mut response = self.response(status_of(rejection.code), &rejection.to_reply());
        if rejection.code == ResultCode::Overloaded {
            let retry_after_s = rand::rng().random_range(OVERLOADED_RETRY_S);
            response.headers_mut().insert(RETRY_AFTER, retry_after_s.into());
        }
        response
    }
}

fn status_of(code: ResultCode) -> StatusCode {
    StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Response to a submission: its status while it is in progress, its answer if the HTTP status of the answer's code is
/// 200, and otherwise an error with that code.
pub(crate) fn submission_response(status: &SubmissionStatus) -> HttpResponse {
    let Some(answer) = &status.answer else { return Encoding::Json.response(StatusCode::ACCEPTED, status) };
    let code = ResultCode::from_number(answer.code).unwrap_or(ResultCode::Internal);
    if code.http_status() == StatusCode::OK.as_u16() {
        return Encoding::Json.response(StatusCode::OK, answer);
    }
    Encoding::Json.rejection(&Rejection::new(code, answer.message.clone()))
}
