//! Leadership by rendezvous hash.

mod common;

use common::{entries, router};
use hinge_conf::Policy;
use hinge_route::Router;
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest};
use proptest::test_runner::{Config, RngSeed};
use tokio::time::Instant;

const COUNT: usize = 240;

fn leaders(router: &Router) -> Vec<String> {
    router.describe().into_iter().map(|upstream| upstream.leader).collect()
}

proptest! {
    #![proptest_config(Config { cases: 32, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..Config::default() })]

    /// Guards against leadership that moves between entries that stayed, which would cause busy rejections on every
    /// membership change, and against entries that compute different leaders from the same members.
    #[test]
    fn only_the_changed_entrys_upstreams_move(before in any::<[bool; 6]>(), changed in 0usize..6) {
        let names = ["a", "b", "c", "d", "e", "f"];
        let mut after = before;
        after[changed] = !after[changed];
        let live = |members: [bool; 6]| -> Vec<&str> {
            names.iter().zip(members).filter(|(_, live)| *live).map(|(name, _)| *name).collect()
        };
        let now = Instant::now();
        let mut one = router(now, "a", &live(before), COUNT, &Policy::default());
        let first = leaders(&one);
        one.set_entries(&entries(&live(after)));
        let second = leaders(&one);
        for (first, second) in first.iter().zip(&second) {
            prop_assert!(first == second || first == names[changed] || second == names[changed]);
        }
        let mut reversed = live(after);
        reversed.reverse();
        let other = router(now, "b", &reversed, COUNT, &Policy::default());
        prop_assert_eq!(second, leaders(&other));
    }
}

/// Guards against a skewed hash, which would leave some entries without upstreams.
#[test]
fn leadership_is_spread() {
    let router = router(Instant::now(), "a", &["a", "b", "c", "d", "e", "f"], 1_800, &Policy::default());
    let leaders = leaders(&router);
    for name in ["a", "b", "c", "d", "e", "f"] {
        let led = leaders.iter().filter(|leader| *leader == name).count();
        assert!((240..=360).contains(&led), "{name} leads {led} of 1800");
    }
}
