//! Processor time of the decision code.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use hinge_conf::{Policy, resolve, validate};
use hinge_dispatch::{Action, Event, Lender};
use hinge_member::Members;
use hinge_wire::{
    ConfigDocument, FastMap, Heartbeat, Incarnation, InstanceList, Submission, TeamDemand, from_json,
    from_msgpack, to_json, to_msgpack,
};
use tokio::time::Instant;

use crate::fixture::{
    Bench, DATA_CENTRE, SERVICE, change, document, listed_entry, member, roomy_policy, submission, team_name,
    upstreams,
};
use crate::slope::Row;
use crate::usage::{micros_per_call, thread_time};

const MICROS: &str = "µs";
/// Time between ticks of the entry.
const TICK: Duration = Duration::from_millis(50);

/// Measures all rows; `scale` multiplies the number of repetitions.
#[must_use]
pub(crate) fn rows(scale: f64) -> Vec<Row> {
    let mut rows = task_rows(scale);
    rows.extend(tick_rows(scale));
    rows.push(loan_row(scale));
    rows.extend(list_rows(scale));
    rows.extend(heartbeat_rows(scale));
    rows.extend(config_rows(scale));
    rows
}

fn times(count: usize, scale: f64) -> usize {
    ((count as f64 * scale) as usize).max(1)
}

fn points(sizes: &[usize], mut measure: impl FnMut(usize) -> f64) -> Vec<(f64, f64)> {
    sizes.iter().map(|size| (*size as f64, measure(*size))).collect()
}

fn submission_cost(scale: f64, tasks: usize, teams: usize, upstream_count: usize) -> f64 {
    let mut bench = Bench::new(&roomy_policy(), &upstreams(upstream_count));
    let submissions: Vec<_> = (0..teams).map(|team| Arc::new(submission(tasks, team))).collect();
    let count = times(200_000 / tasks, scale);
    for index in 0..count / 10 {
        bench.run(submissions[index % teams].clone());
    }
    micros_per_call(count, |index| {
        black_box(bench.run(submissions[index % teams].clone()));
    })
}

fn task_rows(scale: f64) -> Vec<Row> {
    let by_tasks = points(&[1, 10, 110], |tasks| submission_cost(scale, tasks, 680, 360));
    let by_teams = points(&[10, 680], |teams| submission_cost(scale, 1, teams, 360));
    let by_upstreams = points(&[36, 360, 1800], |count| submission_cost(scale, 1, 680, count));
    vec![
        Row::new("dispatcher: a submission with its tasks (submit, start, end)", "task", MICROS, by_tasks),
        Row::new("dispatcher: a submission of one task", "team", MICROS, by_teams),
        Row::new("dispatcher: a submission of one task", "upstream", MICROS, by_upstreams),
    ]
}

fn tick_cost(scale: f64, bench: &mut Bench) -> f64 {
    micros_per_call(times(2000, scale), |_| {
        bench.now += TICK;
        bench.dispatcher.handle(bench.now, Event::Tick);
        bench.dispatcher.drain_actions().for_each(drop);
    })
}

fn tick_rows(scale: f64) -> Vec<Row> {
    let by_upstreams = points(&[36, 360, 1800], |count| {
        let mut bench = Bench::new(&roomy_policy(), &upstreams(count));
        bench.run(Arc::new(submission(1, 0)));
        tick_cost(scale, &mut bench)
    });
    let by_queued = points(&[1000, 4000, 16_000], |count| {
        let mut bench = queued(count, 680);
        tick_cost(scale, &mut bench)
    });
    let by_teams = points(&[68, 680], |teams| {
        let mut bench = Bench::new(&roomy_policy(), &upstreams(360));
        let submissions: Vec<_> = (0..teams).map(|team| Arc::new(submission(1, team))).collect();
        demand_cost(scale, &mut bench, &submissions)
    });
    let by_peers = points(&PEERS, |count| {
        let mut bench = Bench::new(&roomy_policy(), &upstreams(360));
        let event = peers_event(count);
        micros_per_call(times(2000, scale), |_| {
            bench.dispatcher.handle(bench.now, event.clone());
        })
    });
    vec![
        Row::new("tick of the dispatcher at idle", "upstream", MICROS, by_upstreams),
        Row::new("tick of the dispatcher", "queued task", MICROS, by_queued),
        Row::new("report of the teams' demand", "active team", MICROS, by_teams),
        Row::new("peer view handed to the dispatcher", "peer", MICROS, by_peers),
    ]
}

/// Mean cost of a report while all teams submit; the submissions are not counted.
fn demand_cost(scale: f64, bench: &mut Bench, submissions: &[Arc<Submission>]) -> f64 {
    let count = times(200, scale);
    let mut used = Duration::ZERO;
    for _ in 0..count {
        for submission in submissions {
            bench.run(submission.clone());
        }
        bench.now += TICK;
        let before = thread_time();
        black_box(bench.dispatcher.demand(bench.now));
        used += thread_time() - before;
    }
    used.as_secs_f64() * 1e6 / count as f64
}

/// A dispatcher without free slots that holds `count` queued tasks of jobs.
pub(crate) fn queued(count: usize, teams: usize) -> Bench {
    let mut bench = Bench::new(&roomy_policy(), &upstreams(1));
    for index in 0..count.div_ceil(100) {
        bench.submit(Arc::new(submission(100, index % teams)));
    }
    bench.dispatcher.drain_actions().for_each(drop);
    bench
}

fn peers_event(count: usize) -> Event {
    let lender = |index: usize| Lender {
        counter: 1,
        free_slots: 0,
        incarnation: 2,
        instance: member(index).instance.into(),
    };
    let leaders = (0..=count).map(|index| member(index).instance.into()).collect();
    Event::Peers { leaders, listed_entries: count as u32 + 1, lenders: (1..=count).map(lender).collect() }
}

fn loan_row(scale: f64) -> Row {
    let by_slots = points(&[1, 8, 32], |slots| {
        let mut bench = Bench::new(&roomy_policy(), &upstreams(360));
        let request = hinge_wire::LoanRequest {
            borrower: "entry-001".to_owned(),
            borrower_incarnation: 2,
            class: hinge_wire::Class::Urgent,
            service: SERVICE.to_owned(),
            slots: slots as u32,
            target_incarnation: 1,
        };
        micros_per_call(times(5000, scale), |_| {
            bench.now += Duration::from_millis(1);
            let reply = bench.dispatcher.lend(bench.now, &request);
            let returned = hinge_wire::LoanReturn {
                borrower: "entry-001".to_owned(),
                loan: reply.loan,
                slots: reply.slots,
                target_incarnation: 1,
            };
            bench.dispatcher.handle(bench.now, Event::LoanReturned(returned));
        })
    });
    Row::new("a loan at the lender (lend, return)", "slot", MICROS, by_slots)
}

fn list_rows(scale: f64) -> Vec<Row> {
    let body =
        |count: usize| to_json(&InstanceList { entries: upstreams(count), version: 1 }).unwrap_or_default();
    let bytes = points(&[36, 360, 1800], |count| body(count).len() as f64);
    let by_upstreams = points(&[36, 360, 1800], |count| {
        let mut bench = Bench::new(&roomy_policy(), &upstreams(count));
        let body = body(count);
        micros_per_call(times(50, scale), |_| {
            let list: Result<InstanceList, _> = from_json(&body);
            bench
                .dispatcher
                .handle(bench.now, Event::Upstreams(list.map_or(Vec::new(), |list| list.entries)));
        })
    });
    vec![
        Row::new("a new version of the list (decode, take in)", "upstream", MICROS, by_upstreams),
        Row::new("body of the list", "upstream", "bytes", bytes),
    ]
}

/// Members that have heard `count` peers directly.
pub(crate) fn members(count: usize, now: Instant) -> Members {
    let mut members = Members::new(member(0), Vec::new(), &Policy::default(), 1);
    let entries =
        (0..=count).map(|index| listed_entry(index, String::new(), member(index).peer_address)).collect();
    members.set_list(now, &InstanceList { entries, version: 1 });
    for index in 1..=count {
        let heartbeat =
            Heartbeat { demand: Vec::new(), from: member(index), members: Vec::new(), target_incarnation: 0 };
        let _ = members.on_heartbeat(now, &heartbeat);
    }
    members
}

/// Demand of as many teams as a heartbeat reports.
pub(crate) fn demand() -> Vec<TeamDemand> {
    (0..32).map(|team| TeamDemand { starts_per_s: 100, team: team_name(team) }).collect()
}

const PEERS: [usize; 3] = [2, 15, 64];

fn heartbeat_rows(scale: f64) -> Vec<Row> {
    let interval = Duration::from_millis(Policy::default().heartbeat_interval_ms);
    let start = Instant::now();
    let build = points(&PEERS, |peers| {
        let (mut members, mut now) = (members(peers, start), start);
        micros_per_call(times(1000, scale), |_| {
            now += interval;
            for outgoing in members.heartbeats(now, &demand()) {
                black_box(to_msgpack(&outgoing.heartbeat).unwrap_or_default());
            }
        })
    });
    let own = member(0).incarnation;
    let bodies: Vec<Vec<u8>> = PEERS.iter().map(|peers| heartbeat_body(*peers, start, own)).collect();
    let size = PEERS.iter().zip(&bodies).map(|(peers, body)| (*peers as f64, body.len() as f64)).collect();
    let mut bodies = bodies.iter();
    let merge = points(&PEERS, |peers| {
        let mut members = members(peers, start);
        let body = bodies.next().cloned().unwrap_or_default();
        micros_per_call(times(2000, scale), |index| {
            let Ok(mut heartbeat) = from_msgpack::<Heartbeat>(&body) else { return };
            // Reports that are no news would cost less.
            heartbeat.from.counter += index as u64;
            heartbeat.members.iter_mut().for_each(|member| member.counter += index as u64);
            let reply = members.on_heartbeat(start, &heartbeat);
            let _ = black_box(reply.map(|reply| to_msgpack(&reply)));
        })
    });
    let tick = points(&PEERS, |peers| {
        let mut members = members(peers, start);
        let mut notices = Vec::new();
        micros_per_call(times(2000, scale), |_| {
            members.tick(start, &mut notices);
            black_box(members.leaders());
        })
    });
    vec![
        Row::new("heartbeats of one interval, built and encoded", "peer", MICROS, build),
        Row::new("a heartbeat decoded and merged, reply encoded", "peer", MICROS, merge),
        Row::new("tick of the membership with the set of leaders", "peer", MICROS, tick),
        Row::new("body of a heartbeat with 32 teams", "peer", "bytes", size),
    ]
}

/// The body of a full heartbeat of an instance with `peers` peers to the process `target`.
pub(crate) fn heartbeat_body(peers: usize, now: Instant, target: Incarnation) -> Vec<u8> {
    let outgoing = members(peers, now).heartbeats(now, &demand());
    let heartbeat = outgoing.into_iter().next().map(|outgoing| outgoing.heartbeat);
    let heartbeat =
        heartbeat.map(|heartbeat| Heartbeat { from: member(1), target_incarnation: target, ..heartbeat });
    heartbeat.and_then(|heartbeat| to_msgpack(&heartbeat).ok()).unwrap_or_default()
}

/// Team quotas; the number of exceptions grows with them, up to 200 at 680.
const QUOTAS: [usize; 3] = [68, 340, 680];

fn config_rows(scale: f64) -> Vec<Row> {
    let config = |quotas: usize| document(quotas, quotas * 200 / 680);
    let text = |document: &ConfigDocument| to_json(document).unwrap_or_default();
    let bytes = points(&QUOTAS, |quotas| text(&config(quotas)).len() as f64);
    let cost = |work: &dyn Fn(usize, &ConfigDocument, &[u8])| {
        points(&QUOTAS, |quotas| {
            let (document, text) = (config(quotas), text(&config(quotas)));
            micros_per_call(times(200, scale), |index| work(index, &document, &text))
        })
    };
    let take_in = cost(&|_, _, text| {
        let Ok(document) = from_json::<ConfigDocument>(text) else { return };
        let valid = validate(&document).is_ok();
        black_box((valid, resolve(&document, &DATA_CENTRE.into())));
    });
    let propose = cost(&|index, document, _| {
        let changed = hinge_conf::apply(document, &change(index));
        black_box(changed.ok().and_then(|changed| to_json(&changed).ok()));
    });
    let apply = points(&QUOTAS, |quotas| apply_cost(scale, &config(quotas)));
    vec![
        Row::new("configuration document", "team quota", "bytes", bytes),
        Row::new("a revision decoded, validated and resolved", "team quota", MICROS, take_in),
        Row::new("an operator's change applied and encoded", "team quota", MICROS, propose),
        Row::new("a revision put in force at the dispatcher", "team quota", MICROS, apply),
    ]
}

fn apply_cost(scale: f64, document: &ConfigDocument) -> f64 {
    let resolved = resolve(document, &DATA_CENTRE.into());
    let mut bench = Bench::new(&resolved.policy, &upstreams(360));
    for team in 0..document.team_quotas_per_s.len() {
        bench.run(Arc::new(submission(1, team)));
    }
    let (quotas, weights) = (resolved.quotas, resolved.weights);
    micros_per_call(times(200, scale), |_| {
        let policy = Box::new(resolved.policy.clone());
        let quotas: FastMap<_, _> = quotas.clone();
        bench.dispatcher.handle(bench.now, Event::Config { policy, quotas, weights: weights.clone() });
        black_box(bench.dispatcher.drain_actions().any(|action| matches!(action, Action::Drained)));
    })
}
