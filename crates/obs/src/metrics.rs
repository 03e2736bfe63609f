//! Counters, gauges and response time histograms, sent to StatsD once per interval.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cadence::{BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, StatsdClient};
use hdrhistogram::Histogram;
use hinge_wire::{Class, FastMap, TeamId};
use thiserror::Error;

/// Maximum number of teams with their own histogram; further teams share the series `other`.
const MAX_TEAM_SERIES: usize = 1024;
/// Upper limit of the histograms; longer response times are recorded as this value.
const MAX_RESPONSE_MS: u64 = 3_600_000;
/// Precision of the histograms; with two significant digits a histogram takes about 20 KB.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Reason why metrics could not be set up.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// The UDP socket could not be opened.
    #[error("cannot open a UDP socket for metrics: {0}")]
    Socket(#[from] std::io::Error),
    /// The StatsD client rejected the address.
    #[error("cannot send metrics to {address}: {source}")]
    Address {
        /// Address of the StatsD server.
        address: SocketAddr,
        /// Error of the StatsD client.
        source: cadence::MetricError,
    },
}

/// The submissions that a histogram covers.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Series {
    /// All submissions of a class.
    Class(Class),
    /// All submissions of a team.
    Team(TeamId),
    /// All submissions of teams without their own series.
    OtherTeams,
}

/// Response times of one series since the start of the process.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseSummary {
    /// Number of answered submissions.
    pub count: u64,
    /// Maximum in milliseconds.
    pub max_ms: u64,
    /// Median in milliseconds.
    pub p50_ms: u64,
    /// 99th percentile in milliseconds.
    pub p99_ms: u64,
    /// 99.9th percentile in milliseconds.
    pub p999_ms: u64,
    /// The submissions that are covered.
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

/// Metrics of one process: counters, gauges and response time histograms.
pub struct Metrics {
    client: StatsdClient,
    state: Mutex<State>,
}

impl Metrics {
    /// Creates metrics that are collected but not sent.
    #[must_use]
    pub fn disabled() -> Self {
        Self::with_client(StatsdClient::from_sink("celeryhinge", NopMetricSink))
    }

    /// Creates metrics that [`flush`](Self::flush) sends to StatsD at `address` over UDP, with the instance id as a tag.
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

    /// Adds `amount` to the counter `name`, which starts at 0.
    pub fn count(&self, name: &'static str, amount: u64) {
        let mut state = self.lock();
        let counter = state.counters.entry(name).or_default();
        counter.total += amount;
        counter.unsent += amount;
    }

    /// Sets the gauge `name` to `value`.
    pub fn gauge(&self, name: &'static str, value: u64) {
        self.lock().gauges.insert(name, value);
    }

    /// Records the time from the receipt of a submission to its answer, for its class and its team.
    pub fn record_response(&self, class: Class, team: &TeamId, time: Duration) {
        let mut state = self.lock();
        record(&mut state.responses, Series::Class(class), time);
        let series = Series::Team(team.clone());
        let known = state.responses.contains_key(&series);
        let full = state.responses.len() >= MAX_TEAM_SERIES + Class::COUNT;
        record(&mut state.responses, if known || !full { series } else { Series::OtherTeams }, time);
    }

    /// Total of each counter since the start of the process and value of each gauge, sorted by name.
    #[must_use]
    pub fn values(&self) -> Vec<(&'static str, u64)> {
        let state = self.lock();
        let counters = state.counters.iter().map(|(name, counter)| (*name, counter.total));
        let mut values: Vec<_> =
            counters.chain(state.gauges.iter().map(|(name, value)| (*name, *value))).collect();
        values.sort_unstable();
        values
    }

    /// Response times of each series: first the classes, then the teams.
    #[must_use]
    pub fn responses(&self) -> Vec<ResponseSummary> {
        let state = self.lock();
        let mut summaries: Vec<_> =
            state.responses.iter().map(|(series, histogram)| summarize(series, histogram)).collect();
        summaries.sort_by(|a, b| a.series.cmp(&b.series));
        summaries
    }

    /// Sends the increments of counters since the last call, all gauges, and the 99th percentile of each series.
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
