//! CPU time of the decision code, and sizes of the bodies that it reads and writes.

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
    DATA_CENTRE, DispatcherFixture, SERVICE, change_request, config_document, listed_entry, member,
    submission, team_name, unlimited_policy, upstreams,
};
use crate::slope::Row;
use crate::usage::{micros_per_call, thread_cpu_time};

const MICROS: &str = "µs";
const TICK: Duration = Duration::from_millis(50);

/// Measures all rows, with the number of repetitions multiplied by `scale`.
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

fn repetitions(count: usize, scale: f64) -> usize {
    ((count as f64 * scale) as usize).max(1)
}

fn measure_sizes(sizes: &[usize], mut measure: impl FnMut(usize) -> f64) -> Vec<(f64, f64)> {
    sizes.iter().map(|size| (*size as f64, measure(*size))).collect()
}

/// Mean cost of a submission, after a tenth as many calls for warm-up.
fn submission_cost(scale: f64, tasks: usize, teams: usize, upstream_count: usize) -> f64 {
    let mut fixture = DispatcherFixture::new(&unlimited_policy(), &upstreams(upstream_count));
    let submissions: Vec<_> = (0..teams).map(|team| Arc::new(submission(tasks, team))).collect();
    let count = repetitions(200_000 / tasks, scale);
    for index in 0..count / 10 {
        fixture.submit_and_complete(submissions[index % teams].clone());
    }
    micros_per_call(count, |index| {
        black_box(fixture.submit_and_complete(submissions[index % teams].clone()));
    })
}

fn task_rows(scale: f64) -> Vec<Row> {
    let by_tasks = measure_sizes(&[1, 10, 110], |tasks| submission_cost(scale, tasks, 680, 360));
    let by_teams = measure_sizes(&[10, 680], |teams| submission_cost(scale, 1, teams, 360));
    let by_upstreams = measure_sizes(&[36, 360, 1800], |count| submission_cost(scale, 1, 680, count));
    vec![
        Row::new("dispatcher: a submission with its tasks (submit, start, end)", "task", MICROS, by_tasks),
        Row::new("dispatcher: a submission of one task", "team", MICROS, by_teams),
        Row::new("dispatcher: a submission of one task", "upstream", MICROS, by_upstreams),
    ]
}

fn tick_cost(scale: f64, fixture: &mut DispatcherFixture) -> f64 {
    micros_per_call(repetitions(2000, scale), |_| {
        fixture.now += TICK;
        fixture.dispatcher.handle(fixture.now, Event::Tick);
        fixture.dispatcher.drain_actions().for_each(drop);
    })
}

fn tick_rows(scale: f64) -> Vec<Row> {
    let by_upstreams = measure_sizes(&[36, 360, 1800], |count| {
        let mut fixture = DispatcherFixture::new(&unlimited_policy(), &upstreams(count));
        fixture.submit_and_complete(Arc::new(submission(1, 0)));
        tick_cost(scale, &mut fixture)
    });
    let by_queued = measure_sizes(&[1000, 4000, 16_000], |count| {
        let mut fixture = dispatcher_with_queued_tasks(count, 680);
        tick_cost(scale, &mut fixture)
    });
    let by_teams = measure_sizes(&[68, 680], |teams| {
        let mut fixture = DispatcherFixture::new(&unlimited_policy(), &upstreams(360));
        let submissions: Vec<_> = (0..teams).map(|team| Arc::new(submission(1, team))).collect();
        demand_cost(scale, &mut fixture, &submissions)
    });
    let by_peers = measure_sizes(&PEERS, |count| {
        let mut fixture = DispatcherFixture::new(&unlimited_policy(), &upstreams(360));
        let event = peers_event(count);
        micros_per_call(repetitions(2000, scale), |_| {
            fixture.dispatcher.handle(fixture.now, event.clone());
        })
    });
    vec![
        Row::new("tick of the dispatcher at idle", "upstream", MICROS, by_upstreams),
        Row::new("tick of the dispatcher", "queued task", MICROS, by_queued),
        Row::new("report of the teams' demand", "active team", MICROS, by_teams),
        Row::new("peer view handed to the dispatcher", "peer", MICROS, by_peers),
    ]
}

/// Mean cost of a demand report after every team has submitted; the cost of the submissions is left out.
fn demand_cost(scale: f64, fixture: &mut DispatcherFixture, submissions: &[Arc<Submission>]) -> f64 {
    let count = repetitions(200, scale);
    let mut cpu_time = Duration::ZERO;
    for _ in 0..count {
        for submission in submissions {
            fixture.submit_and_complete(submission.clone());
        }
        fixture.now += TICK;
        let before = thread_cpu_time();
        black_box(fixture.dispatcher.demand(fixture.now));
        cpu_time += thread_cpu_time() - before;
    }
    cpu_time.as_secs_f64() * 1e6 / count as f64
}

/// A dispatcher with about `count` queued tasks, in jobs of 100 tasks, and one upstream whose slots are all in use.
pub(crate) fn dispatcher_with_queued_tasks(count: usize, teams: usize) -> DispatcherFixture {
    let mut fixture = DispatcherFixture::new(&unlimited_policy(), &upstreams(1));
    for index in 0..count.div_ceil(100) {
        fixture.submit(Arc::new(submission(100, index % teams)));
    }
    fixture.dispatcher.drain_actions().for_each(drop);
    fixture
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
    let by_slots = measure_sizes(&[1, 8, 32], |slots| {
        let mut fixture = DispatcherFixture::new(&unlimited_policy(), &upstreams(360));
        let request = hinge_wire::LoanRequest {
            borrower: "entry-001".to_owned(),
            borrower_incarnation: 2,
            class: hinge_wire::Class::Urgent,
            service: SERVICE.to_owned(),
            slots: slots as u32,
            target_incarnation: 1,
        };
        micros_per_call(repetitions(5000, scale), |_| {
            fixture.now += Duration::from_millis(1);
            let reply = fixture.dispatcher.lend(fixture.now, &request);
            let returned = hinge_wire::LoanReturn {
                borrower: "entry-001".to_owned(),
                loan: reply.loan,
                slots: reply.slots,
                target_incarnation: 1,
            };
            fixture.dispatcher.handle(fixture.now, Event::LoanReturned(returned));
        })
    });
    Row::new("a loan at the lender (lend, return)", "slot", MICROS, by_slots)
}

fn list_rows(scale: f64) -> Vec<Row> {
    let body =
        |count: usize| to_json(&InstanceList { entries: upstreams(count), version: 1 }).unwrap_or_default();
    let bytes = measure_sizes(&[36, 360, 1800], |count| body(count).len() as f64);
    let by_upstreams = measure_sizes(&[36, 360, 1800], |count| {
        let mut fixture = DispatcherFixture::new(&unlimited_policy(), &upstreams(count));
        let body = body(count);
        micros_per_call(repetitions(50, scale), |_| {
            let list: Result<InstanceList, _> = from_json(&body);
            fixture
                .dispatcher
                .handle(fixture.now, Event::Upstreams(list.map_or(Vec::new(), |list| list.entries)));
        })
    });
    vec![
        Row::new("a new version of the list (decode, take in)", "upstream", MICROS, by_upstreams),
        Row::new("body of the list", "upstream", "bytes", bytes),
    ]
}

/// The membership of an instance that has received a heartbeat from each of `count` peers.
pub(crate) fn members_with_peers(count: usize, now: Instant) -> Members {
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

/// Demand of 32 teams, as many as a heartbeat reports.
pub(crate) fn team_demand() -> Vec<TeamDemand> {
    (0..32).map(|team| TeamDemand { starts_per_s: 100, team: team_name(team) }).collect()
}

/// Numbers of peers in the measurements of membership and heartbeats.
const PEERS: [usize; 3] = [2, 15, 64];

fn heartbeat_rows(scale: f64) -> Vec<Row> {
    let interval = Duration::from_millis(Policy::default().heartbeat_interval_ms);
    let start = Instant::now();
    let build = measure_sizes(&PEERS, |peers| {
        let (mut members, mut now) = (members_with_peers(peers, start), start);
        micros_per_call(repetitions(1000, scale), |_| {
            now += interval;
            for outgoing in members.heartbeats(now, &team_demand()) {
                black_box(to_msgpack(&outgoing.heartbeat).unwrap_or_default());
            }
        })
    });
    let own = member(0).incarnation;
    let bodies: Vec<Vec<u8>> = PEERS.iter().map(|peers| heartbeat_body(*peers, start, own)).collect();
    let size = PEERS.iter().zip(&bodies).map(|(peers, body)| (*peers as f64, body.len() as f64)).collect();
    let mut bodies = bodies.iter();
    let merge = measure_sizes(&PEERS, |peers| {
        let mut members = members_with_peers(peers, start);
        let body = bodies.next().cloned().unwrap_or_default();
        micros_per_call(repetitions(2000, scale), |index| {
            let Ok(mut heartbeat) = from_msgpack::<Heartbeat>(&body) else { return };
            // Newer counters on each call, because reports without news cost less.
            heartbeat.from.counter += index as u64;
            heartbeat.members.iter_mut().for_each(|member| member.counter += index as u64);
            let reply = members.on_heartbeat(start, &heartbeat);
            let _ = black_box(reply.map(|reply| to_msgpack(&reply)));
        })
    });
    let tick = measure_sizes(&PEERS, |peers| {
        let mut members = members_with_peers(peers, start);
        let mut notices = Vec::new();
        micros_per_call(repetitions(2000, scale), |_| {
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

/// The body of a heartbeat with full demand from an instance with `peers` peers, addressed to incarnation `target`.
pub(crate) fn heartbeat_body(peers: usize, now: Instant, target: Incarnation) -> Vec<u8> {
    let outgoing = members_with_peers(peers, now).heartbeats(now, &team_demand());
    let heartbeat = outgoing.into_iter().next().map(|outgoing| outgoing.heartbeat);
    let heartbeat =
        heartbeat.map(|heartbeat| Heartbeat { from: member(1), target_incarnation: target, ..heartbeat });
    heartbeat.and_then(|heartbeat| to_msgpack(&heartbeat).ok()).unwrap_or_default()
}

/// Numbers of team quotas. The number of exceptions grows in proportion, up to 200 with 680 quotas.
const QUOTAS: [usize; 3] = [68, 340, 680];

fn config_rows(scale: f64) -> Vec<Row> {
    let config = |quotas: usize| config_document(quotas, quotas * 200 / 680);
    let text = |document: &ConfigDocument| to_json(document).unwrap_or_default();
    let bytes = measure_sizes(&QUOTAS, |quotas| text(&config(quotas)).len() as f64);
    let cost = |work: &dyn Fn(usize, &ConfigDocument, &[u8])| {
        measure_sizes(&QUOTAS, |quotas| {
            let (document, text) = (config(quotas), text(&config(quotas)));
            micros_per_call(repetitions(200, scale), |index| work(index, &document, &text))
        })
    };
    let decode = cost(&|_, _, text| {
        let Ok(document) = from_json::<ConfigDocument>(text) else { return };
        let valid = validate(&document).is_ok();
        black_box((valid, resolve(&document, &DATA_CENTRE.into())));
    });
    let apply_change = cost(&|index, document, _| {
        let changed = hinge_conf::apply(document, &change_request(index));
        black_box(changed.ok().and_then(|changed| to_json(&changed).ok()));
    });
    let activate = measure_sizes(&QUOTAS, |quotas| apply_cost(scale, &config(quotas)));
    vec![
        Row::new("configuration document", "team quota", "bytes", bytes),
        Row::new("a revision decoded, validated and resolved", "team quota", MICROS, decode),
        Row::new("an operator's change applied and encoded", "team quota", MICROS, apply_change),
        Row::new("a revision put in force at the dispatcher", "team quota", MICROS, activate),
    ]
}

fn apply_cost(scale: f64, document: &ConfigDocument) -> f64 {
    let resolved = resolve(document, &DATA_CENTRE.into());
    let mut fixture = DispatcherFixture::new(&resolved.policy, &upstreams(360));
    for team in 0..document.team_quotas_per_s.len() {
        fixture.submit_and_complete(Arc::new(submission(1, team)));
    }
    let (quotas, weights) = (resolved.quotas, resolved.weights);
    micros_per_call(repetitions(200, scale), |_| {
        let policy = Box::new(resolved.policy.clone());
        let quotas: FastMap<_, _> = quotas.clone();
        fixture.dispatcher.handle(fixture.now, Event::Config { policy, quotas, weights: weights.clone() });
        black_box(fixture.dispatcher.drain_actions().any(|action| matches!(action, Action::Drained)));
    })
}
