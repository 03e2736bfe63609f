//! Counters, gauges and response time histograms, sent to StatsD once per interval.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cadence::{BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, StatsdClient};
use hdrhistogram::Histogram;
use hinge_wire::{Class, FastMap, TeamId};
use thiserror::Error;

/// Teams with a histogram of their own; further teams share the series `other`.
const MAX_TEAM_SERIES: usize = 1024;
/// Longest response time told apart, in milliseconds.
const MAX_RESPONSE_MS: u64 = 3_600_000;
/// Two significant digits keep a histogram near 20 KB.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Why metrics could not be set up.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// The UDP socket could not be opened.
    #[error("cannot open a UDP socket for metrics: {0}")]
    Socket(#[from] std::io::Error),
    /// The address cannot be used.
    #[error("cannot send metrics to {address}: {source}")]
    Address {
        /// The StatsD address.
        address: SocketAddr,
        /// The cause.
        source: cadence::MetricError,
    },
}

/// What a histogram covers.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Series {
    /// All submissions of a class.
    Class(Class),
    /// All submissions of a team.
    Team(TeamId),
    /// Teams beyond the limit of separate series.
    OtherTeams,
}

/// Response times of one series since the start of the process.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseSummary {
    /// Number of answers.
    pub count: u64,
    /// Largest value in milliseconds.
    pub max_ms: u64,
    /// Median in milliseconds.
    pub p50_ms: u64,
    /// 99th percentile in milliseconds.
    pub p99_ms: u64,
    /// 99.9th percentile in milliseconds.
    pub p999_ms: u64,
    /// What is covered.
    pub series: Series,
}

#[derive(Default)]
struct State {
    counters: FastMap<&'static str, Counter>,
    gauges: FastMap<&'static str, u64>,
    responses: FastMap<Series, Histogram<u64>>,
}

#[derive(Default)]
struct Counter {
    total: u64,
    unsent: u64,
}

/// Collected metrics of one process.
pub struct Metrics {
    client: StatsdClient,
    state: Mutex<State>,
}

impl Metrics {
    /// Metrics that are collected and not sent.
    #[must_use]
    pub fn disabled() -> Self {
        Self::with_client(StatsdClient::from_sink("celeryhinge", NopMetricSink))
    }

    /// Metrics that are sent to StatsD at `address` over UDP, with the instance id as a tag.
    ///
    /// # Errors
    ///
    /// Fails when no UDP socket can be opened.
    pub fn statsd(address: SocketAddr, instance: &str) -> Result<Self, MetricsError> {
        let local: SocketAddr =
            if address.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket)
            .map_err(|source| MetricsError::Address { address, source })?;
        let client = StatsdClient::builder("celeryhinge", sink).with_tag("instance", instance).build();
        Ok(Self::with_client(client))
    }

    fn with_client(client: StatsdClient) -> Self {
        Self { client, state: Mutex::default() }
    }

    /// Adds to a counter.
    pub fn count(&self, name: &'static str, amount: u64) {
        let mut state = self.lock();
        let counter = state.counters.entry(name).or_default();
        counter.total += amount;
        counter.unsent += amount;
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &'static str, value: u64) {
        self.lock().gauges.insert(name, value);
    }

    /// Records the time from receipt to the answer of a submission.
    pub fn record_response(&self, class: Class, team: &TeamId, time: Duration) {
        let mut state = self.lock();
        record(&mut state.responses, Series::Class(class), time);
        let series = Series::Team(team.clone());
        let known = state.responses.contains_key(&series);
        let full = state.responses.len() >= MAX_TEAM_SERIES + Class::COUNT;
        record(&mut state.responses, if known || !full { series } else { Series::OtherTeams }, time);
    }

    /// Total of each counter and value of each gauge, by name.
    #[must_use]
    pub fn values(&self) -> Vec<(&'static str, u64)> {
        let state = self.lock();
        let counters = state.counters.iter().map(|(name, counter)| (*name, counter.total));
        let mut values: Vec<_> =
            counters.chain(state.gauges.iter().map(|(name, value)| (*name, *value))).collect();
        values.sort_unstable();
        values
    }

    /// Response times by class and team, classes first.
    #[must_use]
    pub fn responses(&self) -> Vec<ResponseSummary> {
        let state = self.lock();
        let mut summaries: Vec<_> =
            state.responses.iter().map(|(series, histogram)| summarize(series, histogram)).collect();
        summaries.sort_by(|a, b| a.series.cmp(&b.series));
        summaries
    }

    /// Sends what has changed since the last call.
    pub fn flush(&self) {
        let mut state = self.lock();
        for (name, counter) in &mut state.counters {
            let unsent = std::mem::take(&mut counter.unsent);
            if unsent > 0 {
                let _ = self.client.count(name, i64::try_from(unsent).unwrap_or(i64::MAX));
            }
        }
        for (name, value) in &state.gauges {
            let _ = self.client.gauge(name, *value);
        }
        for (series, histogram) in &state.responses {
            let (tag, value) = match series {
                Series::Class(class) => ("class", class.to_string()),
                Series::Team(team) => ("team", team.to_string()),
                Series::OtherTeams => ("team", "other".to_owned()),
            };
            let p99_ms = histogram.value_at_quantile(0.99);
            let _ = self.client.gauge_with_tags("response_p99_ms", p99_ms).with_tag(tag, &value).try_send();
        }
        let _ = self.client.flush();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn record(responses: &mut FastMap<Series, Histogram<u64>>, series: Series, time: Duration) {
    let time_ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX).clamp(1, MAX_RESPONSE_MS);
    if let Some(histogram) = responses.get_mut(&series) {
        histogram.saturating_record(time_ms);
    } else if let Ok(mut histogram) = Histogram::new_with_bounds(1, MAX_RESPONSE_MS, SIGNIFICANT_DIGITS) {
        histogram.saturating_record(time_ms);
        responses.insert(series, histogram);
    }
}

fn summarize(series: &Series, histogram: &Histogram<u64>) -> ResponseSummary {
    ResponseSummary {
        count: histogram.len(),
        max_ms: histogram.max(),
        p50_ms: histogram.value_at_quantile(0.5),
        p99_ms: histogram.value_at_quantile(0.99),
        p999_ms: histogram.value_at_quantile(0.999),
        series: series.clone(),
    }
}
