//! Submissions whose results are known in advance.

use hinge_wire::{Class, Submission, TaskSpec};
use rand::Rng;
use rand::rngs::SmallRng;

/// Service of all upstreams and submissions.
pub(crate) const SERVICE: &str = "deicing";
/// Number of tasks of the job; the default of the setting `max_job_tasks`.
pub(crate) const JOB_TASKS: usize = 110;
/// Number of tasks of the job that is cancelled.
const CANCELLED_TASKS: usize = 20;
/// Run time of each task of the job that is cancelled; long enough that none ends before the cancellation.
const CANCELLED_RUN_MS: u64 = 20_000;

/// A submission with the results that its answer must contain.
#[derive(Clone, Debug)]
pub(crate) struct CheckedSubmission {
    pub(crate) results: Vec<String>,
    pub(crate) submission: Submission,
}

/// Range of the run times of a class's tasks, in milliseconds.
const fn run_time_range_ms(class: Class) -> std::ops::RangeInclusive<u64> {
    match class {
        Class::Urgent => 20..=80,
        Class::Booking => 50..=150,
        Class::Query => 100..=300,
        Class::Batch => 100..=250,
    }
}

/// Creates a request (one task); bookings are not idempotent.
pub(crate) fn request(class: Class, number: u64, random: &mut SmallRng) -> CheckedSubmission {
    let run_ms = random.random_range(run_time_range_ms(class));
    new_submission(class, vec![(format!("{class}-{number}"), run_ms)])
}

/// Creates a job of [`JOB_TASKS`] tasks.
pub(crate) fn job(random: &mut SmallRng) -> CheckedSubmission {
    let task = |index| (format!("job-{index}"), random.random_range(run_time_range_ms(Class::Batch)));
    new_submission(Class::Batch, (0..JOB_TASKS).map(task).collect())
}

/// Creates a job that runs until it is cancelled.
pub(crate) fn long_job() -> CheckedSubmission {
    new_submission(
        Class::Batch,
        (0..CANCELLED_TASKS).map(|index| (format!("long-{index}"), CANCELLED_RUN_MS)).collect(),
    )
}

/// Creates a request that can never run, because no upstream has enough memory.
pub(crate) fn oversized_request() -> CheckedSubmission {
    let mut checked = new_submission(Class::Query, vec![("oversized-0".to_owned(), 10)]);
    for task in &mut checked.submission.tasks {
        task.memory_mb = Some(1_000_000);
    }
    checked
}

/// Creates a submission whose tasks have these results and run times in milliseconds.
fn new_submission(class: Class, tasks: Vec<(String, u64)>) -> CheckedSubmission {
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
    CheckedSubmission { results: tasks.into_iter().map(|(result, _)| result).collect(), submission }
}
