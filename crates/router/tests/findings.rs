//! Findings of the configuration in force, in the log.

use std::sync::Mutex;

use hibiscusrail_core::configuration::{Configuration, Object, Service, ServiceKind, Version};
use hibiscusrail_router::findings::FindingLog;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Records the places of findings in the log.
struct Recorder;

impl log::Log for Recorder {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        assert_eq!(record.args().to_string(), "config_finding");
        let place = record.key_values().get("place".into());
        let place = place.expect("the key is there").to_string();
        LINES.lock().expect("no test panicked").push(place);
    }

    fn flush(&self) {}
}

fn service(name: &str) -> Object {
    Object::Service(Service {
        name: name.to_owned(),
        kind: ServiceKind::Plain,
        prompt_weight: 1.0,
        output_weight: 0.0,
    })
}

/// Guards against findings that are logged again with each ticket, or only at the start.
#[test]
fn update_logs_each_finding_once() {
    log::set_logger(&Recorder).expect("no other logger is set");
    log::set_max_level(log::LevelFilter::Warn);
    let mut config = Configuration::new();
    let mut log = FindingLog::default();
    let mut expected = Vec::new();
    for (number, name) in [(1, "s1"), (2, "s2"), (3, "s1")] {
        config.apply(Version(number), service(name));
        log.update(&config);
        log.update(&config);
        if number < 3 {
            expected.push(format!("service {name}"));
        }
        assert_eq!(*LINES.lock().expect("no test panicked"), expected);
    }
}
