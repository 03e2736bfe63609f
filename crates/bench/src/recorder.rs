//! What happened to each submission, and the figures drawn from it.

use std::time::Duration;

use hinge_wire::Class;

use crate::workload::Arrival;

/// End of one submission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ended {
    /// Time at which the caller has the answer.
    pub at: Duration,
    /// Whether it is complete.
    pub complete: bool,
    /// Whether it was rejected without running.
    pub not_run: bool,
}

/// Messages of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Messages {
    /// Starts of tasks at upstreams.
    pub starts: u64,
    /// Messages that advanced no task.
    pub wasted: u64,
}

/// Outcome of a run.
#[derive(Clone, Debug)]
pub struct Record {
    /// End of each arrival, in the order of arrivals.
    pub ended: Vec<Option<Ended>>,
    /// Messages.
    pub messages: Messages,
}

/// Figures of one class within a time window.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassFigures {
    /// The class.
    pub class: Class,
    /// Complete submissions.
    pub complete: u64,
    /// Work of complete submissions in slot seconds.
    pub complete_work_s: f64,
    /// Failed submissions.
    pub failed: u64,
    /// Response time against the ideal: median, 99th and 99.9th percentile of complete submissions.
    pub ratio: [f64; 3],
    /// Rejected submissions.
    pub rejected: u64,
    /// Response time in milliseconds: median, 99th and 99.9th percentile of complete submissions.
    pub response_ms: [f64; 3],
    /// Submissions without an answer at the end of the run.
    pub unanswered: u64,
}

/// Response time with no queue, no failure and the nearest entry: the longest task and the shortest path.
#[must_use]
pub fn ideal(arrival: &Arrival, path: Duration) -> Duration {
    path + arrival.run_times.iter().max().copied().unwrap_or_default()
}

/// Figures of one class over arrivals in a time window.
#[must_use]
pub fn figures(
    arrivals: &[Arrival],
    record: &Record,
    class: Class,
    window: (Duration, Duration),
    path: Duration,
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
    let inside =
        |arrival: &Arrival| arrival.class == class && arrival.at >= window.0 && arrival.at < window.1;
    for (arrival, ended) in arrivals.iter().zip(&record.ended).filter(|(arrival, _)| inside(arrival)) {
        match ended {
            None => figures.unanswered += 1,
            Some(ended) if ended.complete => {
                let response = ended.at.saturating_sub(arrival.at);
                let ratio = response.as_secs_f64() / ideal(arrival, path).as_secs_f64();
                ratios.push(ratio);
                responses_ms.push(response.as_secs_f64() * 1000.0);
                figures.complete += 1;
                figures.complete_work_s += arrival.run_times.iter().map(Duration::as_secs_f64).sum::<f64>();
            }
            Some(ended) if ended.not_run => figures.rejected += 1,
            Some(_) => figures.failed += 1,
        }
    }
    figures.ratio = quantiles(&mut ratios);
    figures.response_ms = quantiles(&mut responses_ms);
    figures
}

/// Median, 99th and 99.9th percentile; 0 when there are no values.
fn quantiles(values: &mut [f64]) -> [f64; 3] {
    values.sort_by(f64::total_cmp);
    [0.5, 0.99, 0.999].map(|quantile| {
        let index = (quantile * values.len() as f64).ceil() as usize;
        values.get(index.saturating_sub(1)).copied().unwrap_or_default()
    })
}

/// Completed work of each team in slot seconds.
#[must_use]
pub fn work_by_team(
    arrivals: &[Arrival],
    record: &Record,
    class: Class,
    window: (Duration, Duration),
    teams: u32,
) -> Vec<f64> {
    let mut work = vec![0.0; teams as usize];
    for (arrival, ended) in arrivals.iter().zip(&record.ended) {
        let Some(ended) = ended.filter(|ended| ended.complete) else { continue };
        let inside = arrival.class == class && ended.at >= window.0 && ended.at < window.1;
        if let Some(team) = work.get_mut(arrival.team as usize).filter(|_| inside) {
            *team += arrival.run_times.iter().map(Duration::as_secs_f64).sum::<f64>();
        }
    }
    work
}
