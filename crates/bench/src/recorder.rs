//! The end of each submission in a run, and the figures calculated from them.

use std::time::Duration;

use hinge_wire::Class;

use crate::workload::Arrival;

/// How and when one submission ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubmissionEnd {
    /// Virtual time at which the caller receives the answer.
    pub at: Duration,
    /// Whether all its tasks succeeded.
    pub is_complete: bool,
    /// Whether it failed without any task having run. The naive version never sets it.
    pub is_rejected: bool,
}

/// Messages between entries and upstreams in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MessageCounts {
    /// Task starts sent to upstreams.
    pub starts: u64,
    /// Messages that advanced no task, such as rejected starts and retries.
    pub wasted: u64,
}

/// What one version of the dispatcher did with a workload.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// End of each submission, in the order of the arrivals; `None` when it had no answer at the end of the run.
    pub ended: Vec<Option<SubmissionEnd>>,
    /// Message counts of the whole run.
    pub messages: MessageCounts,
}

/// Figures of the submissions of one class that arrived within a time window.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassFigures {
    /// The class that the figures cover.
    pub class: Class,
    /// Number of complete submissions.
    pub complete: u64,
    /// Sum of the run times of complete submissions, in slot seconds.
    pub complete_work_s: f64,
    /// Number of failed submissions that do not count as rejected.
    pub failed: u64,
    /// Response time divided by [`ideal_response_time`]: median, 99th and 99.9th percentile of complete submissions.
    pub ratio: [f64; 3],
    /// Number of submissions that failed without running.
    pub rejected: u64,
    /// Response time in milliseconds: median, 99th and 99.9th percentile of complete submissions.
    pub response_ms: [f64; 3],
    /// Number of submissions without an answer at the end of the run.
    pub unanswered: u64,
}

/// Response time without queueing or failures: the longest run time plus the shortest round trip.
#[must_use]
pub fn ideal_response_time(arrival: &Arrival, round_trip: Duration) -> Duration {
    round_trip + arrival.run_times.iter().max().copied().unwrap_or_default()
}

/// Calculates the figures of the submissions of `class` that arrived in `window`, a half-open range of virtual time.
/// `round_trip` is the shortest one, for the ideal response time.
#[must_use]
pub fn class_figures(
    arrivals: &[Arrival],
    record: &RunRecord,
    class: Class,
    window: (Duration, Duration),
    round_trip: Duration,
) -> ClassFigures {
    let mut ratios = Vec::new();
    let mut responses_ms = Vec::new();
    let mut figures = ClassFigures {
        class,
        complete: 0,
        complete_work_s: 0.0,
        failed: 0,
        ratio: [0.0; 3],
        rejected: 0,
        response_ms: [0.0; 3],
        unanswered: 0,
    };
    let in_window =
        |arrival: &Arrival| arrival.class == class && arrival.at >= window.0 && arrival.at < window.1;
    for (arrival, ended) in arrivals.iter().zip(&record.ended).filter(|(arrival, _)| in_window(arrival)) {
        match ended {
            None => figures.unanswered += 1,
            Some(ended) if ended.is_complete => {
                let response = ended.at.saturating_sub(arrival.at);
                let ratio = response.as_secs_f64() / ideal_response_time(arrival, round_trip).as_secs_f64();
                ratios.push(ratio);
                responses_ms.push(response.as_secs_f64() * 1000.0);
                figures.complete += 1;
                figures.complete_work_s += arrival.run_times.iter().map(Duration::as_secs_f64).sum::<f64>();
            }
            Some(ended) if ended.is_rejected => figures.rejected += 1,
            Some(_) => figures.failed += 1,
        }
    }
    figures.ratio = quantiles(&mut ratios);
    figures.response_ms = quantiles(&mut responses_ms);
    figures
}

/// Median, 99th and 99.9th percentile by the nearest rank; 0 when there are no values.
fn quantiles(values: &mut [f64]) -> [f64; 3] {
    values.sort_by(f64::total_cmp);
    [0.5, 0.99, 0.999].map(|quantile| {
        let index = (quantile * values.len() as f64).ceil() as usize;
        values.get(index.saturating_sub(1)).copied().unwrap_or_default()
    })
}

/// Work in slot seconds of each team's submissions of `class` that completed in `window`, indexed by team number.
#[must_use]
pub fn work_by_team(
    arrivals: &[Arrival],
    record: &RunRecord,
    class: Class,
    window: (Duration, Duration),
    teams: u32,
) -> Vec<f64> {
    let mut work = vec![0.0; teams as usize];
    for (arrival, ended) in arrivals.iter().zip(&record.ended) {
        let Some(ended) = ended.filter(|ended| ended.is_complete) else { continue };
        let in_window = arrival.class == class && ended.at >= window.0 && ended.at < window.1;
        if let Some(team) = work.get_mut(arrival.team as usize).filter(|_| in_window) {
            *team += arrival.run_times.iter().map(Duration::as_secs_f64).sum::<f64>();
        }
    }
    work
}
