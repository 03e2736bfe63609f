//! Learned run times: limits on outliers, percentiles and eviction.

use std::time::Duration;

use hinge_conf::Policy;
use hinge_sched::Estimates;
use hinge_wire::{Class, ServiceId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const MS: Duration = Duration::from_millis(1);

/// Guards against estimates that follow an extreme declaration or a single straggler.
#[test]
fn wrong_declarations_and_stragglers_are_limited() {
    let mut estimates = Estimates::new(&Policy::default());
    let service = ServiceId::from("maps");
    let expected = |estimates: &mut Estimates, declared| estimates.expected(&service, Class::Query, declared);
    for declared in [Duration::MAX, Duration::ZERO] {
        let run_time = expected(&mut estimates, Some(declared));
        assert!((MS..=MS * 30_000).contains(&run_time), "{run_time:?}");
    }
    estimates.observe(&service, Class::Query, MS * 80);
    assert_eq!(expected(&mut estimates, Some(Duration::MAX)), MS * 80);
    for _ in 0..20 {
        estimates.observe(&service, Class::Query, MS * 80);
    }
    estimates.observe(&service, Class::Query, Duration::MAX);
    let after = expected(&mut estimates, None);
    assert!(after < MS * 110, "one straggler moved the estimate to {after:?}");
    // A lasting change is learned.
    for _ in 0..100 {
        estimates.observe(&service, Class::Query, MS * 2000);
    }
    let after = expected(&mut estimates, None);
    assert!(after > MS * 1800, "{after:?}");
}

/// Guards against a percentile estimate that is far from the percentile of the observed run times.
#[test]
fn percentile_is_close_to_the_observed_one() {
    let mut estimates = Estimates::new(&Policy::default());
    let service = ServiceId::from("maps");
    let mut random = StdRng::seed_from_u64(7);
    assert_eq!(estimates.percentile_95(&service, Class::Urgent), None);
    let (mut sum, count) = (0.0, 2000);
    for step in 0..2 * count {
        estimates.observe(&service, Class::Urgent, MS * random.random_range(50..=1050));
        if step >= count {
            sum += estimates.percentile_95(&service, Class::Urgent).expect("known").as_secs_f64();
        }
    }
    let mean = sum / f64::from(count);
    assert!((0.9..1.1).contains(&mean), "{mean} s instead of 1 s");
}

/// Guards against an unbounded number of keys, and against eviction of a service that is in use.
#[test]
fn least_recently_used_key_is_evicted() {
    let policy = Policy { max_estimates: 16, ..Policy::default() };
    let mut estimates = Estimates::new(&policy);
    let used = ServiceId::from("used");
    estimates.observe(&used, Class::Urgent, MS * 7);
    for number in 0..1000 {
        estimates.observe(&format!("service-{number}").into(), Class::Batch, MS * 9);
        assert_eq!(estimates.expected(&used, Class::Urgent, None), MS * 7);
        assert!(estimates.len() <= 16);
    }
    // Asking for unknown services evicts nothing.
    for number in 1000..2000 {
        estimates.expected(&format!("service-{number}").into(), Class::Batch, None);
    }
    assert_eq!(estimates.expected(&"service-999".into(), Class::Batch, None), MS * 9);
    assert_ne!(estimates.expected(&"service-900".into(), Class::Batch, None), MS * 9);
}
