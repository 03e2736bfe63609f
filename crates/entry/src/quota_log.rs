//! Log of teams that reach their quota, limited in rate and memory.

use std::sync::Mutex;
use std::time::Duration;

use hinge_wire::{FastMap, LogEvent};
use serde::Serialize;
use tokio::time::Instant;

use crate::lock::lock;

/// Minimum time between two log lines about a team.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of teams remembered; further teams are not logged until the interval of a remembered team has passed.
const MAX_TEAMS: usize = 1024;

#[derive(Serialize)]
struct Limited<'a> {
    team: &'a str,
}

/// Time of the last log line by team.
#[derive(Default)]
pub(crate) struct QuotaLog(Mutex<FastMap<String, Instant>>);

impl QuotaLog {
    /// Logs that a team's quota rejected a submission, unless a line about the team was logged within [`LOG_INTERVAL`].
    /// Returns whether it was logged.
    pub(crate) fn log_limited(&self, now: Instant, team: &str) -> bool {
        let is_due = self.is_due(now, team);
        if is_due {
            hinge_obs::emit(LogEvent::QuotaLimited, &Limited { team });
        }
        is_due
    }

    fn is_due(&self, now: Instant, team: &str) -> bool {
        let mut last_logged = lock(&self.0);
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < LOG_INTERVAL;
        if last_logged.get(team).is_some_and(is_recent) {
            return false;
        }
        if last_logged.len() >= MAX_TEAMS {
            last_logged.retain(|_, at| is_recent(at));
        }
        if last_logged.len() >= MAX_TEAMS {
            return false;
        }
        last_logged.insert(team.to_owned(), now);
        true
    }
}
