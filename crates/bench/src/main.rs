//! Command line of the bench.

use std::time::Duration;

use hinge_bench::driver::{self, shortest_path};
use hinge_bench::fleet::{BARFANI, COOPERATIVE};
use hinge_bench::naive;
use hinge_bench::recorder::figures;
use hinge_bench::scenario::Scenario;
use hinge_bench::workload::{Flood, WorkloadSpec, generate, standard_mix};
use hinge_conf::Policy;
use hinge_wire::Class;
use tokio::time::Instant;

fn main() {
    for shape in [BARFANI, COOPERATIVE] {
        for (name, load, failing, floods) in [
            ("80%", 0.8, 0.0, vec![]),
            ("80% 5% failing", 0.8, 0.05, vec![]),
            (
                "flood batch",
                0.8,
                0.0,
                vec![Flood { class: Class::Batch, from_s: 30.0, factor: 10.0, until_s: 90.0 }],
            ),
            (
                "flood urgent",
                0.8,
                0.0,
                vec![Flood { class: Class::Urgent, from_s: 30.0, factor: 10.0, until_s: 90.0 }],
            ),
        ] {
            let workload = WorkloadSpec {
                classes: standard_mix(load),
                declared_error: 10.0,
                duration_s: 120.0,
                floods,
                seed: 1,
                slots: shape.total_slots(),
                teams: 40,
            };
            let scenario = Scenario {
                failing_share: failing,
                faults: vec![],
                name: name.to_owned(),
                policy: Policy::default(),
                shape,
                workload,
            };
            let arrivals = generate(&scenario.workload);
            let began = Instant::now();
            let (real, totals) = driver::run(&scenario, &arrivals, Instant::now());
            let took = began.elapsed();
            let naive = naive::run(&scenario, &arrivals);
            println!("== {} {name}: {} arrivals, {took:?}, {totals:?}", shape.name, arrivals.len());
            let path = shortest_path(&shape);
            for (version, record) in [("real", &real), ("naive", &naive)] {
                println!(
                    " {version} wasted/start {:.3}",
                    record.messages.wasted as f64 / record.messages.starts as f64
                );
                for class in Class::ALL {
                    let window = (Duration::from_secs(35), Duration::from_secs(85));
                    let f = figures(&arrivals, record, class, window, path);
                    println!(
                        "  {class:8} complete {:6} work {:7.0} failed {:5} rejected {:6} unanswered {:5} ratio {:.2?} ms {:.0?}",
                        f.complete,
                        f.complete_work_s,
                        f.failed,
                        f.rejected,
                        f.unanswered,
                        f.ratio,
                        f.response_ms
                    );
                }
            }
        }
    }
}
