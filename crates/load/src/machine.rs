//! The machine that an experiment runs on.

use hibiscusrail_macros::record;
use serde::Serialize;

/// Size of the machine.
#[record]
#[derive(Serialize)]
pub struct Machine {
    /// Processors that this program may use.
    pub cores: usize,
    /// Memory in mebibytes; zero where it is not known.
    pub memory_mib: u64,
}

impl Machine {
    /// Looks at this machine.
    #[must_use]
    pub fn this() -> Self {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let info = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let kib = field(&info, "MemTotal:").unwrap_or(0);
        Self {
            cores,
            memory_mib: kib / 1024,
        }
    }
}

/// Processor time and memory that a process has used.
#[record]
#[derive(Serialize, Default, Copy)]
pub struct ProcessUse {
    /// Processor time in seconds.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub resident: u64,
}

/// Clock ticks per second in `/proc`, the same on every Linux machine.
const TICKS: f64 = 100.0;
/// Fields of `/proc/PID/stat` after the name: user and system time.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

impl ProcessUse {
    /// Looks at a process; zero when it is gone.
    #[must_use]
    pub fn of(pid: u32) -> Self {
        let read = |file: &str| std::fs::read_to_string(format!("/proc/{pid}/{file}"));
        let stat = read("stat").unwrap_or_default();
        let fields: Vec<&str> = stat
            .rsplit_once(") ")
            .map_or_else(Vec::new, |(_, rest)| rest.split(' ').collect());
        let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok());
        let status = read("status").unwrap_or_default();
        Self {
            cpu_s: (ticks(USER_TIME).unwrap_or(0.0) + ticks(SYSTEM_TIME).unwrap_or(0.0)) / TICKS,
            resident: field(&status, "VmRSS:").unwrap_or(0) * 1024,
        }
    }
}

/// Returns the first number after `name`.
fn field(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find_map(|l| l.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}
