//! The value under a claimed number, and what it means for a process that finds it.

use bytes::Bytes;
use hinge_wire::{from_json, to_json};
use serde::{Deserialize, Serialize};

/// Number of days since the start of 1970, by the clock of a process.
pub(crate) type UnixDay = u64;

/// Number of days after that of the last renewal for which its holder uses a number.
const USED_DAYS: UnixDay = 5;
/// Number of days after that of the last renewal for which no other process may claim a number. The holder's tokens run ahead of
/// its clock by up to a day.
const RESERVED_DAYS: UnixDay = 7;

/// Value under a claimed number, as JSON.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct NumberRecord {
    /// Day of the last renewal, by the clock of the holder.
    pub(crate) day: UnixDay,
    /// Process that holds the number.
    pub(crate) incarnation: u64,
}

/// What a record means for the process that has found it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ClaimStatus {
    /// The process holds the number by this record.
    Own,
    /// The number may be claimed by replacing the record.
    Free,
    /// Another process holds the number, or the value is not a record.
    Taken,
}

impl NumberRecord {
    pub(crate) fn encode(self) -> Bytes {
        to_json(&self).unwrap_or_default().into()
    }

    pub(crate) fn decode(value: &[u8]) -> Option<Self> {
        from_json(value).ok()
    }

    /// What the record means for the process `incarnation` on the day `today` of its clock.
    pub(crate) const fn status_for(self, incarnation: u64, today: UnixDay) -> ClaimStatus {
        let is_own = self.incarnation == incarnation;
        if is_own && self.day <= today && today < lapse_day(self.day) {
            ClaimStatus::Own
        } else if today > self.day.saturating_add(RESERVED_DAYS) || is_own && self.day <= today {
            ClaimStatus::Free
        } else {
            ClaimStatus::Taken
        }
    }
}

/// The day from whose start on a number that was renewed on `renewed_on` is not used any more.
pub(crate) const fn lapse_day(renewed_on: UnixDay) -> UnixDay {
    renewed_on.saturating_add(USED_DAYS + 1)
}
