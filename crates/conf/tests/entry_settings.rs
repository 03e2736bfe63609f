//! Guards against invalid process settings that are accepted, and against errors that do not say what is allowed.

use std::time::Duration;

use hinge_conf::{EntrySettings, Flags, LogLevel, SettingError};

fn flags() -> Flags {
    Flags { data_centre: Some("dc1".into()), instance: Some("entry-1".into()), ..Flags::default() }
}

/// Reads the settings from the required flags and the given environment variables.
fn from_env(variables: &[(&str, &str)]) -> Result<EntrySettings, SettingError> {
    let find = |name: &str| variables.iter().find(|(key, _)| *key == name);
    EntrySettings::from_flags(&flags(), |name| find(name).map(|(_, value)| (*value).to_owned()))
}

#[test]
fn defaults_apply_when_nothing_else_is_given() {
    let settings = from_env(&[]).unwrap();
    assert_eq!(settings.log_level, LogLevel::Info);
    assert_eq!(settings.max_body_bytes, 4_194_304);
    assert_eq!(settings.idle_timeout, Duration::from_secs(60));
    assert_eq!((settings.store, settings.seed, settings.peers.len()), (None, None, 0));
    assert_eq!(settings.advertised(settings.peer_listen), settings.peer_listen);
}

/// Guards against a variable that overrides a flag, so that a restart with a corrected flag has no effect.
#[test]
fn flags_take_precedence_over_variables_and_defaults() {
    let flags = Flags { max_connections: Some(" 7 ".into()), ..flags() };
    let env = |name: &str| match name {
        "CELERYHINGE_MAX_CONNECTIONS" => Some("8".to_owned()),
        "CELERYHINGE_LOG_LEVEL" => Some(" Debug\n".to_owned()),
        "CELERYHINGE_MAX_BODY_BYTES" => Some("  ".to_owned()),
        _ => None,
    };
    let settings = EntrySettings::from_flags(&flags, env).unwrap();
    assert_eq!(settings.max_connections, 7);
    assert_eq!(settings.log_level, LogLevel::Debug);
    assert_eq!(settings.max_body_bytes, 4_194_304, "a blank variable counts as absent");
}

/// Guards against an invalid flag that is silently replaced by the variable or the default.
#[test]
fn invalid_flags_are_errors() {
    for text in ["", " ", "x"] {
        let flags = Flags { max_connections: Some(text.into()), ..flags() };
        let error = EntrySettings::from_flags(&flags, |_| None).unwrap_err();
        assert!(error.to_string().contains("--max-connections"), "{error}");
    }
}

#[test]
fn errors_name_the_flag_and_the_allowed_values() {
    let many_peers = (1..=257).map(|port| format!("10.0.0.1:{port}")).collect::<Vec<_>>().join(",");
    let cases: &[(&str, &str, &str)] = &[
        ("INSTANCE", "a b", "letters, digits"),
        ("INSTANCE", "a.b", "letters, digits"),
        ("DATA_CENTRE", "dc/1", "letters, digits"),
        ("LISTEN", "localhost:80", "IP address"),
        ("LISTEN", "127.0.0.1", "IP address"),
        ("LISTEN", "127.0.0.1:65536", "IP address"),
        ("LISTEN", "127.0.0.1:8081", "differs from --listen"),
        ("PEER_LISTEN", "0.0.0.0:8080", "differs from --listen"),
        ("PEER_LISTEN", "224.0.0.1:9000", "IP address"),
        ("PEER_LISTEN", "0.0.0.0:9000", "reachable address"),
        ("ADVERTISE", "0.0.0.0:9000", "reachable"),
        ("PEERS", "10.0.0.1:1,,10.0.0.2:1", "different IP addresses"),
        ("PEERS", "10.0.0.1:1, 10.0.0.1:1", "different IP addresses"),
        ("PEERS", &many_peers, "at most 256"),
        ("STORE", "10.0.0.1:0", "port other than 0"),
        ("STATSD", "::1:8125:", "IP address"),
        ("LOG_LEVEL", "verbose", "error, warn, info"),
        ("MAX_BODY_BYTES", "1023", "from 1024 to 67108864"),
        ("MAX_BODY_BYTES", "67108865", "from 1024 to 67108864"),
        ("MAX_BODY_BYTES", "+2048", "a whole number"),
        ("MAX_BODY_BYTES", "-1", "a whole number"),
        ("MAX_BODY_BYTES", "2e6", "a whole number"),
        ("MAX_BODY_BYTES", "99999999999999999999999", "a whole number"),
        ("UPSTREAM_CONNECTIONS", "0", "from 1 to 60"),
        ("DRAIN_LINGER_MS", "60001", "at most --drain-timeout-ms"),
    ];
    for (name, value, allowed) in cases {
        let variable = format!("CELERYHINGE_{name}");
        let flags = Flags::default();
        let env = |asked: &str| match asked {
            _ if asked == variable => Some((*value).to_owned()),
            "CELERYHINGE_INSTANCE" | "CELERYHINGE_DATA_CENTRE" => Some("id".to_owned()),
            _ => None,
        };
        let message = EntrySettings::from_flags(&flags, env).expect_err(value).to_string();
        assert!(message.contains(allowed), "{name}={value}: {message}");
        assert!(message.contains("--") && message.contains("CELERYHINGE_"), "{message}");
        assert!(message.len() < 400, "an error must shorten a long input: {message}");
    }
}

#[test]
fn required_ids_are_reported_as_missing() {
    let error = EntrySettings::from_flags(&Flags::default(), |_| None).unwrap_err();
    assert!(matches!(error, SettingError::Missing { .. }), "{error}");
}

/// All instances of a data centre may be started with the same list of peers.
#[test]
fn own_address_is_removed_from_the_peers() {
    let settings = from_env(&[("CELERYHINGE_PEERS", "127.0.0.1:8081, 127.0.0.2:8081")]).unwrap();
    assert_eq!(settings.peers, ["127.0.0.2:8081".parse().unwrap()]);
}

/// Tests and local setups let the operating system choose both ports.
#[test]
fn port_zero_is_allowed_for_both_listeners() {
    let env = [("CELERYHINGE_LISTEN", "127.0.0.1:0"), ("CELERYHINGE_PEER_LISTEN", "127.0.0.1:0")];
    assert!(from_env(&env).is_ok());
}
