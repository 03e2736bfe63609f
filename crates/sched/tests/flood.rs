//! Class shares, shedding and admission under floods of tasks, mostly simulated in virtual time.

mod common;

use std::time::Duration;

use common::{Flow, MS, Sim, task};
use hinge_conf::Policy;
use hinge_sched::{AdmitRequest, Notice, Scheduler};
use hinge_wire::{Class, ResultCode, TeamId};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

/// Flows of all classes; each offers `load` times the work that `slots` slots can do.
fn flows(slots: u32, load: [f64; 4]) -> Vec<Flow> {
    let names = ["urgent", "booking", "query", "batch"];
    let flow = |class: Class| {
        let index = class.index();
        let run_time_ms = [50, 100, 200, 400][index];
        Flow::new(
            class,
            names[index],
            f64::from(slots) * load[index] * 1000.0 / f64::from(run_time_ms),
            run_time_ms,
        )
    };
    Class::ALL.map(flow).into()
}

/// Guards against a class that loses its guaranteed share while another one floods.
#[test]
fn each_class_keeps_its_share_in_floods() {
    for flooding in [Class::Batch, Class::Urgent] {
        let mut sim = Sim::new(&Policy::default(), 40);
        // A flood of batch tasks comes first, as usual in production.
        sim.run(SECOND * 20, &flows(40, [0.2, 0.2, 0.1, 10.0]));
        let mut load = [1.0, 1.0, 1.0, 1.0];
        load[flooding.index()] = 10.0;
        sim.run(SECOND * 5, &flows(40, load));
        sim.run(SECOND * 30, &flows(40, load));
        for (team, share) in [("urgent", 16.0), ("booking", 10.0), ("query", 4.0), ("batch", 6.0)] {
            let used = sim.stats[team].used / 30.0;
            assert!(
                used >= share * 0.97,
                "{team} used {used:.2} of {share} slots in a flood of {flooding:?}"
            );
        }
        assert!(sim.idle < 0.01 * 40.0 * 30.0, "slots were idle for {:.1} slot seconds", sim.idle);
    }
}

/// Guards against waits of urgent tasks that grow with the backlog of batch tasks.
#[test]
fn batch_flood_leaves_urgent_waits_short() {
    let mut sim = Sim::new(&Policy::default(), 40);
    sim.run(SECOND * 30, &flows(40, [0.3, 0.1, 0.05, 10.0]));
    assert!(sim.wait_p99("urgent") <= MS * 50, "urgent work waited {:?}", sim.wait_p99("urgent"));
    for team in ["urgent", "booking", "query"] {
        assert_eq!(sim.stats[team].refused + sim.stats[team].expired, 0, "{team} was refused or expired");
    }
}

/// Guards against starvation of classes whose share is less than one slot.
#[test]
fn fractional_shares_make_progress() {
    for slots in [1, 2, 3, 4] {
        let mut sim = Sim::new(&Policy::default(), slots);
        sim.run(SECOND * 60, &flows(slots, [10.0; 4]));
        for (team, percent) in [("urgent", 0.4), ("booking", 0.25), ("query", 0.1), ("batch", 0.15)] {
            let (used, share) = (sim.stats[team].used / 60.0, percent * f64::from(slots));
            assert!(used >= share * 0.95, "{team} used {used:.3} of {share} on {slots} slots");
        }
    }
}

/// Guards against guaranteed shares that stay unused while another class has queued tasks.
#[test]
fn idle_shares_are_used() {
    let mut sim = Sim::new(&Policy::default(), 10);
    sim.run(SECOND * 20, &flows(10, [0.0, 0.0, 0.0, 2.0]));
    assert!(sim.stats["batch"].used >= 0.99 * 10.0 * 20.0, "used {:.1}", sim.stats["batch"].used);
}

/// Guards against long queues of admitted tasks, against slots that are idle while tasks are refused, and
/// against lost notices.
#[test]
fn shedding_bounds_waits_and_keeps_slots_busy() {
    let mut sim = Sim::new(&Policy::default(), 40);
    // The estimates are ten times too low, so that only the measured queueing time limits the queue.
    let flood = || vec![Flow { cost: MS * 5, ..Flow::new(Class::Urgent, "urgent", 8000.0, 50) }];
    // The backlog from before shedding drains first: about 0.6 s of arrivals at ten times the capacity.
    sim.run(SECOND * 10, &flood());
    assert_eq!(sim.notices, [Notice::ShedStarted { class: Class::Urgent }]);
    sim.run(SECOND * 20, &flood());
    assert!(sim.wait_p99("urgent") <= MS * 200, "waited {:?}", sim.wait_p99("urgent"));
    assert!(sim.idle <= 0.01 * 40.0 * 20.0, "slots were idle for {:.1} slot seconds", sim.idle);
    sim.notices.clear();
    sim.run(SECOND * 3, &[Flow::new(Class::Urgent, "urgent", 100.0, 50)]);
    assert_eq!(sim.notices, [Notice::ShedEnded { class: Class::Urgent }]);
    assert_eq!(sim.scheduler.queued(), 0);
}

/// Guards against one team's flood that blocks the other teams of its class.
#[test]
fn one_team_flood_does_not_block_others() {
    let mut sim = Sim::new(&Policy::default(), 40);
    let flows = [Flow::new(Class::Query, "heavy", 4000.0, 100), Flow::new(Class::Query, "light", 40.0, 100)];
    sim.run(SECOND * 20, &flows);
    assert_eq!(sim.stats["light"].refused, 0);
    assert!(sim.wait_p99("light") <= MS * 250, "waited {:?}", sim.wait_p99("light"));
    assert!(sim.stats["heavy"].refused > 0);
}

/// Guards against an unbounded queue, and against one class that takes all its places.
#[test]
fn queue_is_bounded_and_reserves_room_per_class() {
    let policy = Policy { max_queued_tasks: 1000, shedding_enabled: false, ..Policy::default() };
    let now = Instant::now();
    let mut scheduler = Scheduler::new(&policy);
    scheduler.set_capacity(10_000);
    let team = TeamId::from("a");
    let mut fill = |class: Class| {
        let mut count = 0;
        let request = AdmitRequest { class, cost: MS, start_by: now + SECOND * 5, tasks: 1, team: &team };
        while scheduler.admit(now, &request).is_ok() {
            count += 1;
            let sequence = class.index() as u64 * 10_000 + count;
            scheduler.push(now, task(sequence, class, "a", now, MS, SECOND * 5));
        }
        assert!(scheduler.queued() <= 1000);
        count
    };
    assert!(fill(Class::Batch) >= 400);
    for (class, least) in [(Class::Urgent, 200), (Class::Booking, 125), (Class::Query, 50)] {
        let count = fill(class);
        assert!(count >= least, "{class:?} got {count} places");
    }
}

/// Guards against wait estimates that ignore more urgent tasks or the guaranteed share, and against admission
/// that ignores the deadline.
#[test]
fn admission_follows_the_estimated_wait() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(&Policy::default());
    scheduler.set_capacity(10);
    let team = TeamId::from("a");
    for sequence in 0..100 {
        scheduler.push(now, task(sequence, Class::Urgent, "a", now, SECOND, SECOND * 60));
    }
    // The 100 s of urgent work delay its own class, but not a class that has its share.
    assert_eq!(scheduler.estimated_wait(Class::Urgent, &team), SECOND * 10);
    assert_eq!(scheduler.estimated_wait(Class::Batch, &team), Duration::ZERO);
    for sequence in 100..104 {
        scheduler.push(now, task(sequence, Class::Batch, "a", now, SECOND * 3, SECOND * 60));
    }
    // 12 s of batch work take 8 s on the share of 1.5 slots, and 11.2 s on all 10 slots after the urgent
    // work.
    assert_eq!(scheduler.estimated_wait(Class::Batch, &team), SECOND * 8);
    assert!(scheduler.estimated_wait(Class::Urgent, &team) > SECOND * 11);

    let request = AdmitRequest { class: Class::Batch, cost: SECOND, start_by: now, tasks: 1, team: &team };
    let admit = |scheduler: &mut Scheduler, start_by: Duration, tasks: u32| {
        scheduler.admit(now, &AdmitRequest { start_by: now + start_by, tasks, ..request })
    };
    assert_eq!(admit(&mut scheduler, SECOND * 9, 1), Ok(()));
    assert_eq!(admit(&mut scheduler, SECOND * 7, 1), Err(ResultCode::Overloaded));
    // The last of 30 tasks would start too late.
    assert_eq!(admit(&mut scheduler, SECOND * 9, 30), Err(ResultCode::Overloaded));
    let late = now + SECOND * 10;
    assert_eq!(scheduler.admit(late, &request), Err(ResultCode::DeadlinePast));
    // Urgent tasks may wait at most 1 s.
    let urgent = AdmitRequest { class: Class::Urgent, start_by: now + SECOND * 60, ..request };
    assert_eq!(scheduler.admit(now, &urgent), Err(ResultCode::Overloaded));
}

/// Guards against urgent tasks that find all slots taken by a burst of other tasks, and against headroom that
/// is kept without recent urgent tasks or takes the only slot.
#[test]
fn headroom_is_kept_only_for_recent_urgent_work() {
    let now = Instant::now();
    let started = |capacity: u32, urgent_at: Option<Instant>, at: Instant| {
        let mut scheduler = Scheduler::new(&Policy::default());
        scheduler.set_capacity(capacity);
        if let Some(urgent_at) = urgent_at {
            scheduler.push(urgent_at, task(0, Class::Urgent, "a", urgent_at, MS * 100, MS * 60_000));
            assert_eq!(scheduler.next(urgent_at).map(|task| task.class), Some(Class::Urgent));
            scheduler.finish_task(Class::Urgent, &"a".into(), MS * 100);
        }
        for sequence in 1..=200 {
            scheduler.push(at, task(sequence, Class::Batch, "b", at, MS * 100, MS * 60_000));
        }
        (0..capacity).filter_map(|_| scheduler.next(at)).count() as u32
    };
    assert_eq!(started(100, Some(now), now), 95);
    assert_eq!(started(100, None, now), 100);
    assert_eq!(started(100, Some(now), now + MS * 10_000), 100);
    assert_eq!(started(1, Some(now), now), 1);
}

/// Guards against an estimate that counts on more slots than the share of the class, while a flood of more
/// urgent tasks keeps taking them.
#[test]
fn estimated_wait_under_urgent_flood_uses_the_share() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(&Policy::default());
    scheduler.set_capacity(100);
    for sequence in 0..200 {
        scheduler.push(now, task(sequence, Class::Urgent, "a", now, MS * 100, MS * 60_000));
    }
    while scheduler.running_in(Class::Urgent) < 100 {
        assert!(scheduler.next(now).is_some());
    }
    for sequence in 1_000..1_100 {
        scheduler.push(now, task(sequence, Class::Query, "b", now, MS * 1_000, MS * 60_000));
    }
    // 100 s of work on a share of 10 slots.
    let wait = scheduler.estimated_wait(Class::Query, &"b".into());
    assert!((MS * 9_500..=MS * 10_500).contains(&wait), "{wait:?}");
}
