//! Guards against invalid configuration documents that are accepted, and against lost operations.

use hinge_conf::{
    ChangeError, MAX_DOCUMENT_BYTES, MAX_OPERATIONS, POLICY, PolicyKind, apply, empty_document, resolve,
    validate,
};
use hinge_wire::{
    Change, ChangeRequest, ConfigDocument, ResultCode, Scope, ScopeKind, SettingValue, from_json, to_json,
};
use proptest::prelude::{Strategy, prop_oneof};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn request(id: &str, change: Change) -> ChangeRequest {
    ChangeRequest { author: "ops".into(), change, expect_revision: 0, operation_id: id.into() }
}

fn set_default(setting: &str, value: impl Into<SettingValue>) -> Change {
    Change::SetDefault { setting: setting.into(), value: value.into() }
}

fn set_exception(kind: ScopeKind, name: &str, setting: &str, value: u64, reason: &str) -> Change {
    Change::SetException {
        reason: reason.into(),
        scope: Scope { kind, name: name.into() },
        setting: setting.into(),
        value: value.into(),
    }
}

#[test]
fn invalid_changes_are_rejected_with_a_code() {
    let (data_centre, team) = (ScopeKind::DataCentre, ScopeKind::Team);
    let long = "r".repeat(501);
    let cases = [
        (set_default("no_such", 1), "unknown setting"),
        (set_default("max_attempts", true), "whole number"),
        (set_default("quotas_enabled", 1), "true or false"),
        (set_default("max_attempts", 0), "from 1 to 10"),
        (set_default("max_attempts", 11), "from 1 to 10"),
        (set_default("urgent_share_percent", 60), "sum to 110 percent"),
        (set_default("suspect_after_ms", 5001), "above dead_after_ms"),
        (set_default("eject_base_ms", 60001), "above eject_limit_ms"),
        (set_default("claim_ttl_ms", 2_999_999), "below twice key_validity_ms"),
        (set_exception(team, "t", "max_attempts", 2, "r"), "no exception for a team"),
        (set_exception(data_centre, "dc1", "max_attempts", 2, "  "), "reason"),
        (set_exception(data_centre, "dc1", "max_attempts", 2, &long), "reason"),
        (set_exception(data_centre, "dc1", "max_attempts", 2, "a\nb"), "control"),
        (set_exception(data_centre, "", "max_attempts", 2, "r"), "scope"),
        (set_exception(data_centre, "dc1", "batch_share_percent", 50, "r"), "data centre dc1: the shares"),
        (Change::SetQuota { starts_per_s: 1_000_001, team: "t".into() }, "team_quota_per_s"),
        (Change::SetQuota { starts_per_s: 1, team: "a b".into() }, "team"),
        (Change::ClearQuota { team: "t".into() }, "not set"),
        (Change::ClearDefault { setting: "max_attempts".into() }, "not set"),
        (Change::ClearDefault { setting: "no_such".into() }, "unknown setting"),
    ];
    for (change, expected) in cases {
        let error = apply(&empty_document(), &request("op", change.clone())).expect_err(expected);
        assert!(error.to_string().contains(expected), "{change:?}: {error}");
        assert_eq!(error.code(), ResultCode::ConfigInvalid, "{change:?}");
    }
}

/// Guards against a retry that is applied twice, and against a new change that is taken for a retry because it reuses
/// an operation id.
#[test]
fn known_operation_ids_are_rejected() {
    let first = request("op", set_default("max_attempts", 2));
    let document = apply(&empty_document(), &first).unwrap();
    assert_eq!(apply(&document, &first), Err(ChangeError::AlreadyApplied("op".into())));
    let other = request("op", set_default("max_attempts", 4));
    assert_eq!(apply(&document, &other).unwrap_err().code(), ResultCode::InvalidField);
}

#[test]
fn documents_above_one_megabyte_are_rejected() {
    let mut document = empty_document();
    let quota = |index: u32| (format!("team-{index:059}"), 1);
    document.team_quotas_per_s = (0..14_400).map(quota).collect();
    let bytes = to_json(&document).unwrap().len();
    assert!(bytes < MAX_DOCUMENT_BYTES && validate(&document).is_ok(), "{bytes}");
    document.team_quotas_per_s = (0..15_000).map(quota).collect();
    assert_eq!(validate(&document).unwrap_err().code(), ResultCode::TooLarge);
}

/// Documents read from the store or a peer may have been written by other programs.
#[test]
fn invalid_documents_are_rejected() {
    let exception =
        r#"{"author":"a","reason":"r","scope":{"kind":"team","name":"t"},"setting":"team_weight","value":5}"#;
    let operation = r#"{"author":"a","operation_id":"x","summary":"s"}"#;
    let text = |version: u32, exceptions: &str, operations: &str| {
        let text = format!(
            r#"{{"defaults":{{}},"exceptions":[{exceptions}],"format_version":{version},
                "operations":[{operations}],"team_quotas_per_s":{{}}}}"#
        );
        from_json::<ConfigDocument>(text.as_bytes()).unwrap()
    };
    assert_eq!(validate(&text(1, exception, operation)), Ok(()));
    assert!(validate(&text(2, "", "")).is_err(), "unknown format");
    assert!(
        validate(&text(1, &format!("{exception},{exception}"), "")).is_err(),
        "two exceptions for one scope"
    );
    assert!(validate(&text(1, "", &format!("{operation},{operation}"))).is_err(), "operation listed twice");
    assert!(validate(&text(1, "", &operation.replace('x', ""))).is_err(), "empty operation id");
}

#[test]
fn exceptions_apply_to_their_scope_only() {
    let changes = [
        set_default("max_attempts", 2),
        set_exception(ScopeKind::DataCentre, "dc1", "max_attempts", 5, "r"),
        set_exception(ScopeKind::Team, "t", "team_weight", 7, "r"),
        Change::SetQuota { starts_per_s: 10, team: "t".into() },
        Change::SetQuota { starts_per_s: 20, team: "u".into() },
        set_exception(ScopeKind::Team, "t", "team_quota_per_s", 11, "r"),
    ];
    let mut document = empty_document();
    for (index, change) in changes.into_iter().enumerate() {
        document = apply(&document, &request(&format!("op-{index}"), change)).unwrap();
    }
    let resolved = resolve(&document, &"dc1".into()).with_revision(9);
    assert_eq!((resolved.policy.max_attempts, resolved.revision), (5, 9));
    assert_eq!((resolved.quotas["t"], resolved.quotas["u"], resolved.weights["t"]), (11, 20, 7));
    assert_eq!(resolve(&document, &"dc2".into()).policy.max_attempts, 2);
}

fn any_change() -> impl Strategy<Value = Change> {
    let setting = || (0..POLICY.len()).prop_map(|index| POLICY[index].name.to_owned());
    let value =
        || prop_oneof![(0..3000_u64).prop_map(SettingValue::from), proptest::bool::ANY.prop_map(Into::into)];
    let scope = || {
        let kind = prop_oneof![Just(ScopeKind::DataCentre), Just(ScopeKind::Team)];
        (kind, "[ab]").prop_map(|(kind, name)| Scope { kind, name })
    };
    use proptest::prelude::Just;
    prop_oneof![
        (setting(), value()).prop_map(|(setting, value)| Change::SetDefault { setting, value }),
        setting().prop_map(|setting| Change::ClearDefault { setting }),
        (setting(), value(), scope(), "[ r]{0,3}").prop_map(|(setting, value, scope, reason)| {
            Change::SetException { reason, scope, setting, value }
        }),
        (setting(), scope()).prop_map(|(setting, scope)| Change::ClearException { scope, setting }),
        ("[a-c]", 0..2_000_000_u64).prop_map(|(team, starts_per_s)| Change::SetQuota { starts_per_s, team }),
        "[a-c]".prop_map(|team| Change::ClearQuota { team }),
    ]
}

/// Guards against a sequence of accepted changes whose result is not a valid document.
#[test]
fn accepted_changes_keep_the_document_valid() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner =
        TestRunner::new_with_rng(Config { cases: 64, failure_persistence: None, ..Config::default() }, rng);
    let changes = proptest::collection::vec(any_change(), 1..300);
    let mut accepted_total = 0;
    let check = |changes: Vec<Change>| {
        let mut document = empty_document();
        let mut accepted = Vec::new();
        for (index, change) in changes.into_iter().enumerate() {
            let request = request(&format!("op-{index}"), change);
            let Ok(changed) = apply(&document, &request) else { continue };
            assert_eq!(validate(&changed), Ok(()));
            accepted.push(request.operation_id);
            document = changed;
        }
        let kept: Vec<_> = document.operations.iter().map(|record| record.operation_id.clone()).collect();
        assert_eq!(kept, accepted[accepted.len().saturating_sub(MAX_OPERATIONS)..]);
        assert_eq!(from_json::<ConfigDocument>(&to_json(&document).unwrap()).unwrap(), document);
        for spec in POLICY {
            let number = document.defaults.get(spec.name);
            if let (PolicyKind::Number { max, min, .. }, Some(SettingValue::Number(value))) =
                (spec.kind, number)
            {
                assert!((min..=max).contains(value), "{}={value}", spec.name);
            }
        }
        accepted.len()
    };
    for _ in 0..64 {
        use proptest::strategy::ValueTree;
        accepted_total += check(changes.new_tree(&mut runner).unwrap().current());
    }
    assert!(accepted_total > 1000, "the generator must produce valid changes: {accepted_total}");
}
