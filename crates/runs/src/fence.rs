//! Fencing tokens of the owners of upstreams.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::whole_ms;

/// Time of one step of the counter in milliseconds. With [`HOLDER_BITS`] it gives the scale of the tokens of earlier versions,
/// which are Unix milliseconds shifted by ten bits.
const STEP_MS: u64 = 32;
/// Number of low bits that identify the holder.
const HOLDER_BITS: u32 = 15;
/// Highest counter that fits above the holder.
const MAX_COUNTER: u64 = u64::MAX >> HOLDER_BITS;

/// Number of a process among those that issue fencing tokens. No two processes have the same one at a time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "u16", into = "u16")]
pub struct Holder(u16);

impl Holder {
    /// Highest number.
    pub const MAX: u16 = (1 << HOLDER_BITS) - 1;

    /// The holder with a number from 1 to [`MAX`](Self::MAX); none for other numbers.
    #[must_use]
    pub const fn new(number: u16) -> Option<Self> {
        if number == 0 || number > Self::MAX { None } else { Some(Self(number)) }
    }

    /// The number, from 1 to [`MAX`](Self::MAX).
    #[must_use]
    pub const fn number(self) -> u16 {
        self.0
    }
}

impl TryFrom<u16> for Holder {
    type Error = &'static str;

    fn try_from(number: u16) -> Result<Self, Self::Error> {
        Self::new(number).ok_or("out of the range of holder numbers")
    }
}

impl From<Holder> for u16 {
    fn from(holder: Holder) -> Self {
        holder.0
    }
}

/// Fencing token of an upstream's owner. The upstream rejects orders with a lower token than the highest it has seen.
///
/// Tokens are compared by their counters and then by their holders, so that two holders never have equal ones. On the wire a
/// token is one integer, which is compared in the same way.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(from = "u64", into = "u64")]
pub struct Fence {
    /// Steps of [`STEP_MS`] since the start of 1970, or more if the token was raised.
    counter: u64,
    /// Number of the holder; any value in tokens of earlier versions.
    holder: u16,
}

impl Fence {
    /// Highest token.
    pub const MAX: Self = Self { counter: MAX_COUNTER, holder: Holder::MAX };

    /// The token of a holder at the given Unix time.
    #[must_use]
    pub const fn at(unix_ms: u64, holder: Holder) -> Self {
        Self { counter: unix_ms / STEP_MS, holder: holder.0 }
    }

    /// Number of steps by which a token is raised to advance it by `time`.
    #[must_use]
    pub fn steps(time: Duration) -> u64 {
        whole_ms(time).div_ceil(STEP_MS)
    }

    /// The token of the same holder whose counter is higher by `steps`.
    #[must_use]
    pub fn raised(self, steps: u64) -> Self {
        Self { counter: self.counter.saturating_add(steps).min(MAX_COUNTER), ..self }
    }

    /// The lowest token of the same holder that is not below this one and whose counter exceeds that of `other` by at least
    /// `steps`.
    #[must_use]
    pub fn raised_above(self, other: Self, steps: u64) -> Self {
        self.raised(other.counter.saturating_add(steps).saturating_sub(self.counter))
    }

    /// Whether both tokens have the same holder.
    #[must_use]
    pub const fn has_same_holder(self, other: Self) -> bool {
        self.holder == other.holder
    }
}

impl From<u64> for Fence {
    fn from(packed: u64) -> Self {
        let holder = packed & u64::from(Holder::MAX);
        Self { counter: packed >> HOLDER_BITS, holder: u16::try_from(holder).unwrap_or_default() }
    }
}

impl From<Fence> for u64 {
    fn from(fence: Fence) -> Self {
        fence.counter << HOLDER_BITS | Self::from(fence.holder)
    }
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        u64::from(*self).fmt(f)
    }
}
