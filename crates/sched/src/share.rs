//! Guaranteed shares of the classes in the slots in use.

use hinge_wire::Class;
use tokio::time::Instant;

/// Claim or overuse that a class may carry, in slot seconds. Most tasks take up to 1 s and a few take
/// several, so one task's use of a fraction of a slot fits in.
const LAG_LIMIT: f64 = 10.0;

/// Load of one class as the selection sees it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pub(crate) queued: usize,
    pub(crate) running: u32,
}

/// Chooses the class that a free slot goes to.
///
/// The whole slots of a share are enforced by count. The fraction of a slot that remains is enforced over
/// time: a class that has queued work gains its share and loses its use, and has a claim to the fraction
/// while the balance is positive. Without it, on few slots, classes whose shares round up would leave none
/// to the last class.
#[derive(Debug)]
pub(crate) struct Shares {
    capacity: u32,
    /// Slot seconds that a class is behind its share.
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

    /// Slots for estimates. An entry without slots of its own borrows some once it has queued work, so it
    /// counts as having one.
    pub(crate) fn slots(&self) -> f64 {
        f64::from(self.capacity.max(1))
    }

    /// Guaranteed share in slots.
    pub(crate) fn share(&self, class: Class) -> f64 {
        self.slots() * self.percent[class.index()] as f64 / 100.0
    }

    /// Accounts for the time since the last call and remembers the load from now on.
    pub(crate) fn account(&mut self, now: Instant, load: [Load; Class::COUNT]) {
        if let Some((since, before)) = self.last {
            let seconds = now.saturating_duration_since(since).as_secs_f64();
            if seconds > 0.0 {
                self.settle(seconds, &before);
            }
        }
        let since = self.last.map_or(now, |(since, _)| since.max(now));
        self.last = Some((since, load));
    }

    fn settle(&mut self, seconds: f64, load: &[Load; Class::COUNT]) {
        let waiting = load.iter().filter(|load| load.queued > 0).count();
        for class in Class::ALL {
            let Load { queued, running } = load[class.index()];
            let share = self.share(class);
            // Slots that no other class waits for cost nothing.
            let others_wait = waiting > usize::from(queued > 0);
            let used = if others_wait { f64::from(running).min(share.ceil()) } else { 0.0 };
            let lag = &mut self.lag[class.index()];
            // A claim grows only while work waits. It survives an empty queue while a task runs, because a
            // queue that early refusal keeps short is empty after each start.
            let most = match (queued, running) {
                (0, 0) => 0.0,
                (0, _) => lag.max(0.0),
                _ => LAG_LIMIT,
            };
            *lag = (*lag + (share - used) * seconds).clamp(-LAG_LIMIT, LAG_LIMIT).min(most);
        }
    }

    /// Slots that `percent` of the capacity stand for, rounded up; one slot always remains.
    pub(crate) fn headroom(&self, percent: u64) -> u32 {
        let part = (u64::from(self.capacity) * percent).div_ceil(100);
        u32::try_from(part).unwrap_or(u32::MAX).min(self.capacity.saturating_sub(1))
    }

    /// The class that gets a free slot. The last `headroom` free slots go to urgent work and to classes below
    /// their share only.
    pub(crate) fn pick(&self, load: &[Load; Class::COUNT], headroom: u32) -> Option<Class> {
        let has_work = |class: &Class| load[class.index()].queued > 0;
        let below = |class: &Class| {
            let share = self.share(*class);
            let running = f64::from(load[class.index()].running);
            running + 1.0 <= share || running < share && self.lag[class.index()] > 0.0
        };
        Class::ALL.into_iter().find(|class| has_work(class) && below(class)).or_else(|| {
            let running: u32 = load.iter().map(|load| load.running).sum();
            let has_headroom = headroom == 0 || running.saturating_add(headroom) < self.capacity;
            Class::ALL.into_iter().find(has_work).filter(|class| *class == Class::Urgent || has_headroom)
        })
    }
}
