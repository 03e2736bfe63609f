//! Arithmetic of slopes and the rows that the page is worked out from.

#![allow(clippy::unwrap_used, reason = "tests")]

use hinge_load::cluster::Shape;
use hinge_load::http::{self, Options};
use hinge_load::{Plan, Row, Slope, slopes};

/// Guards against a slope that takes the fixed part for a cost per unit.
#[test]
fn a_slope_separates_the_fixed_part() {
    let slope = Slope { points: vec![(1.0, 12.0), (10.0, 30.0), (110.0, 230.0)] };
    assert!((slope.per_unit() - 2.0).abs() < 1e-9);
    assert!((slope.fixed() - 10.0).abs() < 1e-9);
}

/// Guards against a division by zero in rows with one size, which would print a cost that was not measured.
#[test]
fn a_single_size_has_no_slope() {
    let slope = Slope { points: vec![(5.0, 7.0)] };
    assert_eq!((slope.per_unit(), slope.fixed()), (0.0, 7.0));
    assert_eq!(Slope { points: Vec::new() }.per_unit(), 0.0);
}

/// Guards against a measurement that fails or prints nothing, which would leave a gap in the page.
#[test]
fn every_row_is_printed_at_tiny_sizes() {
    let plan = Plan {
        idle_seconds: 0.0,
        scale: 0.001,
        settle_seconds: 0.0,
        starts: [1, 2],
        task_seconds: 0.1,
        watched_seconds: 0.1,
    };
    let mut rows: Vec<Row> = Vec::new();
    slopes(&plan, |row| rows.push(row.clone())).unwrap();
    let columns = Row::head().lines().next().unwrap().matches('|').count();
    for row in &rows {
        assert!(row.slope.points.len() >= 2, "{row}");
        assert!(row.slope.points.iter().all(|(_, cost)| cost.is_finite()), "{row}");
        assert_eq!(row.to_string().matches('|').count(), columns, "{row}");
    }
    let wanted = [
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
    for (name, unit) in wanted {
        assert!(rows.iter().any(|row| row.name.starts_with(name) && row.unit == unit), "{name} per {unit}");
    }
    assert_eq!(rows.len(), 42);
}

/// Guards against a load tool that loses submissions or reports a class as empty.
#[test]
fn a_small_mix_is_answered_whole() {
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
