//! Process settings and the operators' configuration document.
//!
//! - [`EntrySettings`] holds the validated process settings of an entry, read from [`Flags`] and the environment.
//! - [`validate`] checks a configuration document, [`apply`] applies a change to one, and [`resolve`] computes the
//!   [`ResolvedConfig`] of one data centre. All three are pure functions; `hinge-store` reads and writes the document.
//! - [`check()`] finds everything in a document that is rejected, has no effect or contradicts itself, and [`compare()`] lists
//!   the differences between two documents; both are for operators, before a document is sent.
//! - [`FLAGS`] and [`POLICY`] describe every setting and are generated from `schema/settings.json`.
//!
//! ```
//! use hinge_conf::{EntrySettings, Flags, apply, empty_document, resolve};
//! use hinge_wire::{Change, ChangeRequest};
//!
//! let flags = Flags { data_centre: Some("dc1".into()), instance: Some("entry-1".into()), ..Flags::default() };
//! let settings = EntrySettings::from_flags(&flags, |name| std::env::var(name).ok())?;
//!
//! let request = ChangeRequest {
//!     author: "ops".into(),
//!     change: Change::SetDefault { setting: "max_attempts".into(), value: 2.into() },
//!     expect_revision: 0,
//!     operation_id: "op-1".into(),
//! };
//! let document = apply(&empty_document(), &request)?;
//! assert_eq!(resolve(&document, &settings.data_centre).policy.max_attempts, 2);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod change;
mod check;
mod compare;
mod document;
mod entry;
#[rustfmt::skip]
mod flags;
mod limits;
#[rustfmt::skip]
#[allow(clippy::too_many_lines, reason = "generated")]
mod policy;
mod setting;
mod unused;

pub use change::{ChangeError, apply, find_operation, operation_record};
pub use check::{Finding, Fleet, Severity, check, decode};
pub use compare::{Difference, compare};
pub use document::{
    DocumentError, FORMAT_VERSION, MAX_AUTHOR_BYTES, MAX_DOCUMENT_BYTES, MAX_OPERATIONS, MAX_REASON_BYTES,
    ResolvedConfig, empty_document, resolve, validate,
};
pub use entry::{EntrySettings, LogLevel, SettingError};
pub use flags::{FLAGS, Flags};
pub use policy::{POLICY, Policy};
pub use setting::{FlagKind, FlagSpec, PolicyKind, PolicySpec};
