//! Types that describe settings: kind, default, range and unit.

use hinge_wire::ScopeKind;

/// Kind of value that a process setting accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlagKind {
    /// An IP address and port to listen on.
    Address,
    /// IP addresses and ports separated by commas; may be empty.
    Addresses,
    /// Letters, digits, `-` and `_`, 1 to 64 characters.
    Id,
    /// A whole number in an inclusive range.
    Integer {
        /// Largest value allowed.
        max: u64,
        /// Smallest value allowed.
        min: u64,
    },
    /// One of `error`, `warn`, `info`, `debug` and `trace`, in any case.
    LogLevel,
    /// An IP address and port to connect to; may be absent.
    OptionalAddress,
}

/// Description of a process setting, given by a flag or an environment variable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FlagSpec {
    /// Text used when neither flag nor variable is given; `None` for settings that are required or may be absent.
    pub default: Option<&'static str>,
    /// Kind of value accepted.
    pub kind: FlagKind,
    /// Name with underscores, from which the flag and the variable are derived.
    pub name: &'static str,
    /// Unit of the value; empty for none.
    pub unit: &'static str,
}

/// Kind of value that a policy setting accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PolicyKind {
    /// `true` or `false`.
    Flag {
        /// Built-in default.
        default: bool,
    },
    /// A whole number in an inclusive range.
    Number {
        /// Built-in default.
        default: u64,
        /// Largest value allowed.
        max: u64,
        /// Smallest value allowed.
        min: u64,
    },
}

/// Description of a policy setting of the configuration document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PolicySpec {
    /// Kind of value accepted, with the default.
    pub kind: PolicyKind,
    /// Name of the setting in the configuration document.
    pub name: &'static str,
    /// Kinds of scope for which exceptions are allowed.
    pub scopes: &'static [ScopeKind],
    /// Unit of the value; `flag` for `true` and `false`.
    pub unit: &'static str,
}
