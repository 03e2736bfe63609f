//! CPU time and resident memory of this process, read from the operating system.

use std::fs;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// CPU time of the calling thread.
#[must_use]
pub(crate) fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// CPU time of the running threads whose name begins with `prefix`; threads that have ended do not count.
#[must_use]
pub(crate) fn threads_cpu_time(prefix: &str) -> Duration {
    let Ok(threads) = fs::read_dir("/proc/self/task") else { return Duration::ZERO };
    let time_ns = threads
        .flatten()
        .filter(|thread| {
            fs::read_to_string(thread.path().join("comm")).is_ok_and(|name| name.starts_with(prefix))
        })
        .filter_map(|thread| fs::read_to_string(thread.path().join("schedstat")).ok())
        .filter_map(|stat| stat.split_whitespace().next()?.parse::<u64>().ok())
        .sum();
    Duration::from_nanos(time_ns)
}

/// Resident memory of the process; 0 where it cannot be read.
#[must_use]
pub(crate) fn resident_bytes() -> f64 {
    let pages = fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|statm| statm.split_whitespace().nth(1)?.parse::<f64>().ok())
        .unwrap_or(0.0);
    pages * rustix::param::page_size() as f64
}

/// Mean CPU time of a call of `run` in microseconds, over `count` calls on the calling thread.
pub(crate) fn micros_per_call(count: usize, mut run: impl FnMut(usize)) -> f64 {
    let before = thread_cpu_time();
    for index in 0..count {
        run(index);
    }
    (thread_cpu_time() - before).as_secs_f64() * 1e6 / count.max(1) as f64
}

/// Growth of resident memory in bytes while `build` runs. The result is added to `retained`, because the next
/// measurement would reuse its memory once freed.
pub(crate) fn resident_growth<T: 'static>(
    retained: &mut Vec<Box<dyn std::any::Any>>,
    build: impl FnOnce() -> T,
) -> f64 {
    let before = resident_bytes();
    retained.push(Box::new(build()));
    resident_bytes() - before
}
