//! Fairness among teams, requeues, mass cancellations and cleanup of idle teams.

mod common;

use std::time::Duration;

use common::{Flow, MS, Sim, task};
use hinge_conf::Policy;
use hinge_sched::{QueuedTask, Scheduler};
use hinge_wire::{Class, TaskId, TeamId};
use tokio::time::Instant;

const HOUR: Duration = Duration::from_secs(3600);

/// Guards against teams that get more or less slot time than their weights allow, with equal and unequal run
/// times.
#[test]
fn teams_share_by_weight() {
    let mut sim = Sim::new(&Policy::default(), 20);
    for (team, weight) in [("a", 50), ("b", 100), ("c", 200), ("d", 100)] {
        sim.scheduler.set_team_weight(&team.into(), weight);
    }
    let flow = |team, run_time_ms: u32| {
        Flow::new(Class::Batch, team, 40_000.0 / f64::from(run_time_ms), run_time_ms)
    };
    let flows = [flow("a", 100), flow("b", 100), flow("c", 100), flow("d", 900)];
    sim.run(Duration::from_secs(60), &flows);
    for (team, weight) in [("a", 0.5), ("b", 1.0), ("c", 2.0), ("d", 1.0)] {
        let (used, part) = (sim.stats[team].used, 20.0 * 60.0 * weight / 4.5);
        assert!((used / part - 1.0).abs() < 0.07, "{team} used {used:.1} instead of {part:.1} slot seconds");
    }
}

/// Guards against a team that gains slots by declaring run times that are too short.
#[test]
fn short_estimates_gain_no_slots() {
    let mut sim = Sim::new(&Policy::default(), 20);
    let honest = Flow::new(Class::Batch, "honest", 200.0, 200);
    let wrong = Flow { cost: MS * 10, ..Flow::new(Class::Batch, "wrong", 200.0, 200) };
    sim.run(Duration::from_secs(60), &[honest, wrong]);
    let (honest, wrong) = (sim.stats["honest"].used, sim.stats["wrong"].used);
    assert!((wrong / honest - 1.0).abs() < 0.1, "used {wrong:.1} against {honest:.1} slot seconds");
}

/// Guards against a team that sends one task at a time and thereby starts more tasks than a team with a
/// backlog.
#[test]
fn single_tasks_do_not_overtake_a_backlog() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(&Policy::default());
    for sequence in 0..1000 {
        scheduler.push(now, task(sequence, Class::Query, "backlog", now, MS * 100, HOUR));
    }
    let mut started = [0; 2];
    for sequence in 1000..1400 {
        if sequence % 2 == 0 {
            scheduler.push(now, task(sequence, Class::Query, "single", now, MS * 100, HOUR));
        }
        let next = scheduler.next(now).expect("queued");
        started[usize::from(&*next.team == "single")] += 1;
        scheduler.finish_task(next.class, &next.team, next.cost);
    }
    assert!(started[0] >= 195, "the backlog started {} of 400", started[0]);
    assert!(started[1] >= 195, "the single tasks started {} of 400", started[1]);
}

/// Guards against a team that waits for the whole queue of another one.
#[test]
fn each_of_680_teams_starts_in_the_first_round() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(&Policy::default());
    for sequence in 0..680 * 20 {
        let team = format!("team-{}", sequence % 680);
        scheduler.push(now, task(sequence, Class::Batch, &team, now, MS * 100, HOUR));
    }
    let first: Vec<QueuedTask> = (0..680).filter_map(|_| scheduler.next(now)).collect();
    let mut teams: Vec<&TeamId> = first.iter().map(|task| &task.team).collect();
    teams.sort_unstable();
    teams.dedup();
    assert_eq!(teams.len(), 680);
}

/// Guards against a refused start that costs the team its turn, or earns it another one.
#[test]
fn requeued_tasks_keep_their_turn() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(&Policy::default());
    for sequence in 0..200 {
        let team = ["a", "b"][sequence as usize % 2];
        scheduler.push(now, task(sequence, Class::Query, team, now, MS * 100, HOUR));
    }
    for _ in 0..50 {
        let refused = scheduler.next(now).expect("queued");
        scheduler.requeue(now, refused.clone());
        assert_eq!(scheduler.running_in(Class::Query), 0);
        assert_eq!(scheduler.next(now), Some(refused.clone()));
        scheduler.requeue(now, refused);
    }
    let teams: Vec<TeamId> = (0..20).filter_map(|_| scheduler.next(now)).map(|task| task.team).collect();
    let count = teams.iter().filter(|team| &***team == "a").count();
    assert!((9..=11).contains(&count), "team a started {count} of 20");
}

/// Guards against a task that is requeued after its deadline and then starts or is lost.
#[test]
fn late_requeued_task_expires() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(&Policy::default());
    scheduler.push(now, task(1, Class::Urgent, "a", now, MS, MS * 10));
    let started = scheduler.next(now).expect("queued");
    let later = now + MS * 11;
    scheduler.requeue(later, started.clone());
    assert_eq!((scheduler.next(later), scheduler.queued(), scheduler.active_teams()), (None, 0, 0));
    let mut expired = Vec::new();
    scheduler.expire(later, &mut expired);
    assert_eq!(expired, [started]);
}

/// Guards against cancelled tasks that still occupy queue places, teams or turns, when the whole queue is
/// cancelled.
#[test]
fn mass_cancellation_empties_the_queue() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(&Policy::default());
    let count = 50_000;
    for sequence in 0..count {
        let team = format!("team-{}", sequence % 680);
        let class = Class::ALL[sequence as usize % 4];
        scheduler.push(now, task(sequence, class, &team, now, MS * 100, HOUR));
    }
    // Cancels in another order than that of the queues. 7,919 and the count are coprime, so each task comes
    // once.
    let id = |step: u64| TaskId { sequence: step * 7919 % count, index: 0 };
    for step in 0..count - 1 {
        assert!(scheduler.cancel(id(step)) && !scheduler.cancel(id(step)));
        assert_eq!(scheduler.queued() as u64, count - 1 - step);
    }
    assert_eq!(scheduler.active_teams(), 1);
    assert_eq!(scheduler.next(now).map(|task| task.id), Some(id(count - 1)));
    assert_eq!((scheduler.next(now), scheduler.most_urgent_queued()), (None, None));
    let mut expired = Vec::new();
    scheduler.expire(now + HOUR * 2, &mut expired);
    assert_eq!(expired, []);
}

/// Guards against memory that grows with the number of teams ever seen.
#[test]
fn idle_teams_leave_no_state() {
    let mut now = Instant::now();
    let mut scheduler = Scheduler::new(&Policy::default());
    for sequence in 0..20_000 {
        now += MS;
        scheduler.push(now, task(sequence, Class::Query, &format!("team-{sequence}"), now, MS, HOUR));
        let started = scheduler.next(now).expect("queued");
        assert_eq!(scheduler.active_teams(), 1);
        scheduler.finish_task(started.class, &started.team, MS);
        assert_eq!(scheduler.active_teams(), 0);
    }
}
