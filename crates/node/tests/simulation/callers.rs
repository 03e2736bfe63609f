//! The callers of jobs, and what is checked about the runs and the answers of their jobs.

use std::sync::Arc;
use std::time::Duration;

use hinge_jobs::{Answer, JobRequest, QueuePolicy};
use hinge_node::Input;
use hinge_runs::{StartOrder, whole_ms};
use rand::Rng;

use super::{Event, NEED, SERVICE, Simulation, UNIX_START_MS, ms};

/// Time after a broken connection after which a caller sends its job again.
const RECONNECT_US: u64 = 1_300_000;
/// Longest time after a failed answer in which a caller sends its job again.
const MAX_PAUSE_US: u64 = 60_000;
/// Time beyond a job's budget within which it is answered, and the time that the ticks of its home add.
const MAX_ENDING_US: u64 = 2_000_000 + 60_000;
const MAX_SUBMISSIONS: usize = 8;
/// The first run number of a submission rises by one in each interval of this length.
const RUN_NUMBER_STEP_MS: u64 = 250;

pub(crate) struct Job {
    budget: Duration,
    max_attempts: u32,
    name: String,
    submissions: usize,
    tasks: u32,
}

/// One submission of a job.
pub(crate) struct Submission {
    answered: bool,
    /// Whether the caller has left, or its connection has broken.
    broken: bool,
    epoch: u32,
    /// Time for which the home had been frozen when it got the job.
    frozen_us: u64,
    home: usize,
    job: usize,
    rejected: bool,
    sent_at_us: u64,
    /// Run that was started first; none if nothing has run.
    started: Option<String>,
}

impl Simulation {
    pub(crate) fn add_job(&mut self, number: usize) {
        let job = Job {
            budget: ms(self.rng.random_range(300..3_000)),
            max_attempts: self.rng.random_range(1..=3),
            name: format!("job{number}"),
            submissions: 0,
            tasks: self.rng.random_range(1..=8),
        };
        self.jobs.push(job);
    }

    /// A caller sends its job to a random entry; if that is down, to another one.
    pub(crate) fn submit(&mut self, number: usize) {
        let live: Vec<_> = (0..self.entries.len()).filter(|entry| !self.entries[*entry].is_dead()).collect();
        if live.is_empty() {
            return self.schedule(self.now_us + 100_000, Event::Submit { job: number });
        }
        if self.jobs[number].submissions >= MAX_SUBMISSIONS {
            return;
        }
        self.jobs[number].submissions += 1;
        let home = live[self.rng.random_range(0..live.len())];
        let (epoch, frozen_us) = (self.entries[home].epoch, self.entries[home].frozen_total_us);
        let submission = self.submissions.len();
        let delay_us = self.rng.random_range(0..=3_000);
        let sent_at_us = self.now_us;
        // What is left of a freeze when the job arrives counts as well.
        let left_us = self.entries[home].frozen_until(sent_at_us).map_or(0, |until_us| until_us - sent_at_us);
        self.submissions.push(Submission {
            answered: false,
            broken: false,
            epoch,
            frozen_us: frozen_us - left_us,
            home,
            job: number,
            rejected: false,
            sent_at_us,
            started: None,
        });
        let request = Box::new(self.request(number, submission));
        self.note(|| format!("job{number}.* is sent to entry {home} as submission {submission}"));
        let input = Input::Submit { request, submission: submission as u64 };
        let event = Event::Input { entry: home, epoch, input: Box::new(input) };
        self.schedule(sent_at_us + delay_us, event);
        let budget_us = whole_ms(self.jobs[number].budget) * 1_000;
        self.schedule(sent_at_us + budget_us + MAX_ENDING_US + 4_000, Event::Deadline { submission });
        if self.rng.random_bool(self.faults.leaving_callers) {
            let stay_us = self.rng.random_range(5_000..1_000_000);
            self.schedule(sent_at_us + delay_us + stay_us, Event::CallerLeaves { submission });
        }
        if self.rng.random_bool(self.faults.impatient_callers) {
            self.schedule(sent_at_us + budget_us, Event::CallerLeaves { submission });
        }
    }

    /// Whether a request is dropped when it is read, because its caller has disconnected.
    pub(crate) fn is_dropped(&self, input: &Input) -> bool {
        let Input::Submit { submission, .. } = input else { return false };
        self.submissions[usize::try_from(*submission).unwrap()].broken
    }

    fn request(&self, number: usize, submission: usize) -> JobRequest {
        let job = &self.jobs[number];
        let unix_ms = UNIX_START_MS + self.now_us / 1_000;
        JobRequest {
            budget: job.budget,
            estimate: ms(150),
            id: job.name.as_str().into(),
            need: NEED,
            queue: QueuePolicy {
                max_attempts: job.max_attempts,
                name: "queue".into(),
                priority: u32::from(number.is_multiple_of(2)),
                service: SERVICE.into(),
                stretch: 1.6,
                target: ms(1_500),
                timeout: ms(300),
            },
            run: unix_ms / RUN_NUMBER_STEP_MS,
            spec: submission.to_string().into(),
            task_prefix: Arc::from(job.name.as_str()),
            tasks: job.tasks,
        }
    }

    /// A caller disconnects before it has an answer, and sends its job again later.
    pub(crate) fn caller_leaves(&mut self, number: usize) {
        let submission = &mut self.submissions[number];
        if submission.answered || submission.broken {
            return;
        }
        submission.broken = true;
        let (job, home, epoch) = (submission.job, submission.home, submission.epoch);
        self.counts.abandoned += 1;
        self.note(|| format!("the caller of job{job}.* leaves submission {number}"));
        let delay_us = self.rng.random_range(0..=3_000);
        let input = Box::new(Input::Abandon(number as u64));
        self.schedule(self.now_us + delay_us, Event::Input { entry: home, epoch, input });
        self.schedule(self.now_us + RECONNECT_US, Event::Submit { job });
    }

    /// The connections of the callers of a killed entry break.
    pub(crate) fn callers_disconnected(&mut self, entry: usize) {
        let epoch = self.entries[entry].epoch;
        let mut jobs = Vec::new();
        for submission in &mut self.submissions {
            let open = !submission.answered && !submission.broken;
            if open && submission.home == entry && submission.epoch == epoch {
                submission.broken = true;
                jobs.push(submission.job);
            }
        }
        for job in jobs {
            self.schedule(self.now_us + RECONNECT_US, Event::Submit { job });
        }
    }

    /// Checks an answer, upon which its caller may send the job again.
    pub(crate) fn answered(&mut self, entry: usize, answer: Answer, number: u64) {
        let number = usize::try_from(number).unwrap();
        let Submission { answered, broken, job, .. } = self.submissions[number];
        self.note(|| format!("entry {entry} answers submission {number} of job{job}.*: {answer:?}"));
        if answered {
            self.fail(job, &format!("submission {number} is answered twice"));
        }
        if broken {
            return;
        }
        self.submissions[number].answered = true;
        self.check_answer(number, &answer);
        let pause_us = self.rng.random_range(0..=3_000) + self.rng.random_range(0..=MAX_PAUSE_US);
        match answer {
            Answer::Completed => self.counts.completed += 1,
            Answer::Failed(_) => {
                self.counts.failed += 1;
                self.counts.resubmitted += 1;
                self.schedule(self.now_us + pause_us, Event::Submit { job });
            }
            Answer::Rejected { retry_after, .. } => {
                self.counts.rejected += 1;
                self.submissions[number].rejected = true;
                let retry_us = whole_ms(retry_after) * 1_000;
                self.schedule(self.now_us + retry_us + pause_us, Event::Submit { job });
            }
        }
    }

    fn check_answer(&mut self, number: usize, answer: &Answer) {
        let now_us = self.now_us;
        let job = self.submissions[number].job;
        let prefix = format!("job{job}.");
        for upstream in &mut self.upstreams {
            upstream.advance(now_us);
        }
        for upstream in &self.upstreams {
            if let Some(run) = upstream.running.iter().find(|run| run.id.task.starts_with(&prefix)) {
                let text = format!(
                    "{} of submission {} runs on {} when submission {number} is answered {answer:?}",
                    run.id, run.submission, upstream.id
                );
                self.fail(job, &text);
            }
        }
        if let (Answer::Rejected { .. }, Some(run)) = (answer, &self.submissions[number].started) {
            self.fail(job, &format!("submission {number} is rejected although {run} has started"));
        }
        if now_us > self.answer_due_us(number) {
            self.fail(job, &format!("submission {number} is answered too late"));
        }
    }

    /// Time by which a submission must have an answer. The time for which its home is frozen does not count.
    fn answer_due_us(&self, number: usize) -> u64 {
        let submission = &self.submissions[number];
        let frozen_us = self.entries[submission.home].frozen_total_us - submission.frozen_us;
        let budget_us = whole_ms(self.jobs[submission.job].budget) * 1_000;
        submission.sent_at_us + budget_us + MAX_ENDING_US + frozen_us + 4_000
    }

    /// Checks that a job whose caller has stayed is answered in time.
    pub(crate) fn check_deadline(&mut self, number: usize) {
        let Submission { answered, broken, job, .. } = self.submissions[number];
        if answered || broken {
            return;
        }
        let due_us = self.answer_due_us(number);
        if self.now_us >= due_us {
            self.fail(job, &format!("submission {number} has no answer"));
        }
        self.schedule(due_us, Event::Deadline { submission: number });
    }

    /// Checks that no other run of a task exists when one starts, and that its submission has no answer. Two runs can
    /// exist at the same time only from the start of one of them on.
    pub(crate) fn check_start(&mut self, upstream: usize, start: &StartOrder) {
        let now_us = self.now_us;
        let number: usize = start.spec.parse().unwrap();
        let (id, job) = (self.upstreams[upstream].id.clone(), self.submissions[number].job);
        self.counts.starts += 1;
        self.note(|| format!("{} of submission {number} starts on {id}", start.run));
        for other in &mut self.upstreams {
            other.advance(now_us);
        }
        let all =
            self.upstreams.iter().flat_map(|other| other.running.iter().map(move |run| (&other.id, run)));
        let runs: Vec<_> = all.filter(|(_, run)| run.id.task == start.run.task).collect();
        if let [(first, a), (second, b), ..] = &runs[..] {
            let text = format!(
                "two runs: {} of submission {} on {first} and {} of submission {} on {second}",
                a.id, a.submission, b.id, b.submission
            );
            self.fail(job, &text);
        }
        let submission = &mut self.submissions[number];
        submission.started.get_or_insert_with(|| start.run.to_string());
        if submission.answered {
            let what = if submission.rejected { "rejected" } else { "answered" };
            self.fail(job, &format!("{} starts although submission {number} was {what}", start.run));
        }
    }
}
