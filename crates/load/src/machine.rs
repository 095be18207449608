//! The machine that an experiment runs on.

use hibiscusrail_macros::record;
use serde::Serialize;

/// Resources of a machine.
#[record]
#[derive(Serialize)]
pub struct Machine {
    /// Number of CPUs that this program may use.
    pub cores: usize,
    /// Memory in mebibytes; zero if it is unknown.
    pub memory_mib: u64,
}

impl Machine {
    /// Returns the resources of this machine.
    #[must_use]
    pub fn current() -> Self {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let info = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let kib = parse_field(&info, "MemTotal:").unwrap_or(0);
        Self {
            cores,
            memory_mib: kib / 1024,
        }
    }
}

/// CPU time and memory that a process has used.
#[record]
#[derive(Serialize, Default, Copy)]
pub struct ProcessUsage {
    /// CPU time in seconds.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub resident: u64,
}

/// Clock ticks per second in `/proc`, the same on every Linux machine.
const TICKS_PER_S: f64 = 100.0;
/// Index of the user time in `/proc/PID/stat`, counted from the field after the name.
const UTIME_FIELD: usize = 11;
/// Index of the system time, counted like [`UTIME_FIELD`].
const STIME_FIELD: usize = 12;

impl ProcessUsage {
    /// Reads the usage of a process; zero if it has ended.
    #[must_use]
    pub fn read(pid: u32) -> Self {
        let proc_file = |file: &str| std::fs::read_to_string(format!("/proc/{pid}/{file}"));
        let stat = proc_file("stat").unwrap_or_default();
        let fields: Vec<&str> = stat
            .rsplit_once(") ")
            .map_or_else(Vec::new, |(_, rest)| rest.split(' ').collect());
        let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok());
        let status = proc_file("status").unwrap_or_default();
        Self {
            cpu_s: (ticks(UTIME_FIELD).unwrap_or(0.0) + ticks(STIME_FIELD).unwrap_or(0.0))
                / TICKS_PER_S,
            resident: parse_field(&status, "VmRSS:").unwrap_or(0) * 1024,
        }
    }
}

/// Returns the number after `name` on the first line that begins with it.
fn parse_field(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find_map(|l| l.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}
