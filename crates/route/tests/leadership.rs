//! Assignment of upstreams to entries by rendezvous hashing.

mod common;

use common::{entries, router};
use hinge_conf::Policy;
use hinge_route::Router;
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest};
use proptest::test_runner::{Config, RngSeed};
use tokio::time::Instant;

/// A prime, so that no number of entries divides it evenly.
const COUNT: usize = 241;

fn leaders(router: &Router) -> Vec<String> {
    router.describe().into_iter().map(|upstream| upstream.leader).collect()
}

proptest! {
    #![proptest_config(Config { cases: 32, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..Config::default() })]

    /// Guards against a membership change that moves many more leaderships than necessary, which causes busy
    /// refusals; against an uneven assignment, which leaves one entry with queued tasks and no slots; and
    /// against entries that compute different leaders from the same members.
    ///
    /// The part of the entry that joins or leaves has to move. At most as many upstreams again may move for
    /// balance.
    #[test]
    fn membership_change_moves_few_upstreams(
        before in any::<[bool; 6]>(),
        changed in 0usize..6,
    ) {
        let names = ["a", "b", "c", "d", "e", "f"];
        let mut after = before;
        after[changed] = !after[changed];
        let live = |members: [bool; 6]| -> Vec<&str> {
            names.iter().zip(members).filter(|(_, live)| *live).map(|(name, _)| *name).collect()
        };
        let now = Instant::now();
        let mut entry_a = router(now, "a", &live(before), COUNT, &Policy::default());
        let first = leaders(&entry_a);
        entry_a.set_entries(&entries(&live(after)));
        let second = leaders(&entry_a);
        let moved = first.iter().zip(&second).filter(|(first, second)| first != second).count();
        let part = COUNT.div_ceil(live(before).len().max(live(after).len()).max(1));
        prop_assert!(moved <= 2 * part, "{moved} moved, the part of one entry is {part}");
        for name in live(after) {
            let led = second.iter().filter(|leader| *leader == name).count();
            let even = COUNT / live(after).len();
            prop_assert!((even..=even + 1).contains(&led), "{name} leads {led} of {COUNT}");
        }
        let mut reversed = live(after);
        reversed.reverse();
        let other = router(now, "b", &reversed, COUNT, &Policy::default());
        prop_assert_eq!(second, leaders(&other));
    }
}

/// Guards against an uneven assignment at the design scale of six entries and 1,800 upstreams.
#[test]
fn leadership_is_even_at_design_scale() {
    let router = router(Instant::now(), "a", &["a", "b", "c", "d", "e", "f"], 1_800, &Policy::default());
    let leaders = leaders(&router);
    for name in ["a", "b", "c", "d", "e", "f"] {
        let led = leaders.iter().filter(|leader| *leader == name).count();
        assert_eq!(led, 300, "{name} of 1800");
    }
}
