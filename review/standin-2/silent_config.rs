//! Open channels to the store go silent. A later version of the configuration has to be in force in time.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::proxy::Proxy;
use crate::stage::{Reply, Stage};

const OLD: &str = "/old/";
const NEW: &str = "/new/";
const KEPT: &str = "/kept/";

/// `config-apply-ms`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// `stable-window-ms`: the loss of the channels counts as a reset, and the machines are in touch again after this time.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// Added to the bounds, for the times that this program takes itself.
const MARGIN: Duration = Duration::from_millis(20);
/// Time from the change before to the loss of the channels.
const CHANGE_BEFORE: Duration = Duration::from_millis(100);
/// Time from the loss of the channels to the change that is judged.
const CHANGE_AFTER: Duration = Duration::from_millis(300);
/// Time between two rounds of requests.
const ROUND: Duration = Duration::from_millis(40);
const BUDGET: Duration = Duration::from_millis(1_500);

pub fn play(stage: &Stage, trouble: bool) -> io::Result<Verdict> {
    let proxy = Proxy::start(stage.store.address);
    let workers: Vec<_> = (0..4).map(|index| stage.start_worker(&format!("w-{index}"), 16_000)).collect();
    stage.configure(1, &[KEPT, OLD], 15_000);
    let entries = stage.start_entries(3, proxy.address)?;
    stage.wait_until_ready(&entries)?;
    for entry in &entries {
        let reply = stage.submit(entry, &stage.job(OLD, 2, 1_000, 20, BUDGET));
        if reply.status() != 200 {
            return Err(io::Error::other("no job is served before the disruption"));
        }
    }

    stage.configure(2, &[KEPT, OLD], 14_000);
    thread::sleep(CHANGE_BEFORE);
    let silent_at = Instant::now();
    if trouble {
        proxy.silence();
        stage.record.line("the open channels to the store go silent");
    }
    thread::sleep(CHANGE_AFTER);
    let acknowledged_at = stage.configure(3, &[KEPT, NEW], 14_000);

    let judged_from = (acknowledged_at + CONFIG_APPLY).max(silent_at + STABLE_WINDOW) + MARGIN;
    stage.record.line(&format!(
        "judged are requests from {} ms after the acknowledgement of version 3 on, {} ms after the loss of the channels",
        (judged_from - acknowledged_at).as_millis(),
        (judged_from - silent_at).as_millis()
    ));
    thread::sleep(judged_from.saturating_duration_since(Instant::now()));
    let mut late: Vec<(String, Duration)> = Vec::new();
    let until = judged_from + Duration::from_millis(2_500);
    while Instant::now() < until {
        let round = Instant::now();
        thread::scope(|scope| {
            let calls: Vec<_> = entries
                .iter()
                .flat_map(|entry| [(entry, OLD), (entry, NEW)])
                .map(|(entry, prefix)| {
                    let job = stage.job(prefix, 1, 1_000, 10, BUDGET);
                    (entry, prefix, scope.spawn(move || stage.submit(entry, &job)))
                })
                .collect();
            for (entry, prefix, call) in calls {
                let Ok(reply) = call.join() else { continue };
                if is_outdated(prefix, &reply) {
                    late.push((
                        format!("{} at {prefix}: {}", entry.name, reply.status()),
                        reply.sent_at - acknowledged_at,
                    ));
                }
            }
        });
        thread::sleep(ROUND.saturating_sub(round.elapsed()));
    }
    for (what, after) in &late {
        stage
            .record
            .line(&format!("BROKEN: {what}, sent {} ms after the acknowledgement", after.as_millis()));
    }
    stage.record.line(&format!("{} requests were handled by the older version", late.len()));
    drop(workers);
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Whether the answer is one that only the version before allows: the dropped route runs, or the added one is not there.
fn is_outdated(prefix: &str, reply: &Reply) -> bool {
    match prefix {
        OLD => reply.status() == 200,
        _ => reply.status() == 404,
    }
}
