//! Table of the dispatcher's figures beside those of the naive version.

use std::fmt::Write as _;
use std::time::Duration;

use hinge_conf::Policy;
use hinge_dispatch::Totals;
use hinge_wire::Class;
use tokio::time::Instant;

use crate::driver::{self, shortest_path};
use crate::fleet::{BARFANI, COOPERATIVE, Shape};
use crate::naive;
use crate::recorder::{ClassFigures, Record, figures, work_by_team};
use crate::scenario::Scenario;
use crate::workload::{Arrival, Flood, WorkloadSpec, generate, standard_mix};

/// Number of teams of the deployments today.
const TEAMS: u32 = 40;
/// Floods begin and end at these parts of a run; figures come from a window inside.
const FLOOD_PARTS: (f64, f64) = (0.25, 0.75);
const WINDOW_PARTS: (f64, f64) = (0.3, 0.7);
/// Run times are declared up to this factor too long or too short.
const DECLARED_ERROR: f64 = 10.0;

/// What to run.
#[derive(Clone, Debug)]
pub struct ReportOptions {
    /// Length of each run in seconds of virtual time.
    pub duration_s: f64,
    /// Only scenarios whose name contains this text.
    pub only: String,
    /// Policy of the dispatcher.
    pub policy: Policy,
    /// Seed of the workload.
    pub seed: u64,
}

/// Figures of one version in one scenario.
#[derive(Clone, Debug)]
pub struct VersionFigures {
    /// Figures of the classes, most urgent first.
    pub classes: Vec<ClassFigures>,
    /// Failed submissions of the whole run, from its start.
    pub failed: usize,
    /// Completed work of the batch class by team, in slot seconds.
    pub team_work_s: Vec<f64>,
    /// Name of the version.
    pub version: &'static str,
    /// Messages that advanced no task, per start.
    pub wasted_per_start: f64,
}

/// Both versions in one scenario.
#[derive(Clone, Debug)]
pub struct ScenarioFigures {
    /// Deployment and scenario.
    pub name: String,
    /// Counters of the dispatcher.
    pub totals: Totals,
    /// The versions.
    pub versions: [VersionFigures; 2],
}

/// Runs all scenarios in both deployments.
#[must_use]
pub fn run_all(options: &ReportOptions) -> Vec<ScenarioFigures> {
    let mut results = Vec::new();
    for shape in [BARFANI, COOPERATIVE] {
        for scenario in scenarios(options, &shape) {
            let name = format!("{}, {}", shape.name, scenario.name);
            if name.contains(&options.only) {
                results.push(run(name, &scenario));
            }
        }
    }
    results
}

/// Markdown tables of the results.
#[must_use]
pub fn tables(results: &[ScenarioFigures]) -> String {
    let mut page = String::new();
    for result in results {
        write_table(&mut page, result);
    }
    page
}

/// The scenarios of one deployment.
#[must_use]
pub fn scenarios(options: &ReportOptions, shape: &Shape) -> Vec<Scenario> {
    let flood = |class, factor| {
        let at = |part| options.duration_s * part;
        vec![Flood { class, factor, from_s: at(FLOOD_PARTS.0), until_s: at(FLOOD_PARTS.1) }]
    };
    let scenario = |name: &str, failing_share, floods| Scenario {
        failing_share,
        faults: Vec::new(),
        name: name.to_owned(),
        policy: options.policy.clone(),
        shape: *shape,
        workload: WorkloadSpec {
            classes: standard_mix(0.8),
            declared_error: DECLARED_ERROR,
            duration_s: options.duration_s,
            floods,
            seed: options.seed,
            slots: shape.total_slots(),
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

fn run(name: String, scenario: &Scenario) -> ScenarioFigures {
    let arrivals = generate(&scenario.workload);
    let (real, totals) = driver::run(scenario, &arrivals, Instant::now());
    let naive = naive::run(scenario, &arrivals);
    let versions = [
        version_figures("celeryhinge", scenario, &arrivals, &real),
        version_figures("naive", scenario, &arrivals, &naive),
    ];
    ScenarioFigures { name, totals, versions }
}

fn version_figures(
    version: &'static str,
    scenario: &Scenario,
    arrivals: &[Arrival],
    record: &Record,
) -> VersionFigures {
    let part = |part: f64| Duration::from_secs_f64(scenario.workload.duration_s * part);
    let window = (part(WINDOW_PARTS.0), part(WINDOW_PARTS.1));
    let path = shortest_path(&scenario.shape);
    VersionFigures {
        classes: Class::ALL.map(|class| figures(arrivals, record, class, window, path)).to_vec(),
        failed: record.ended.iter().flatten().filter(|ended| !ended.complete && !ended.not_run).count(),
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
