//! Order of the urgency classes.

use crate::Class;

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Self; 4] = [Self::Urgent, Self::Booking, Self::Query, Self::Batch];

    /// Number of classes, for arrays indexed by class.
    pub const COUNT: usize = Self::ALL.len();

    /// Position in [`Self::ALL`]; a lower index is more urgent.
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}
