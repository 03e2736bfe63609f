//! Descriptions of settings: kind, default, range and unit.

use hinge_wire::ScopeKind;

/// What a process setting accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlagKind {
    /// An IP address and port.
    Address,
    /// IP addresses and ports separated by commas; may be empty.
    Addresses,
    /// Letters, digits, `-` and `_`, 1 to 64 characters.
    Id,
    /// A whole number in a range.
    Integer {
        /// Largest value.
        max: u64,
        /// Smallest value.
        min: u64,
    },
    /// error, warn, info, debug or trace.
    LogLevel,
    /// An IP address and port, or nothing.
    OptionalAddress,
}

/// A process setting, given by flag or environment variable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FlagSpec {
    /// Text used when neither flag nor variable is given; `None` for required and for optional settings.
    pub default: Option<&'static str>,
    /// What is accepted.
    pub kind: FlagKind,
    /// Name with underscores.
    pub name: &'static str,
    /// Unit of the value, empty for none.
    pub unit: &'static str,
}

/// What a policy setting accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PolicyKind {
    /// true or false.
    Flag {
        /// Built-in default.
        default: bool,
    },
    /// A whole number in a range.
    Number {
        /// Built-in default.
        default: u64,
        /// Largest value.
        max: u64,
        /// Smallest value.
        min: u64,
    },
}

/// A policy setting of the configuration document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PolicySpec {
    /// What is accepted.
    pub kind: PolicyKind,
    /// Name with the unit as suffix.
    pub name: &'static str,
    /// Scopes for which exceptions are allowed.
    pub scopes: &'static [ScopeKind],
    /// Unit of the value.
    pub unit: &'static str,
}
