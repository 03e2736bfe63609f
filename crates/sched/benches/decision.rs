//! Cost of one `push`, `next` and `finish_task`, with few and many teams and queued tasks.

use std::time::Duration;

use criterion::{BenchmarkId, Criterion};
use hinge_conf::Policy;
use hinge_sched::{QueuedTask, Scheduler};
use hinge_wire::{Class, TaskId, TeamId};
use tokio::time::Instant;

/// Generates tasks with mixed classes, teams, costs and deadlines.
struct Tasks {
    next: u64,
    teams: Vec<TeamId>,
}

impl Tasks {
    fn new(teams: usize) -> Self {
        Self { next: 0, teams: (0..teams).map(|team| format!("team-{team}").into()).collect() }
    }

    fn create(&mut self, now: Instant) -> QueuedTask {
        self.next += 1;
        // Fibonacci hashing spreads consecutive numbers over teams, classes and costs.
        let mixed = self.next.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
        QueuedTask {
            class: Class::ALL[(mixed % 4) as usize],
            cost: Duration::from_millis(50 + mixed % 950),
            enqueued_at: now,
            id: TaskId { sequence: self.next, index: 0 },
            start_by: now + Duration::from_millis(5_000 + mixed % 300_000),
            team: self.teams[(mixed as usize / 4) % self.teams.len()].clone(),
        }
    }
}

fn push_and_next(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("push_next_ended");
    group.sample_size(20).measurement_time(Duration::from_secs(2)).warm_up_time(Duration::from_millis(500));
    for (teams, queued) in [(10, 100), (10, 50_000), (680, 100), (680, 50_000)] {
        let name = BenchmarkId::from_parameter(format!("{teams}_teams_{queued}_queued"));
        group.bench_function(name, |bencher| {
            let mut now = Instant::now();
            let mut scheduler = Scheduler::new(&Policy::default());
            scheduler.set_capacity(400);
            let mut tasks = Tasks::new(teams);
            for _ in 0..queued {
                scheduler.push(now, tasks.create(now));
            }
            let mut expired = Vec::new();
            bencher.iter(|| {
                now += Duration::from_micros(20);
                scheduler.push(now, tasks.create(now));
                if let Some(task) = scheduler.next(now) {
                    scheduler.finish_task(task.class, &task.team, task.cost);
                }
                if tasks.next.is_multiple_of(64) {
                    scheduler.expire(now, &mut expired);
                    // Replaces expired tasks, so that the queue length stays the same.
                    for _ in expired.drain(..) {
                        scheduler.push(now, tasks.create(now));
                    }
                }
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    push_and_next(&mut criterion);
    criterion.final_summary();
}
