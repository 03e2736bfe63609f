//! Setup shared by the tests.

#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::expect_used, clippy::panic, reason = "a failed expectation fails the test")]

use std::time::Duration;

use hinge_conf::Policy;
use hinge_route::{EndKind, HealthState, Notice, PickRequest, Router, Slot};
use hinge_wire::{
    Class, InstanceId, InstanceKind, ListEntry, ListState, LoanRequest, RackId, ServiceId, UpstreamId,
};
use tokio::time::Instant;

pub(crate) const SLOTS: u32 = 4;
pub(crate) const EXPECTED: Duration = Duration::from_millis(100);
pub(crate) const RACK_SIZE: usize = 4;

pub(crate) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub(crate) fn service() -> ServiceId {
    "solve".into()
}

pub(crate) fn id(number: usize) -> UpstreamId {
    format!("worker-{number}").into()
}

pub(crate) fn rack(number: usize) -> RackId {
    format!("rack-{number}").into()
}

pub(crate) fn entries(names: &[&str]) -> Vec<InstanceId> {
    names.iter().map(|name| (*name).into()).collect()
}

pub(crate) fn upstream(number: usize) -> ListEntry {
    ListEntry {
        address: format!("127.0.0.1:{}", 9_000 + number),
        data_centre: "dc1".into(),
        id: id(number).to_string(),
        kind: InstanceKind::Upstream,
        memory_mb: 32_000,
        peer_address: String::new(),
        rack: rack(number / RACK_SIZE).to_string(),
        service: "solve".into(),
        slots: SLOTS,
        state: ListState::Live,
    }
}

pub(crate) fn fleet(count: usize) -> Vec<ListEntry> {
    (0..count).map(upstream).collect()
}

/// Creates the router of entry `instance` with the live entries `live` and `count` upstreams.
pub(crate) fn router(now: Instant, instance: &str, live: &[&str], count: usize, policy: &Policy) -> Router {
    let mut router = Router::new(instance.into(), policy, 11);
    router.set_entries(&entries(live));
    router.set_upstreams(now, &fleet(count));
    router
}

/// Creates a router that leads all of `count` upstreams, with the default policy.
pub(crate) fn sole_leader(now: Instant, count: usize) -> Router {
    router(now, "a", &["a"], count, &Policy::default())
}

pub(crate) fn pick_with(
    router: &mut Router,
    now: Instant,
    idempotent: bool,
    racks: &[RackId],
    upstreams: &[UpstreamId],
) -> Option<Slot> {
    let (service, class) = (service(), Class::Urgent);
    router.pick(
        now,
        &PickRequest { avoid_racks: racks, avoid_upstreams: upstreams, class, idempotent, service: &service },
    )
}

pub(crate) fn pick(router: &mut Router, now: Instant) -> Option<Slot> {
    pick_with(router, now, false, &[], &[])
}

/// Ends a task whose run time was as expected.
pub(crate) fn end(router: &mut Router, now: Instant, slot: &Slot, kind: EndKind) {
    router.finish_task(now, slot, kind, EXPECTED, EXPECTED);
}

pub(crate) fn notices(router: &mut Router, now: Instant) -> Vec<Notice> {
    let mut notices = Vec::new();
    router.tick(now, &mut notices);
    notices
}

pub(crate) fn request(borrower: &str, slots: u32) -> LoanRequest {
    LoanRequest {
        borrower: borrower.into(),
        borrower_incarnation: 1,
        class: Class::Urgent,
        service: "solve".into(),
        slots,
        target_incarnation: 1,
    }
}

pub(crate) fn count_state(router: &Router, count: usize, state: HealthState) -> usize {
    (0..count).filter(|number| router.health(&id(*number)) == Some(state)).count()
}

/// Fails tasks on one upstream until it is ejected.
pub(crate) fn eject(router: &mut Router, now: Instant, number: usize) {
    let others: Vec<UpstreamId> = (0..64).filter(|other| *other != number).map(id).collect();
    for _ in 0..100 {
        if router.health(&id(number)) == Some(HealthState::Ejected) {
            return;
        }
        let slot = pick_with(router, now, false, &[], &others).expect("a free slot");
        assert_eq!(slot.upstream, id(number));
        end(router, now, &slot, EndKind::Failed);
    }
    panic!("not ejected");
}
