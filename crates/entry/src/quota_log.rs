//! Log of teams that have reached their quota, limited in rate and in memory.

use std::sync::Mutex;
use std::time::Duration;

use hinge_wire::{FastMap, LogEvent};
use serde::Serialize;
use tokio::time::Instant;

use crate::shared::lock;

/// Least time between two log lines about a team.
const INTERVAL: Duration = Duration::from_secs(10);
/// Teams remembered; further ones are not logged until an interval of another team is over.
const MAX_TEAMS: usize = 1024;

#[derive(Serialize)]
struct Limited<'a> {
    team: &'a str,
}

/// Times of the last lines by team.
#[derive(Default)]
pub(crate) struct QuotaLog(Mutex<FastMap<String, Instant>>);

impl QuotaLog {
    /// Logs that a submission of the team was rejected by its quota; true when a line was due.
    pub(crate) fn limited(&self, now: Instant, team: &str) -> bool {
        let is_due = self.is_due(now, team);
        if is_due {
            hinge_obs::emit(LogEvent::QuotaLimited, &Limited { team });
        }
        is_due
    }

    fn is_due(&self, now: Instant, team: &str) -> bool {
        let mut logged = lock(&self.0);
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < INTERVAL;
        if logged.get(team).is_some_and(is_recent) {
            return false;
        }
        if logged.len() >= MAX_TEAMS {
            logged.retain(|_, at| is_recent(at));
        }
        if logged.len() >= MAX_TEAMS {
            return false;
        }
        logged.insert(team.to_owned(), now);
        true
    }
}
