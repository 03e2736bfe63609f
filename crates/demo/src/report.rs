//! Outcomes and response times of the mix.

use std::fmt;
use std::time::Duration;

use hinge_wire::Outcome;

/// Unexpected answers that are printed per row; all are counted.
const SHOWN_FAILURES: usize = 5;

/// Results of one kind of work.
#[derive(Clone, Debug)]
pub struct Row {
    failures: Vec<String>,
    name: String,
    outcome: Option<Outcome>,
    times: Vec<Duration>,
}

impl Row {
    /// An empty row.
    #[must_use]
    pub fn new(name: impl Into<String>) -> Self {
        Self { failures: Vec::new(), name: name.into(), outcome: None, times: Vec::new() }
    }

    /// Adds an answer with its outcome, or what was wrong with it.
    pub fn add_answer(&mut self, time: Duration, answer: Result<Outcome, String>) {
        self.times.push(time);
        match answer {
            Ok(outcome) => self.outcome = Some(outcome),
            Err(failure) => self.failures.push(failure),
        }
    }

    /// Whether there was an answer and all were as expected.
    fn is_as_expected(&self) -> bool {
        self.failures.is_empty() && !self.times.is_empty()
    }

    /// Response time in milliseconds below which `percent` of the answers came.
    fn percentile_ms(&self, percent: usize) -> f64 {
        let mut times = self.times.clone();
        times.sort_unstable();
        let rank = (times.len() * percent).div_ceil(100).max(1);
        times.get(rank - 1).map_or(0.0, |time| time.as_secs_f64() * 1000.0)
    }
}

/// Results of the whole mix.
#[derive(Clone, Debug, Default)]
pub struct Report {
    failures: Vec<String>,
    /// Results per kind of work.
    pub rows: Vec<Row>,
    /// Starts at all upstreams.
    pub task_starts: usize,
}

impl Report {
    /// A report of these rows.
    #[must_use]
    pub fn new(rows: Vec<Row>) -> Self {
        Self { failures: Vec::new(), rows, task_starts: 0 }
    }

    /// Adds a failure that belongs to no row.
    pub fn add_failure(&mut self, failure: String) {
        self.failures.push(failure);
    }

    /// Whether every answer was as expected.
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
        for failure in self.rows.iter().flat_map(|row| row.failures.iter().take(SHOWN_FAILURES)) {
            writeln!(f, "unexpected: {failure}")?;
        }
        for failure in self.failures.iter().take(SHOWN_FAILURES) {
            writeln!(f, "unexpected: {failure}")?;
        }
        let answers: usize = self.rows.iter().map(|row| row.times.len()).sum();
        let unexpected: usize =
            self.rows.iter().map(|row| row.failures.len()).sum::<usize>() + self.failures.len();
        let verdict = if self.is_as_expected() { "every answer was as expected" } else { "NOT as expected" };
        write!(f, "{verdict}: {answers} answers, {unexpected} unexpected, {} task starts", self.task_starts)
    }
}
