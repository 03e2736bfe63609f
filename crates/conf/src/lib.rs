//! Process settings and the operators' configuration document.

#[rustfmt::skip]
mod flags;
#[rustfmt::skip]
#[allow(clippy::too_many_lines, reason = "generated")]
mod policy;
mod setting;

pub use flags::{FLAGS, Flags};
pub use policy::{POLICY, Policy};
pub use setting::{FlagKind, FlagSpec, PolicyKind, PolicySpec};
