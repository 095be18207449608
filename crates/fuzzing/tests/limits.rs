//! Requests at a server never exceed its limit, and slots do not stay free.

use std::time::Duration;

use hibiscusrail_core::Params;
use hibiscusrail_core::membership::MemberState;
use hibiscusrail_fuzzing::Fleet;
use hibiscusrail_fuzzing::fleet::{Faults, Layout};
use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use rand::Rng;

/// Requests that wait at each router at least, for each workspace.
const DEPTH: usize = 4;
/// Time after which everyone has heard that a router is dead.
const SUSPICION: Duration = Duration::from_secs(2);

/// Something that goes wrong.
#[derive(Debug, Clone)]
enum Fault {
    Crash(usize),
    Restart(usize),
    Pause(usize, u64),
    Dead(usize, usize),
    Alive(usize, usize),
    Chill(usize),
    Reboot(usize),
    Calm,
    Rough,
}

const ROUTERS: usize = 4;
const SERVERS: usize = 2;

fn faults() -> impl Strategy<Value = Vec<(Fault, u64)>> {
    let node = 0..ROUTERS;
    let pair = (0..ROUTERS, 0..ROUTERS);
    let fault = prop_oneof![
        node.clone().prop_map(Fault::Crash),
        node.clone().prop_map(Fault::Restart),
        (node, 200_u64..4_000).prop_map(|(n, ms)| Fault::Pause(n, ms)),
        pair.clone().prop_map(|(a, b)| Fault::Dead(a, b)),
        pair.prop_map(|(a, b)| Fault::Alive(a, b)),
        (0..SERVERS).prop_map(Fault::Chill),
        (0..SERVERS).prop_map(Fault::Reboot),
        Just(Fault::Calm),
        Just(Fault::Rough),
    ];
    proptest::collection::vec((fault, 50_u64..2_500), 1..12)
}

/// Keeps every queue filled for `ms` milliseconds.
fn load(fleet: &mut Fleet, ms: u64) {
    let end = fleet.now() + Duration::from_millis(ms);
    while fleet.now() < end {
        for node in 0..ROUTERS {
            for workspace in 0..2 {
                fleet.top_up(node, workspace, DEPTH, |rng| {
                    Duration::from_millis(rng.random_range(20..900))
                });
            }
        }
        fleet.step();
    }
}

fn apply(fleet: &mut Fleet, fault: &Fault) {
    match *fault {
        Fault::Crash(n) => {
            fleet.crash(n);
            load(fleet, 2_000);
            fleet.all_see(n, MemberState::Dead);
        }
        Fault::Restart(n) => {
            fleet.restart(n);
            fleet.all_see(n, MemberState::Alive);
        }
        Fault::Pause(n, ms) => {
            let pause = Duration::from_millis(ms);
            fleet.pause(n, pause);
            if pause > SUSPICION {
                load(fleet, 2_000);
                fleet.all_see(n, MemberState::Dead);
                load(fleet, ms - 2_000 + 50);
                fleet.all_see(n, MemberState::Alive);
            }
        }
        Fault::Dead(a, b) if a != b => fleet.see(a, b, MemberState::Dead),
        Fault::Alive(a, b) if a != b => fleet.see(a, b, MemberState::Alive),
        Fault::Dead(..) | Fault::Alive(..) => {}
        Fault::Chill(s) => {
            let id = fleet.layout().servers().nth(s).expect("the server exists");
            fleet.chill(id);
        }
        Fault::Reboot(s) => {
            let id = fleet.layout().servers().nth(s).expect("the server exists");
            fleet.reboot(id);
        }
        Fault::Calm => fleet.set_faults(Faults::none()),
        Fault::Rough => fleet.set_faults(Faults::rough()),
    }
}

fn fleet(seed: u64) -> Fleet {
    Fleet::new(Layout::new(ROUTERS, SERVERS), Params::new(), seed)
}

/// Cases of one run, unless `PROPTEST_CASES` says otherwise.
const CASES: u32 = 48;

fn config() -> ProptestConfig {
    let mut config = ProptestConfig::default();
    if std::env::var_os("PROPTEST_CASES").is_none() {
        config.cases = CASES;
    }
    let seeds = "proptest-regressions/limits.txt";
    config.failure_persistence = Some(Box::new(FileFailurePersistence::Direct(seeds)));
    config
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn limit_any_faults_is_kept(seed: u64, faults in faults()) {
        let mut fleet = fleet(seed);
        load(&mut fleet, 1_000);
        for (fault, ms) in &faults {
            apply(&mut fleet, fault);
            load(&mut fleet, *ms);
            prop_assert_eq!(fleet.violations(), &[], "after {:?}", fault);
        }
    }
}

#[test]
fn slots_no_faults_are_used() {
    let mut fleet = fleet(1);
    load(&mut fleet, 10_000);
    let mut used = 0;
    let mut whole = 0;
    for _ in 0..1_000 {
        load(&mut fleet, 5);
        for server in fleet.servers.values() {
            used += server.running();
            whole += server.max;
        }
    }
    assert!(
        f64::from(used) >= 0.97 * f64::from(whole),
        "{used} of {whole} slot steps were used"
    );
    assert_eq!(fleet.violations(), &[]);
}
