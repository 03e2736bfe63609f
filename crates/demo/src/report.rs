//! Outcomes and response times of the workload.

use std::fmt;
use std::time::Duration;

use hinge_wire::Outcome;

/// Largest number of failures that are printed per row and for the whole run; all are counted.
const MAX_PRINTED_FAILURES: usize = 5;

/// Results of one part of the workload.
#[derive(Clone, Debug)]
pub struct Row {
    failures: Vec<String>,
    name: String,
    /// Outcome of the last answer that was as expected.
    outcome: Option<Outcome>,
    /// Response times of all answers.
    times: Vec<Duration>,
}

impl Row {
    /// Creates an empty row.
    #[must_use]
    pub fn new(name: impl Into<String>) -> Self {
        Self { failures: Vec::new(), name: name.into(), outcome: None, times: Vec::new() }
    }

    /// Adds an answer with its response time, and its outcome or why it was not as expected.
    pub fn add_answer(&mut self, time: Duration, answer: Result<Outcome, String>) {
        self.times.push(time);
        match answer {
            Ok(outcome) => self.outcome = Some(outcome),
            Err(failure) => self.failures.push(failure),
        }
    }

    /// Whether there is at least one answer and all answers were as expected.
    fn is_as_expected(&self) -> bool {
        self.failures.is_empty() && !self.times.is_empty()
    }

    /// Percentile of the response times in milliseconds; 0 if there are no answers.
    fn percentile_ms(&self, percent: usize) -> f64 {
        let mut times = self.times.clone();
        times.sort_unstable();
        let rank = (times.len() * percent).div_ceil(100).max(1);
        times.get(rank - 1).map_or(0.0, |time| time.as_secs_f64() * 1000.0)
    }
}

/// Results of the whole workload.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Failures that belong to no row.
    failures: Vec<String>,
    /// Results per part of the workload.
    pub rows: Vec<Row>,
    /// Number of task starts at all upstreams; 0 until they are checked.
    pub task_starts: usize,
}

impl Report {
    /// Creates a report of these rows.
    #[must_use]
    pub fn new(rows: Vec<Row>) -> Self {
        Self { failures: Vec::new(), rows, task_starts: 0 }
    }

    /// Adds a failure that belongs to no row.
    pub fn add_failure(&mut self, failure: String) {
        self.failures.push(failure);
    }

    /// Whether there are rows, every answer was as expected and no other check failed.
    #[must_use]
    pub fn is_as_expected(&self) -> bool {
        self.failures.is_empty() && !self.rows.is_empty() && self.rows.iter().all(Row::is_as_expected)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<18}{:>6}{:>12}  {:<22}{:>10}{:>10}{:>10}",
            "work", "sent", "as expected", "outcome", "p50 ms", "p99 ms", "max ms"
        )?;
        for row in &self.rows {
            let outcome = row.outcome.map_or_else(|| "-".to_owned(), |outcome| outcome.to_string());
            writeln!(
                f,
                "{:<18}{:>6}{:>12}  {:<22}{:>10.1}{:>10.1}{:>10.1}",
                row.name,
                row.times.len(),
                row.times.len() - row.failures.len(),
                outcome,
                row.percentile_ms(50),
                row.percentile_ms(99),
                row.percentile_ms(100)
            )?;
        }
        for failure in self.rows.iter().flat_map(|row| row.failures.iter().take(MAX_PRINTED_FAILURES)) {
            writeln!(f, "unexpected: {failure}")?;
        }
        for failure in self.failures.iter().take(MAX_PRINTED_FAILURES) {
            writeln!(f, "unexpected: {failure}")?;
        }
        let answers: usize = self.rows.iter().map(|row| row.times.len()).sum();
        let unexpected: usize =
            self.rows.iter().map(|row| row.failures.len()).sum::<usize>() + self.failures.len();
        let verdict = if self.is_as_expected() { "every answer was as expected" } else { "NOT as expected" };
        write!(f, "{verdict}: {answers} answers, {unexpected} unexpected, {} task starts", self.task_starts)
    }
}
