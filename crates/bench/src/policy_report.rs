//! Runs the dispatcher and the naive version in all scenarios and prints their figures side by side.

use std::fmt::Write as _;
use std::time::Duration;

use hinge_conf::Policy;
use hinge_dispatch::Totals;
use hinge_wire::Class;
use tokio::time::Instant;

use crate::driver::{self, min_round_trip};
use crate::fleet::{BARFANI, COOPERATIVE, Deployment};
use crate::naive;
use crate::recorder::{ClassFigures, RunRecord, class_figures, work_by_team};
use crate::scenario::Scenario;
use crate::workload::{Arrival, Flood, WorkloadSpec, generate, standard_mix};

/// Number of teams in today's deployments.
const TEAMS: u32 = 40;
/// Start and end of a flood, as fractions of a run.
const FLOOD_SPAN: (f64, f64) = (0.25, 0.75);
/// Start and end of the window that the figures cover, as fractions of a run. It lies within the flood.
const WINDOW_SPAN: (f64, f64) = (0.3, 0.7);
/// Largest factor by which declared run times are too long or too short.
const DECLARED_ERROR: f64 = 10.0;

/// Scenarios to run, and their parameters.
#[derive(Clone, Debug)]
pub struct ReportOptions {
    /// Length of each run in seconds of virtual time.
    pub duration_s: f64,
    /// Text that the name of a scenario with its deployment must contain; all run when it is empty.
    pub only: String,
    /// Policy of the dispatcher. The naive version uses only its deadlines.
    pub policy: Policy,
    /// Seed of the workload and of the random choices of both versions.
    pub seed: u64,
}

/// Figures of one version in one scenario.
#[derive(Clone, Debug)]
pub struct VersionFigures {
    /// Figures of each class, most urgent first.
    pub classes: Vec<ClassFigures>,
    /// Number of failed submissions in the whole run, not only in the window; rejected ones do not count.
    pub failed: usize,
    /// Batch work in slot seconds that each team completed in the window, indexed by team number.
    pub team_work_s: Vec<f64>,
    /// Name in the tables: `celeryhinge` or `naive`.
    pub version: &'static str,
    /// Messages that advanced no task, divided by task starts.
    pub wasted_per_start: f64,
}

/// Figures of both versions in one scenario.
#[derive(Clone, Debug)]
pub struct ScenarioFigures {
    /// Names of the deployment and the scenario, separated by a comma.
    pub name: String,
    /// Counters of the dispatcher, summed over all entries.
    pub totals: Totals,
    /// The dispatcher, then the naive version.
    pub versions: [VersionFigures; 2],
}

/// Runs the selected scenarios in both deployments.
#[must_use]
pub fn run_all(options: &ReportOptions) -> Vec<ScenarioFigures> {
    let mut results = Vec::new();
    for deployment in [BARFANI, COOPERATIVE] {
        for scenario in scenarios(options, &deployment) {
            let name = format!("{}, {}", deployment.name, scenario.name);
            if name.contains(&options.only) {
                results.push(run_both(name, &scenario));
            }
        }
    }
    results
}

/// Formats the results as Markdown, with a heading and a table for each scenario.
#[must_use]
pub fn markdown_tables(results: &[ScenarioFigures]) -> String {
    let mut page = String::new();
    for result in results {
        write_table(&mut page, result);
    }
    page
}

/// The scenarios of one deployment, all at 80% load apart from floods.
#[must_use]
pub fn scenarios(options: &ReportOptions, deployment: &Deployment) -> Vec<Scenario> {
    let flood = |class, factor| {
        let at = |fraction| options.duration_s * fraction;
        vec![Flood { class, factor, from_s: at(FLOOD_SPAN.0), until_s: at(FLOOD_SPAN.1) }]
    };
    let scenario = |name: &str, failing_share, floods| Scenario {
        failing_share,
        faults: Vec::new(),
        name: name.to_owned(),
        policy: options.policy.clone(),
        deployment: *deployment,
        workload: WorkloadSpec {
            classes: standard_mix(0.8),
            declared_error: DECLARED_ERROR,
            duration_s: options.duration_s,
            floods,
            seed: options.seed,
            slots: deployment.total_slots(),
            teams: TEAMS,
        },
    };
    vec![
        scenario("80% load", 0.0, Vec::new()),
        scenario("80% load, 5% of upstreams fail everything", 0.05, Vec::new()),
        scenario("tenfold batch flood", 0.0, flood(Class::Batch, 10.0)),
        scenario("tenfold urgent flood", 0.0, flood(Class::Urgent, 10.0)),
    ]
}

fn run_both(name: String, scenario: &Scenario) -> ScenarioFigures {
    let arrivals = generate(&scenario.workload);
    let (dispatcher, totals) = driver::run(scenario, &arrivals, Instant::now());
    let naive = naive::run(scenario, &arrivals);
    let versions = [
        version_figures("celeryhinge", scenario, &arrivals, &dispatcher),
        version_figures("naive", scenario, &arrivals, &naive),
    ];
    ScenarioFigures { name, totals, versions }
}

fn version_figures(
    version: &'static str,
    scenario: &Scenario,
    arrivals: &[Arrival],
    record: &RunRecord,
) -> VersionFigures {
    let at = |fraction: f64| Duration::from_secs_f64(scenario.workload.duration_s * fraction);
    let window = (at(WINDOW_SPAN.0), at(WINDOW_SPAN.1));
    let round_trip = min_round_trip(&scenario.deployment);
    VersionFigures {
        classes: Class::ALL.map(|class| class_figures(arrivals, record, class, window, round_trip)).to_vec(),
        failed: record
            .ended
            .iter()
            .flatten()
            .filter(|ended| !ended.is_complete && !ended.is_rejected)
            .count(),
        team_work_s: work_by_team(arrivals, record, Class::Batch, window, TEAMS),
        version,
        wasted_per_start: record.messages.wasted as f64 / record.messages.starts.max(1) as f64,
    }
}

fn write_table(page: &mut String, result: &ScenarioFigures) {
    let ScenarioFigures { name, totals, versions } = result;
    let _ = writeln!(page, "### {name}\n");
    let _ = writeln!(
        page,
        "Starts {}, busy rejections {}, loan requests {} of which empty {}, retries {}.\n",
        totals.starts, totals.busy_refusals, totals.loan_requests, totals.empty_loans, totals.retries
    );
    page.push_str(
        "| version | class | complete | rejected | failed | unanswered | work done, slot s | response / ideal: \
         median, 99%, 99.9% | response ms: median, 99%, 99.9% | wasted messages per start |\n\
         |---|---|---|---|---|---|---|---|---|---|\n",
    );
    for version in versions {
        write_rows(page, version);
    }
    for VersionFigures { failed, team_work_s, version, .. } in versions {
        let mut work = team_work_s.clone();
        work.sort_by(f64::total_cmp);
        let total: f64 = work.iter().sum();
        let largest = work.last().copied().unwrap_or_default() / total.max(1.0) * 100.0;
        let _ = writeln!(
            page,
            "\n{version}: {failed} submissions failed in the whole run; the largest of {TEAMS} teams got {largest:.0}% of the batch work."
        );
    }
    page.push('\n');
}

fn write_rows(page: &mut String, figures: &VersionFigures) {
    let VersionFigures { classes, version, wasted_per_start, .. } = figures;
    for row in classes {
        let ClassFigures {
            class,
            complete,
            complete_work_s,
            failed,
            ratio,
            rejected,
            response_ms,
            unanswered,
        } = row;
        let _ = writeln!(
            page,
            "| {version} | {class} | {complete} | {rejected} | {failed} | {unanswered} | {complete_work_s:.0} | \
             {:.2}, {:.2}, {:.2} | {:.0}, {:.0}, {:.0} | {wasted_per_start:.3} |",
            ratio[0], ratio[1], ratio[2], response_ms[0], response_ms[1], response_ms[2]
        );
    }
}
