//! Types of ids, and submission keys.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use thiserror::Error;

use crate::ResultCode;

/// Id of a data centre.
pub type DataCentreId = Arc<str>;
/// Random number that identifies one process of an entry instance, drawn at its start.
pub type Incarnation = u64;
/// Id of an entry instance.
pub type InstanceId = Arc<str>;
/// Id of a loan of slots, unique for its lender.
pub type LoanId = u64;
/// Id of a rack.
pub type RackId = Arc<str>;
/// Number of a submission, unique for the owner's incarnation.
pub type Sequence = u64;
/// Id of a service.
pub type ServiceId = Arc<str>;
/// Number of one start of a task, unique for the owner's incarnation.
pub type StartId = u64;
/// Id of a team.
pub type TeamId = Arc<str>;
/// Id of an upstream.
pub type UpstreamId = Arc<str>;

/// Longest id, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Whether `text` is a valid id: 1 to 64 ASCII letters, digits, `-` and `_`.
#[must_use]
pub fn is_valid_id(text: &str) -> bool {
    (1..=MAX_ID_BYTES).contains(&text.len())
        && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_')
}

/// Identifies a task within its owner.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskId {
    /// Number of the submission that the task belongs to.
    pub sequence: Sequence,
    /// Position of the task in the submission, from 0.
    pub index: u32,
}

/// Identifies a submission by its owner, the only process that may start its tasks, and its number there.
///
/// The text form is `<data centre>.<instance>.<incarnation, 16 hex digits>.<sequence>`.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct SubmissionKey {
    /// Id of the owner's data centre.
    pub data_centre: DataCentreId,
    /// Incarnation of the owner; a restarted owner has another one and may not start the tasks.
    pub incarnation: Incarnation,
    /// Instance id of the owner.
    pub instance: InstanceId,
    /// Number of the submission at the owner.
    pub sequence: Sequence,
}

/// Error for a text that is not a submission key.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("not a submission key; expected <data centre>.<instance>.<incarnation>.<sequence>")]
pub struct KeyError;

impl KeyError {
    /// Result code that reports the error.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        ResultCode::InvalidField
    }
}

impl fmt::Display for SubmissionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { data_centre, incarnation, instance, sequence } = self;
        write!(f, "{data_centre}.{instance}.{incarnation:016x}.{sequence}")
    }
}

impl FromStr for SubmissionKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let mut parts = text.split('.');
        let mut part = || parts.next().ok_or(KeyError);
        let (data_centre, instance, incarnation, sequence) = (part()?, part()?, part()?, part()?);
        if parts.next().is_some() || !is_valid_id(data_centre) || !is_valid_id(instance) {
            return Err(KeyError);
        }
        let key = Self {
            data_centre: data_centre.into(),
            incarnation: u64::from_str_radix(incarnation, 16).map_err(|_| KeyError)?,
            instance: instance.into(),
            sequence: sequence.parse().map_err(|_| KeyError)?,
        };
        // Only the canonical form is accepted, so that each submission has a single text form.
        if key.to_string() == text { Ok(key) } else { Err(KeyError) }
    }
}
