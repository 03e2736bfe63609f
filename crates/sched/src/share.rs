//! Guaranteed shares of the classes, and the choice of the class for a free slot.

use hinge_wire::Class;
use tokio::time::Instant;

/// Bound of the lag of a class in either direction, in slot seconds. Most tasks take up to 1 s and a few take
/// several, so the use of a fraction of a slot by one task stays within the bound.
const MAX_LAG: f64 = 10.0;

/// Number of queued and running tasks of one class.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pub(crate) queued: usize,
    pub(crate) running: u32,
}

/// Chooses the class that a free slot goes to.
///
/// The whole slots of a share are enforced by count, the remaining fraction of a slot over time: the lag of a
/// class with queued tasks grows by its share and falls by its use, and the class may use the fraction while
/// its lag is positive. Otherwise, with few slots, classes whose shares round up would leave no slot to the
/// last class.
#[derive(Debug)]
pub(crate) struct Shares {
    capacity: u32,
    /// Slot seconds by which each class is behind its share; negative when it is ahead.
    lag: [f64; Class::COUNT],
    last: Option<(Instant, [Load; Class::COUNT])>,
    percent: [u64; Class::COUNT],
}

impl Shares {
    pub(crate) const fn new(percent: [u64; Class::COUNT]) -> Self {
        Self { capacity: 0, lag: [0.0; Class::COUNT], last: None, percent }
    }

    pub(crate) const fn set_percent(&mut self, percent: [u64; Class::COUNT]) {
        self.percent = percent;
    }

    pub(crate) const fn set_capacity(&mut self, slots: u32) {
        self.capacity = slots;
    }

    /// Number of slots for estimates, at least one: an entry without slots borrows some once it has queued
    /// tasks.
    pub(crate) fn slots(&self) -> f64 {
        f64::from(self.capacity.max(1))
    }

    /// Guaranteed share of a class in slots.
    pub(crate) fn share(&self, class: Class) -> f64 {
        self.slots() * self.percent[class.index()] as f64 / 100.0
    }

    /// Updates the lags for the time since the last call, and stores `load` as the load from now on.
    pub(crate) fn account(&mut self, now: Instant, load: [Load; Class::COUNT]) {
        if let Some((since, before)) = self.last {
            let seconds = now.saturating_duration_since(since).as_secs_f64();
            if seconds > 0.0 {
                self.update_lag(seconds, &before);
            }
        }
        let since = self.last.map_or(now, |(since, _)| since.max(now));
        self.last = Some((since, load));
    }

    fn update_lag(&mut self, seconds: f64, load: &[Load; Class::COUNT]) {
        let waiting = load.iter().filter(|load| load.queued > 0).count();
        for class in Class::ALL {
            let Load { queued, running } = load[class.index()];
            let share = self.share(class);
            // Slots that no other class waits for are not charged.
            let is_contended = waiting > usize::from(queued > 0);
            let used = if is_contended { f64::from(running).min(share.ceil()) } else { 0.0 };
            let lag = &mut self.lag[class.index()];
            // A lag grows only while tasks wait. It is kept with an empty queue while a task runs, because a
            // queue that shedding keeps short is empty after each start.
            let max_lag = match (queued, running) {
                (0, 0) => 0.0,
                (0, _) => lag.max(0.0),
                _ => MAX_LAG,
            };
            *lag = (*lag + (share - used) * seconds).clamp(-MAX_LAG, MAX_LAG).min(max_lag);
        }
    }

    /// Number of slots in `percent` of the capacity, rounded up, but at least one slot less than the
    /// capacity.
    pub(crate) fn headroom(&self, percent: u64) -> u32 {
        let part = (u64::from(self.capacity) * percent).div_ceil(100);
        u32::try_from(part).unwrap_or(u32::MAX).min(self.capacity.saturating_sub(1))
    }

    /// Chooses the class that gets a free slot: the most urgent one below its share, else the most urgent one
    /// with queued tasks. The last `headroom` free slots only go to urgent tasks and to classes below their
    /// share.
    pub(crate) fn pick(&self, load: &[Load; Class::COUNT], headroom: u32) -> Option<Class> {
        let has_work = |class: &Class| load[class.index()].queued > 0;
        let is_below_share = |class: &Class| {
            let share = self.share(*class);
            let running = f64::from(load[class.index()].running);
            running + 1.0 <= share || running < share && self.lag[class.index()] > 0.0
        };
        Class::ALL.into_iter().find(|class| has_work(class) && is_below_share(class)).or_else(|| {
            let running: u32 = load.iter().map(|load| load.running).sum();
            let has_headroom = headroom == 0 || running.saturating_add(headroom) < self.capacity;
            Class::ALL.into_iter().find(has_work).filter(|class| *class == Class::Urgent || has_headroom)
        })
    }
}
