//! Messages, result codes, log events and shared types of celeryhinge.
//!
//! - The message types are generated from `schema/messages.json` and re-exported here.
//! - [`ResultCode`] and [`LogEvent`] are generated from `schema/codes.json` and `schema/events.json`.
//! - [`SubmissionKey`] and the id aliases identify submissions, instances, upstreams and teams.
//! - [`from_json`], [`to_json`], [`from_msgpack`] and [`to_msgpack`] encode and decode messages.
//!
//! ```
//! use hinge_wire::{SubmissionKey, from_json, to_json, KeysRequest};
//!
//! let key: SubmissionKey = "dc1.entry-1.00000000000000ff.7".parse()?;
//! assert_eq!(key.incarnation, 255);
//! let request: KeysRequest = from_json(br#"{"count": 10}"#)?;
//! assert_eq!(to_json(&request)?, br#"{"count":10}"#);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod class;
#[rustfmt::skip]
mod code;
mod codec;
#[rustfmt::skip]
mod event;
mod ids;
#[allow(clippy::all, missing_docs, unreachable_pub, reason = "generated")]
#[rustfmt::skip]
mod messages;

use std::collections::{hash_map, hash_set};

pub use code::ResultCode;
pub use codec::{CodecError, WIRE_VERSION, from_json, from_msgpack, to_json, to_msgpack};
pub use event::LogEvent;
pub use ids::{
    DataCentreId, Incarnation, InstanceId, KeyError, LoanId, RackId, Sequence, ServiceId, StartId,
    SubmissionKey, TaskId, TeamId, UpstreamId, is_valid_id,
};
pub use messages::{
    Answer, CancelReply, CancelRequest, Change, ChangeReply, ChangeRequest, Class, ConfigDocument,
    ConfigException, ConfigFetch, ConfigReply, ConflictReply, DrainRequest, ErrorReply, ForwardRequest,
    Heartbeat, HeartbeatReply, InstanceKind, InstanceList, InstanceState, KeysReply, KeysRequest, LeaseGrant,
    LeaseReply, ListEntry, ListState, LoanReply, LoanRequest, LoanReturn, LoanSlots, LookupRequest,
    MemberInfo, OperationRecord, Outcome, PeerCancelRequest, RevisionsReply, Scope, ScopeKind, SettingValue,
    StorePut, StoreValue, Submission, SubmissionState, SubmissionStatus, TaskSpec, TeamDemand, UpstreamInfo,
    UpstreamsReply,
};

/// Hash map with a fast hasher that is randomly seeded.
#[expect(clippy::disallowed_types, reason = "the alias itself")]
pub type FastMap<K, V> = hash_map::HashMap<K, V, foldhash::fast::RandomState>;

/// Hash set with a fast hasher that is randomly seeded.
#[expect(clippy::disallowed_types, reason = "the alias itself")]
pub type FastSet<T> = hash_set::HashSet<T, foldhash::fast::RandomState>;
