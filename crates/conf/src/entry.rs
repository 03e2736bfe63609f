//! Validated process settings of an entry instance.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use hinge_wire::{DataCentreId, FastSet, InstanceId, ResultCode, is_valid_id};
use thiserror::Error;

use crate::{FLAGS, FlagKind, FlagSpec, Flags};

/// Prefix of the environment variables.
const ENV_PREFIX: &str = "CELERYHINGE_";
/// Characters of a rejected value that an error shows.
const MAX_SHOWN_CHARS: usize = 80;
/// Largest number of peer addresses in the setting `peers`.
const MAX_PEERS: usize = 256;

/// Reason why the process settings were rejected.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SettingError {
    /// A setting has a value that is not allowed.
    #[error("{flag} (or {variable}) is {value:?}; allowed: {allowed}")]
    Invalid {
        /// Description of the allowed values.
        allowed: String,
        /// Flag of the setting, with leading dashes.
        flag: String,
        /// Rejected text, at most 80 characters of it.
        value: String,
        /// Environment variable of the setting.
        variable: String,
    },
    /// A required setting was given neither as a flag nor as a variable.
    #[error("{flag} (or {variable}) is required; allowed: {allowed}")]
    Missing {
        /// Description of the allowed values.
        allowed: String,
        /// Flag of the setting, with leading dashes.
        flag: String,
        /// Environment variable of the setting.
        variable: String,
    },
}

impl SettingError {
    /// Result code that reports the error.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        ResultCode::InvalidField
    }

    fn invalid(name: &str, value: &str, allowed: impl Into<String>) -> Self {
        let value = value.chars().take(MAX_SHOWN_CHARS).collect();
        Self::Invalid { allowed: allowed.into(), flag: flag_name(name), value, variable: variable_name(name) }
    }

    fn missing(name: &str, allowed: String) -> Self {
        Self::Missing { allowed, flag: flag_name(name), variable: variable_name(name) }
    }
}

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Warnings and errors.
    Warn,
    /// Normal events, warnings and errors.
    Info,
    /// Also details for troubleshooting.
    Debug,
    /// All log lines.
    Trace,
}

impl FromStr for LogLevel {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text.to_ascii_lowercase().as_str() {
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            "trace" => Ok(Self::Trace),
            _ => Err(()),
        }
    }
}

/// Process settings of an entry instance.
///
/// White space around a value is ignored. An empty environment variable counts as absent; an empty flag is an error
/// except for `--peers`, where it means no peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntrySettings {
    /// Peer address that other instances connect to; the bound peer address when absent.
    pub advertise: Option<SocketAddr>,
    /// Time limit for opening a connection to an upstream or peer.
    pub connect_timeout: Duration,
    /// Id of this instance's data centre.
    pub data_centre: DataCentreId,
    /// Time that answers stay available after the last submission ends during a drain; at most `drain_timeout`.
    pub drain_linger: Duration,
    /// Longest duration of a drain; submissions still in progress then are counted as lost.
    pub drain_timeout: Duration,
    /// Time after which an idle connection or an incomplete request is closed.
    pub idle_timeout: Duration,
    /// Id of this instance, unique in the fleet.
    pub instance: InstanceId,
    /// Address of the platform's instance list; no list is read when absent.
    pub list: Option<SocketAddr>,
    /// Address to listen on for callers.
    pub listen: SocketAddr,
    /// Least severe level that is logged.
    pub log_level: LogLevel,
    /// Memory that the machine grants to this process, in megabytes.
    pub memory_mb: usize,
    /// Largest request body accepted, in bytes.
    pub max_body_bytes: usize,
    /// Largest number of open connections per listener.
    pub max_connections: usize,
    /// Descriptors that the machine grants to this process.
    pub max_descriptors: usize,
    /// Largest request header section accepted, in bytes.
    pub max_header_bytes: usize,
    /// Largest task result accepted from an upstream, in bytes.
    pub max_result_bytes: usize,
    /// Longest time that a response is held open for the answer to a submission.
    pub max_wait: Duration,
    /// Address to listen on for peers and operators; differs from `listen`.
    pub peer_listen: SocketAddr,
    /// Time limit for the reply of a peer.
    pub peer_timeout: Duration,
    /// Peers used until the instance list arrives; this instance's own address is removed.
    pub peers: Vec<SocketAddr>,
    /// Seed of the random choices; a random one is drawn at start when absent.
    pub seed: Option<u64>,
    /// UDP address that metrics are sent to; no metrics are sent when absent.
    pub statsd: Option<SocketAddr>,
    /// Address of the platform's store; without it the configuration comes from peers.
    pub store: Option<SocketAddr>,
    /// Number of connections kept open per upstream.
    pub upstream_connections: usize,
}

impl EntrySettings {
    /// Reads and checks the settings. A flag takes precedence over its environment variable, which takes precedence
    /// over the default; `env` looks up a variable.
    ///
    /// # Errors
    ///
    /// Fails on the first setting that is missing or not allowed, and on settings that contradict each other.
    pub fn from_flags(flags: &Flags, env: impl Fn(&str) -> Option<String>) -> Result<Self, SettingError> {
        let read = Reader { env, flags };
        let mut settings = Self {
            advertise: read.remote("advertise")?,
            connect_timeout: read.millis("connect_timeout_ms")?,
            data_centre: read.id("data_centre")?.into(),
            drain_linger: read.millis("drain_linger_ms")?,
            drain_timeout: read.millis("drain_timeout_ms")?,
            idle_timeout: read.millis("idle_timeout_ms")?,
            instance: read.id("instance")?.into(),
            list: read.remote("list")?,
            listen: read.listen("listen")?,
            log_level: read.log_level("log_level")?,
            memory_mb: read.size("memory_mb")?,
            max_body_bytes: read.size("max_body_bytes")?,
            max_connections: read.size("max_connections")?,
            max_descriptors: read.size("max_descriptors")?,
            max_header_bytes: read.size("max_header_bytes")?,
            max_result_bytes: read.size("max_result_bytes")?,
            max_wait: read.millis("max_wait_ms")?,
            peer_listen: read.listen("peer_listen")?,
            peer_timeout: read.millis("peer_timeout_ms")?,
            peers: read.peers("peers")?,
            seed: Some(read.integer("seed")?).filter(|seed| *seed != 0),
            statsd: read.remote("statsd")?,
            store: read.remote("store")?,
            upstream_connections: read.size("upstream_connections")?,
        };
        settings.check()?;
        let advertised = settings.advertised(settings.peer_listen);
        settings.peers.retain(|peer| *peer != advertised);
        Ok(settings)
    }

    /// Address that peers connect to, given the address that the peer listener is bound to.
    #[must_use]
    pub fn advertised(&self, bound: SocketAddr) -> SocketAddr {
        self.advertise.unwrap_or(bound)
    }

    fn check(&self) -> Result<(), SettingError> {
        let (callers, peers) = (self.listen, self.peer_listen);
        let same_ip =
            callers.ip() == peers.ip() || callers.ip().is_unspecified() || peers.ip().is_unspecified();
        if same_ip && callers.port() == peers.port() && callers.port() != 0 {
            return Err(SettingError::invalid(
                "peer_listen",
                &peers.to_string(),
                format!("an address that differs from --listen ({callers})"),
            ));
        }
        if self.advertise.is_none() && peers.ip().is_unspecified() {
            return Err(SettingError::missing(
                "advertise",
                format!("a reachable address, because --peer-listen is {peers}"),
            ));
        }
        if self.drain_linger > self.drain_timeout {
            return Err(SettingError::invalid(
                "drain_linger_ms",
                &self.drain_linger.as_millis().to_string(),
                format!("at most --drain-timeout-ms ({})", self.drain_timeout.as_millis()),
            ));
        }
        Ok(())
    }
}

fn flag_name(name: &str) -> String {
    format!("--{}", name.replace('_', "-"))
}

fn variable_name(name: &str) -> String {
    format!("{ENV_PREFIX}{}", name.to_ascii_uppercase())
}

/// Reads settings by name from the flags and the environment.
struct Reader<'a, E> {
    env: E,
    flags: &'a Flags,
}

impl<E: Fn(&str) -> Option<String>> Reader<'_, E> {
    fn spec(name: &str) -> Option<&'static FlagSpec> {
        FLAGS.iter().find(|spec| spec.name == name)
    }

    fn allowed(name: &str) -> String {
        match Self::spec(name).map(|spec| spec.kind) {
            Some(FlagKind::Address) => "an IP address and port to listen on".into(),
            Some(FlagKind::Addresses) => {
                format!("at most {MAX_PEERS} different IP addresses and ports, separated by commas")
            }
            Some(FlagKind::Id) => "letters, digits, `-` and `_`, 1 to 64 characters".into(),
            Some(FlagKind::Integer { max, min }) => format!("a whole number from {min} to {max}"),
            Some(FlagKind::LogLevel) => "error, warn, info, debug or trace".into(),
            Some(FlagKind::OptionalAddress) => {
                "an IP address and a port other than 0, reachable from other machines".into()
            }
            None => "a setting known to this version".into(),
        }
    }

    fn invalid(name: &str, value: &str) -> SettingError {
        SettingError::invalid(name, value, Self::allowed(name))
    }

    fn text(&self, name: &str) -> Option<String> {
        if let Some(text) = self.flags.text(name) {
            return Some(text.trim().to_owned());
        }
        let given = (self.env)(&variable_name(name)).map(|text| text.trim().to_owned());
        let default = || Self::spec(name).and_then(|spec| spec.default).map(str::to_owned);
        given.filter(|text| !text.is_empty()).or_else(default)
    }

    fn parsed<T>(&self, name: &str, parse: impl FnOnce(&str) -> Option<T>) -> Result<T, SettingError> {
        let text = self.text(name).ok_or_else(|| SettingError::missing(name, Self::allowed(name)))?;
        parse(&text).ok_or_else(|| Self::invalid(name, &text))
    }

    fn id(&self, name: &str) -> Result<String, SettingError> {
        self.parsed(name, |text| is_valid_id(text).then(|| text.to_owned()))
    }

    fn integer(&self, name: &str) -> Result<u64, SettingError> {
        let Some(FlagKind::Integer { max, min }) = Self::spec(name).map(|spec| spec.kind) else {
            return Err(SettingError::missing(name, Self::allowed(name)));
        };
        // `u64::from_str` also accepts a leading plus sign, which is not allowed here.
        let is_number = |text: &str| text.bytes().all(|byte| byte.is_ascii_digit());
        self.parsed(name, |text| {
            let number = Some(text).filter(|text| is_number(text))?.parse().ok()?;
            (min..=max).contains(&number).then_some(number)
        })
    }

    fn size(&self, name: &str) -> Result<usize, SettingError> {
        let number = self.integer(name)?;
        usize::try_from(number).map_err(|_| Self::invalid(name, &number.to_string()))
    }

    fn millis(&self, name: &str) -> Result<Duration, SettingError> {
        self.integer(name).map(Duration::from_millis)
    }

    fn log_level(&self, name: &str) -> Result<LogLevel, SettingError> {
        self.parsed(name, |text| text.parse().ok())
    }

    fn listen(&self, name: &str) -> Result<SocketAddr, SettingError> {
        self.parsed(name, |text| {
            text.parse().ok().filter(|address: &SocketAddr| !address.ip().is_multicast())
        })
    }

    fn remote(&self, name: &str) -> Result<Option<SocketAddr>, SettingError> {
        match self.text(name) {
            None => Ok(None),
            Some(text) => remote_address(&text).map(Some).ok_or_else(|| Self::invalid(name, &text)),
        }
    }

    fn peers(&self, name: &str) -> Result<Vec<SocketAddr>, SettingError> {
        let text = self.text(name).unwrap_or_default();
        if text.is_empty() {
            return Ok(Vec::new());
        }
        let mut seen = FastSet::default();
        let mut peers = Vec::new();
        for part in text.split(',').map(str::trim) {
            let address = remote_address(part).filter(|address| seen.insert(*address));
            peers.push(address.ok_or_else(|| Self::invalid(name, part))?);
        }
        if peers.len() > MAX_PEERS { Err(Self::invalid(name, &text)) } else { Ok(peers) }
    }
}

/// Parses an address that can be connected to: no wildcard or multicast address, and no port 0.
fn remote_address(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    let usable = address.port() != 0 && !address.ip().is_unspecified() && !address.ip().is_multicast();
    usable.then_some(address)
}
