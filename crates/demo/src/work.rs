//! Submissions whose results are known in advance.

use hinge_wire::{Class, Submission, TaskSpec};
use rand::Rng;
use rand::rngs::SmallRng;

/// Service of the upstreams.
pub(crate) const SERVICE: &str = "deicing";
/// Tasks of the job; the default limit of `max_job_tasks`.
pub(crate) const JOB_TASKS: usize = 110;
/// Tasks and run time of the job that is cancelled; long enough that it cannot end first.
const CANCELLED_TASKS: usize = 20;
const CANCELLED_RUN_MS: u64 = 20_000;

/// A submission with the results that its answer must hold.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    pub(crate) results: Vec<String>,
    pub(crate) submission: Submission,
}

/// Run times of a class's tasks in milliseconds.
const fn run_times(class: Class) -> std::ops::RangeInclusive<u64> {
    match class {
        Class::Urgent => 20..=80,
        Class::Booking => 50..=150,
        Class::Query => 100..=300,
        Class::Batch => 100..=250,
    }
}

/// A request with one task; bookings are not idempotent.
pub(crate) fn request(class: Class, number: u64, random: &mut SmallRng) -> Work {
    let run_ms = random.random_range(run_times(class));
    work(class, vec![(format!("{class}-{number}"), run_ms)])
}

/// A job of 110 tasks.
pub(crate) fn job(random: &mut SmallRng) -> Work {
    let task = |index| (format!("job-{index}"), random.random_range(run_times(Class::Batch)));
    work(Class::Batch, (0..JOB_TASKS).map(task).collect())
}

/// A job that runs until it is cancelled.
pub(crate) fn long_job() -> Work {
    work(
        Class::Batch,
        (0..CANCELLED_TASKS).map(|index| (format!("long-{index}"), CANCELLED_RUN_MS)).collect(),
    )
}

/// A request that can never run: no upstream has its memory.
pub(crate) fn oversized() -> Work {
    let mut work = work(Class::Query, vec![("oversized-0".to_owned(), 10)]);
    for task in &mut work.submission.tasks {
        task.memory_mb = Some(1_000_000);
    }
    work
}

fn work(class: Class, tasks: Vec<(String, u64)>) -> Work {
    let specs = tasks.iter().map(|(result, run_ms)| TaskSpec {
        memory_mb: None,
        payload: format!(r#"{{"run_ms": {run_ms}, "result": "{result}"}}"#),
        run_time_ms: None,
    });
    let submission = Submission {
        class,
        deadline_ms: None,
        definite: false,
        idempotent: matches!(class, Class::Urgent | Class::Query),
        key: None,
        service: SERVICE.to_owned(),
        tasks: specs.collect(),
        team: "apron-a".to_owned(),
        wait_ms: None,
    };
    Work { results: tasks.into_iter().map(|(result, _)| result).collect(), submission }
}
