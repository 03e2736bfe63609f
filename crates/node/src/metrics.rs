//! Counters, gauges and histograms of an entry in the text format of Prometheus.

use hinge_jobs::{Answer, Notice as JobNotice};
use hinge_mesh::MeshStats;
use hinge_runs::{InterferenceStats, Notice as RunNotice};
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder, exponential_buckets,
};

use crate::EvacuationReport;
use crate::evacuation_metrics::EvacuationMetrics;
use crate::journal::LogLine;

/// Upper bound of the first bucket of the time histograms, in seconds.
const FIRST_BUCKET_S: f64 = 0.001;
/// Number of buckets of the time histograms; each bound is twice the one before, up to 16 s.
const BUCKET_COUNT: usize = 15;

/// Metrics of one entry, registered under the prefix `celeryhinge`. Clones share their values.
#[derive(Clone, Debug)]
pub struct NodeMetrics {
    avoided: IntCounterVec,
    evacuations: EvacuationMetrics,
    events: IntCounterVec,
    in_progress: IntGauge,
    interfering_pairs: IntGauge,
    job_seconds: HistogramVec,
    jobs: IntCounterVec,
    links: IntGaugeVec,
    mesh: IntCounterVec,
    owned: IntGauge,
    queue_seconds: Histogram,
    rejected_starts: IntCounterVec,
    registry: Registry,
    run_seconds: HistogramVec,
    separated: IntCounter,
}

impl NodeMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails when two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new_custom(Some("celeryhinge".to_owned()), None)?;
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let links = IntGaugeVec::new(Opts::new("links", "Links to peers by state."), &["state"])?;
        registry.register(Box::new(links.clone()))?;
        let times = |name: &str, help: &str, labels: &[&str]| {
            let buckets = exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT)?;
            let histogram = HistogramVec::new(HistogramOpts::new(name, help).buckets(buckets), labels)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, prometheus::Error>(histogram)
        };
        Ok(Self {
            avoided: counter("upstreams_avoided_total", "Pauses of upstreams by cause.", &["cause"])?,
            evacuations: EvacuationMetrics::new(&registry)?,
            events: counter("events_total", "Changes of what the entry believes, by kind.", &["event"])?,
            in_progress: gauge("in_progress", "Jobs and tasks in progress.")?,
            interfering_pairs: gauge(
                "interfering_pairs",
                "Pairs of kinds of which one slows the other down.",
            )?,
            job_seconds: times("job_seconds", "Time from receipt to answer.", &["queue"])?,
            jobs: counter("jobs_total", "Answered jobs by queue and outcome.", &["queue", "outcome"])?,
            links,
            mesh: counter("mesh_total", "Messages, checks and suspicions sent to peers.", &["kind"])?,
            owned: gauge("upstreams_owned", "Upstreams that this entry owns.")?,
            queue_seconds: times("queue_seconds", "Time of tasks in the owner's queue.", &[])?
                .get_metric_with_label_values::<&str>(&[])?,
            rejected_starts: counter("starts_rejected_total", "Start orders without a run.", &["reason"])?,
            run_seconds: times("run_seconds", "Time from a start order to the end of its run.", &["how"])?,
            separated: counter(
                "tasks_separated_total",
                "Tasks placed elsewhere because of such a pair.",
                &[],
            )?
            .get_metric_with_label_values::<&str>(&[])?,
            registry,
        })
    }

    /// All metrics in the text format of Prometheus.
    #[must_use]
    pub fn render(&self) -> String {
        let mut page = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut page) {
            Ok(()) => String::from_utf8_lossy(&page).into_owned(),
            Err(error) => format!("# {error}\n"),
        }
    }

    pub(crate) fn set_state(&self, in_progress: usize, owned: usize) {
        self.in_progress.set(i64::try_from(in_progress).unwrap_or(i64::MAX));
        self.owned.set(i64::try_from(owned).unwrap_or(i64::MAX));
    }

    pub(crate) fn set_evacuations(&self, reports: &[EvacuationReport]) {
        self.evacuations.set(reports);
    }

    pub(crate) fn set_interference(&self, stats: InterferenceStats) {
        self.interfering_pairs.set(i64::try_from(stats.pairs).unwrap_or(i64::MAX));
        self.separated.inc_by(stats.separated.saturating_sub(self.separated.get()));
    }

    pub(crate) fn set_mesh(&self, stats: MeshStats) {
        let awake = stats.links - stats.resting_links;
        for (state, links) in [("awake", awake), ("resting", stats.resting_links)] {
            self.links.with_label_values(&[state]).set(i64::try_from(links).unwrap_or(i64::MAX));
        }
        let kinds = [("check", stats.checks), ("message", stats.frames), ("suspicion", stats.suspicions)];
        for (kind, total) in kinds {
            let counter = self.mesh.with_label_values(&[kind]);
            counter.inc_by(total.saturating_sub(counter.get()));
        }
    }

    /// Counts the event of a log line. The counts include lines that the log drops.
    pub(crate) fn observe(&self, line: &LogLine) {
        match line {
            LogLine::Evacuation { state, .. } => {
                let event = if state.evacuated { "evacuated" } else { "taken_back" };
                self.events.with_label_values(&[event]).inc();
            }
            LogLine::EvacuationAdopted { .. } => {}
            LogLine::Job(notice) => self.observe_job(notice),
            LogLine::PeerLinked { .. } => self.events.with_label_values(&["peer_linked"]).inc(),
            LogLine::PeerLost { .. } => self.events.with_label_values(&["peer_lost"]).inc(),
            LogLine::PeerUnresponsive { unresponsive: true, .. } => {
                self.events.with_label_values(&["peer_quiet"]).inc()
            }
            LogLine::PeerUnresponsive { unresponsive: false, .. } => {}
            LogLine::Run(notice) => self.observe_run(notice),
            LogLine::Suspended(_) => self.events.with_label_values(&["suspended"]).inc(),
        }
    }

    fn observe_job(&self, notice: &JobNotice) {
        match notice {
            JobNotice::Abandoned { .. } => self.events.with_label_values(&["job_abandoned"]).inc(),
            JobNotice::Admitted { .. } => {}
            JobNotice::Answered { answer, queue, total, .. } => {
                let outcome = match answer {
                    Answer::Completed => "completed",
                    Answer::Failed(_) => "failed",
                    Answer::Rejected { .. } => "rejected",
                };
                self.jobs.with_label_values(&[&**queue, outcome]).inc();
                self.job_seconds.with_label_values(&[&**queue]).observe(total.as_secs_f64());
            }
            JobNotice::GivenUp { .. } => self.events.with_label_values(&["task_given_up"]).inc(),
            JobNotice::Moved { .. } => self.events.with_label_values(&["task_moved"]).inc(),
            JobNotice::Repeated { .. } => self.events.with_label_values(&["task_repeated"]).inc(),
        }
    }

    fn observe_run(&self, notice: &RunNotice) {
        match notice {
            RunNotice::Available { .. } => self.events.with_label_values(&["upstream_available"]).inc(),
            RunNotice::Avoided { cause, .. } => self.avoided.with_label_values(&[cause]).inc(),
            RunNotice::Cancelled { .. } => self.events.with_label_values(&["run_cancelled"]).inc(),
            RunNotice::Dropped { .. } => self.events.with_label_values(&["task_dropped"]).inc(),
            RunNotice::Ended { how, run_time, .. } => {
                self.run_seconds.with_label_values(&[how]).observe(run_time.as_secs_f64());
            }
            RunNotice::Interference { .. } => {}
            RunNotice::Owner { state, .. } => {
                self.events.with_label_values(&[&format!("upstream_{state}")]).inc();
            }
            RunNotice::RecordOutdated { .. } => {
                self.events.with_label_values(&["record_outdated"]).inc();
            }
            RunNotice::RenewalLost { .. } => self.events.with_label_values(&["renewal_lost"]).inc(),
            RunNotice::SecondHolder { .. } => self.events.with_label_values(&["second_holder"]).inc(),
            RunNotice::Stalled { .. } => self.events.with_label_values(&["run_stalled"]).inc(),
            RunNotice::StartRejected { reason, .. } => {
                self.rejected_starts.with_label_values(&[reason]).inc();
            }
            RunNotice::Started { queued, .. } => self.queue_seconds.observe(queued.as_secs_f64()),
            RunNotice::Survived { .. } => self.events.with_label_values(&["run_survived"]).inc(),
            RunNotice::Unknown { .. } => self.events.with_label_values(&["unknown_run"]).inc(),
        }
    }
}
