//! The arithmetic of slopes, the rows of the table of costs, and a short run of the load generator.

#![allow(clippy::unwrap_used, reason = "tests")]

use hinge_load::cluster::Shape;
use hinge_load::http::{self, Options};
use hinge_load::{Plan, Row, Slope, measure_slopes};

/// Guards against a fixed cost that is counted as part of the cost per unit.
#[test]
fn slope_excludes_the_fixed_cost() {
    let slope = Slope { points: vec![(1.0, 12.0), (10.0, 30.0), (110.0, 230.0)] };
    assert!((slope.per_unit() - 2.0).abs() < 1e-9);
    assert!((slope.intercept() - 10.0).abs() < 1e-9);
}

/// Guards against a division by zero with a single size, which would give a cost per unit that was not measured.
#[test]
fn single_size_has_zero_slope() {
    let slope = Slope { points: vec![(5.0, 7.0)] };
    assert_eq!((slope.per_unit(), slope.intercept()), (0.0, 7.0));
    assert_eq!(Slope { points: Vec::new() }.per_unit(), 0.0);
}

/// Guards against a measurement that fails, gives no finite cost or drops out of the table. Tiny sizes keep it short.
#[test]
fn all_rows_are_printed() {
    let plan = Plan {
        idle_seconds: 0.0,
        scale: 0.001,
        settle_seconds: 0.0,
        store_entries: [1, 2],
        task_seconds: 0.1,
        observation_seconds: 0.1,
    };
    let mut rows: Vec<Row> = Vec::new();
    measure_slopes(&plan, |row| rows.push(row.clone())).unwrap();
    let columns = Row::header().lines().next().unwrap().matches('|').count();
    for row in &rows {
        assert!(row.slope.points.len() >= 2, "{row}");
        assert!(row.slope.points.iter().all(|(_, cost)| cost.is_finite()), "{row}");
        assert_eq!(row.to_string().matches('|').count(), columns, "{row}");
    }
    let expected = [
        ("memory: finished submission", "record"),
        ("memory: issued key", "key"),
        ("memory: running job", "queued task"),
        ("memory: open connection", "connection"),
        ("dispatcher: a submission with its tasks", "task"),
        ("tick of the dispatcher", "queued task"),
        ("a loan at the lender", "slot"),
        ("a new version of the list", "upstream"),
        ("body of the list", "upstream"),
        ("a heartbeat decoded", "peer"),
        ("heartbeat on the wire", "peer"),
        ("configuration document", "team quota"),
        ("entry: a submission over HTTP", "task"),
        ("entries: a submission over HTTP that one forwards", "task"),
        ("caller's client", "task"),
        ("store calls of one configuration change", "entry"),
        ("store calls in the fullest second after a start", "entry"),
        ("store calls per hour at idle", "entry"),
        ("idle entry", "upstream"),
    ];
    for (name, unit) in expected {
        assert!(
            rows.iter().any(|row| row.name.starts_with(name) && row.size_unit == unit),
            "{name} per {unit}"
        );
    }
    assert_eq!(rows.len(), 42);
}

/// Guards against a load generator that loses submissions or omits a class from its report.
#[test]
fn all_submissions_of_a_mix_are_answered() {
    let shape = Shape { entries: 2, entry_threads: 1, listed_only: 0, slots: 64, upstreams: 2 };
    let options = Options { run_ms: (1, 5), ..Options::mixed(200.0, 0.5, 3) };
    let report = http::run(shape, &options).unwrap();
    for text in
        ["urgent", "booking", "query", "batch", "without an end in time: 0", "wasted messages per task"]
    {
        assert!(report.contains(text), "{text}: {report}");
    }
    assert!(!report.contains("unknown"), "{report}");
}
