//! Settings of `hibiscusrail-front`, the router daemon for fleets that share engines.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hibiscusrail_fleet::Params;
use hibiscusrail_fleet::model::Learn;
use hibiscusrail_fleet::retry::RetryBound;
use hibiscusrail_fleet::rollout::order::Bounds;
use hibiscusrail_macros::record;

use crate::reader::{Reader, SettingErrors};
use crate::value::LogLevel;

/// Section with the router's identity and addresses.
const FRONT: &str = "front";
/// Section with the store's address and timing.
const STORE: &str = "store";
/// Section with the deployment's limits on retries, cold servers and quotas.
const BOUNDS: &str = "bounds";
/// Section with the bounds on rollouts; without it, all versions are served alike.
const ROLLOUT: &str = "rollout";
/// Section with the engines' reporting and speed.
const ENGINES: &str = "engines";

/// Settings of one router.
#[record]
pub struct FrontSettings {
    /// Name of the router, unique in the deployment.
    pub name: String,
    /// Address that callers connect to.
    pub listen: SocketAddr,
    /// Address of the readiness endpoint.
    pub ready_listen: SocketAddr,
    /// Address to which other routers send datagrams and, over TCP, state requests.
    pub peer_listen: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics_listen: SocketAddr,
    /// Log level.
    pub log_level: String,
    /// Maximum number of log lines per second.
    pub max_log_rate: u32,
    /// Longest time from a stop signal to the end of the process.
    pub stop_timeout: Duration,
    /// Maximum number of open file descriptors of the process.
    pub max_open_files: u32,
    /// Memory of the host in megabytes, against which what is held for callers and servers counts.
    pub memory_mb: u32,
    /// Address of the store.
    pub store: SocketAddr,
    /// Parameters of the fleet's scheduling decisions.
    pub params: Params,
}

/// Fraction of the file descriptors available to callers' connections; the rest is
/// for servers, routers, the store and files.
const CALLER_FD_FRACTION: f64 = 0.8;

/// Memory of the host for each connection from a caller, which bounds their number: the buffers of one
/// that has sent little. Hosts of 120 MB with 10,250 descriptors stay below the bound.
const CONNECTION_BYTES: usize = 14 << 10;

/// Default of the host's memory in megabytes, which no router reaches.
const DEFAULT_MEMORY_MB: u32 = 1_000_000;
/// Bytes in a megabyte.
const MEGABYTE: usize = 1_000_000;
/// Part of the host's memory for bodies and parts of streams, in percent. The rest is for the
/// process at rest, its connections with their buffers, and what the allocator keeps.
const BUDGET_PERCENT: usize = 33;

/// Returns how many bytes a host with this memory, in megabytes, holds for bodies and parts of
/// streams.
#[must_use]
pub fn memory_budget(memory_mb: u32) -> usize {
    bytes(memory_mb) / 100 * BUDGET_PERCENT
}

fn bytes(megabytes: u32) -> usize {
    usize::try_from(megabytes)
        .unwrap_or(usize::MAX)
        .saturating_mul(MEGABYTE)
}

impl FrontSettings {
    /// Returns the maximum number of open connections from callers.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn max_caller_connections(&self) -> usize {
        let by_files = (f64::from(self.max_open_files) * CALLER_FD_FRACTION) as usize;
        by_files.min(self.memory_bytes() / CONNECTION_BYTES)
    }

    /// Returns the memory of the host in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        bytes(self.memory_mb)
    }

    /// Returns how many bytes are held for bodies and parts of streams.
    #[must_use]
    pub fn memory_budget(&self) -> usize {
        memory_budget(self.memory_mb)
    }

    /// Loads and checks the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns every error found in the file.
    pub fn load(path: &Path) -> Result<Self, SettingErrors> {
        Self::read(Reader::load(path)?)
    }

    /// Checks settings given as text; `file` names them in errors.
    ///
    /// # Errors
    ///
    /// Returns every error found in the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingErrors> {
        Self::read(Reader::parse(file, text)?)
    }

    fn read(mut r: Reader) -> Result<Self, SettingErrors> {
        let settings = read_settings(&mut r);
        r.finish()?;
        // A value is missing only if the reader recorded an error, which `finish` returned.
        settings.ok_or_else(|| SettingErrors(Vec::new()))
    }
}

fn read_settings(r: &mut Reader) -> Option<FrontSettings> {
    let name = r.required::<String>(FRONT, "name");
    let listen = r.required(FRONT, "listen");
    let ready_listen = r.required(FRONT, "ready_listen");
    let peer_listen = r.required(FRONT, "peer_listen");
    let metrics_listen = r.required(FRONT, "metrics_listen");
    let log_level = r.optional(FRONT, "log_level", LogLevel("info".to_owned()));
    let max_log_rate = r.optional(FRONT, "log_rate", 200);
    let stop_timeout = r.optional(FRONT, "grace", Duration::from_secs(8));
    let max_open_files = r.optional(FRONT, "descriptors", 2_500);
    let memory_mb = r.optional(FRONT, "memory", DEFAULT_MEMORY_MB);
    let store = r.required(STORE, "address");
    let params = read_params(r);
    Some(FrontSettings {
        name: name?,
        listen: listen?,
        ready_listen: ready_listen?,
        peer_listen: peer_listen?,
        metrics_listen: metrics_listen?,
        log_level: log_level.0,
        max_log_rate,
        stop_timeout,
        max_open_files,
        memory_mb,
        store: store?,
        params: params?,
    })
}

/// Reads the bounds on rollouts; none without the section.
fn read_rollout(r: &mut Reader) -> Option<Bounds> {
    if !r.sections(ROLLOUT).iter().any(|s| s == ROLLOUT) {
        return None;
    }
    let share = r.required(ROLLOUT, "share");
    let slack = r.required(ROLLOUT, "slack");
    let rollback = r.required(ROLLOUT, "rollback");
    let max_skew = r.required(ROLLOUT, "max_skew");
    Some(Bounds {
        share: share?,
        slack: slack?,
        rollback: rollback?,
        max_skew: max_skew?,
    })
}

fn read_params(r: &mut Reader) -> Option<Params> {
    let zone = r.required::<String>(FRONT, "zone");
    let ratio = r.optional(BOUNDS, "retry_ratio", 0.2);
    let constant = r.optional(BOUNDS, "retry_constant", 50.0);
    let window = r.optional(BOUNDS, "retry_window", Duration::from_secs(10));
    let rollout = read_rollout(r);
    Some(Params {
        zone: zone?,
        cold_factor: r.optional(BOUNDS, "cold_factor", 1.5),
        cold_slack: r.optional(BOUNDS, "cold_slack", 5.0),
        drain_bound: r.optional(BOUNDS, "drain", Duration::from_secs(2)),
        config_bound: r.optional(BOUNDS, "config", Duration::from_secs(2)),
        quota_window: r.optional(BOUNDS, "quota_window", Duration::from_secs(4)),
        retries: RetryBound {
            ratio,
            constant,
            window,
        },
        rollout,
        report_period: r.optional(ENGINES, "report_period", Duration::from_millis(100)),
        report_ttl: r.optional(ENGINES, "report_life", Duration::from_millis(1_500)),
        read_rate: r.optional(ENGINES, "read_rate", 55.0),
        step_time: r.optional(ENGINES, "step_time", Duration::from_micros(2_900)),
        step_each: r.optional(ENGINES, "step_each", Duration::from_micros(100)),
        learn: r.optional(ENGINES, "learn", Learn::Auto),
        restart_time: r.optional(ENGINES, "restart_time", Duration::from_millis(250)),
        routers: r.optional::<u32>(ENGINES, "routers", 8) as usize,
        check_in: r.optional(ENGINES, "check_in", Duration::from_millis(1_200)),
        lapse_grace: r.optional(STORE, "lapse_grace", Duration::from_millis(2_500)),
        store_ttl: r.optional(STORE, "watch_life", Duration::from_millis(1_500)),
        store_silence: r.optional(STORE, "silence", Duration::from_millis(1_000)),
    })
}
