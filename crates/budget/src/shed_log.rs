//! Counts and log lines of what is given up.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hinge_obs::emit;
use hinge_wire::LogEvent;
use serde_json::json;
use tokio::time::Instant;

/// Minimum time between two log lines.
const MIN_LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Why something is given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Cause {
    Body,
    Closed,
    Refused,
    Request,
    Response,
    Unread,
}

/// Number of times that something was given up, by cause.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShedCounts {
    /// Unfinished bodies that were shed.
    pub bodies: u64,
    /// Connections that were closed for a new one.
    pub closed: u64,
    /// Connections that were refused, since no other could be closed.
    pub refused: u64,
    /// Complete requests that were refused for want of memory.
    pub requests: u64,
    /// Responses that were given up for want of memory.
    pub responses: u64,
    /// Connections that were closed since their clients did not read their responses.
    pub unread: u64,
}

/// Counts what is given up, and logs the counts when they have changed, at most once in [`MIN_LINE_INTERVAL`].
#[derive(Debug, Default)]
pub(crate) struct ShedLog {
    counts: [AtomicU64; 6],
    next_line_at: Mutex<Option<Instant>>,
}

impl ShedLog {
    pub(crate) fn record(&self, cause: Cause, held_bytes: usize) {
        self.counts[cause as usize].fetch_add(1, Ordering::Relaxed);
        if self.line_is_due() {
            let counts = self.counts();
            let details = json!({
                "bodies": counts.bodies, "closed": counts.closed, "held_bytes": held_bytes,
                "refused": counts.refused, "requests": counts.requests, "responses": counts.responses,
                "unread": counts.unread,
            });
            emit(LogEvent::RequestsShed, &details);
        }
    }

    pub(crate) fn counts(&self) -> ShedCounts {
        let count = |cause: Cause| self.counts[cause as usize].load(Ordering::Relaxed);
        ShedCounts {
            bodies: count(Cause::Body),
            closed: count(Cause::Closed),
            refused: count(Cause::Refused),
            requests: count(Cause::Request),
            responses: count(Cause::Response),
            unread: count(Cause::Unread),
        }
    }

    fn line_is_due(&self) -> bool {
        let now = Instant::now();
        let mut next_line_at = self.next_line_at.lock().unwrap_or_else(PoisonError::into_inner);
        if next_line_at.is_some_and(|at| now < at) {
            return false;
        }
        *next_line_at = Some(now + MIN_LINE_INTERVAL);
        true
    }
}
