//! Findings of operator configurations and their differences.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hibiscusrail_check::{Finding, Known, Report, Reported, check, form};
use hibiscusrail_fleet::objects::{
    Deployment, Limits, OperatorConfig, Repeat, Route, Service, Target, Workspace,
};
use hibiscusrail_fleet::rollout::order::Order;
use insta::assert_snapshot;
use serde_json::{Value, json};

fn route(name: &str, service: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "host.example".to_owned(),
        prefix: format!("/{name}/"),
        targets: vec![target(service, 1)],
        repeat: Repeat::Idempotent,
        stream: false,
        resumable: false,
        public: false,
        timeout: Duration::from_secs(2),
        target: Duration::from_millis(500),
        attempts: 2,
        max_pause: None,
        rank: None,
    }
}

fn target(service: &str, weight: u32) -> Target {
    Target {
        service: service.to_owned(),
        weight,
    }
}

fn workspace(name: &str, key: &str) -> Workspace {
    Workspace {
        name: name.to_owned(),
        keys: vec![key.to_owned()],
        rank: None,
    }
}

/// Returns a configuration without findings.
fn config() -> OperatorConfig {
    let service = Service {
        health: "/health".to_owned(),
        connections: 100,
        cold_time: Duration::ZERO,
        cold_rate: 0.0,
        engine: None,
    };
    OperatorConfig {
        deployment: Some(Deployment {
            version: 7,
            routes: vec![route("r1", "s1"), route("r2", "s2")],
            services: ["s1", "s2"]
                .map(|name| (name.to_owned(), service.clone()))
                .into(),
            workspaces: vec![workspace("w1", "first-key"), workspace("w2", "second-key")],
            limits: Limits {
                head_bytes: 16 << 10,
                body_bytes: 4 << 20,
                idle: Duration::from_secs(15),
                throughput: 0.0,
                head_timeout: Some(Duration::from_secs(3)),
            },
        }),
        ..OperatorConfig::default()
    }
}

fn known<'a>() -> Known<'a> {
    let servers = ["s1", "s1", "s2", "s2"]
        .into_iter()
        .zip(["z1", "z2"].into_iter().cycle());
    Known::new().with_budget(40_000_000).with_servers(servers)
}

fn lines(findings: &[Finding]) -> String {
    let line = |f: &Finding| format!("{:?} {f}", f.kind);
    findings.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// Returns the findings of the configuration after a change of its deployment.
fn findings(change: impl FnOnce(&mut Deployment)) -> String {
    let mut config = config();
    change(config.deployment.as_mut().expect("it is there"));
    lines(&check(&config, &known()))
}

/// Guards against findings where there is nothing to find.
#[test]
fn check_sound_configuration_finds_nothing() {
    assert_eq!(findings(|_| {}), "");
    assert!(check(&OperatorConfig::default(), &known()).is_empty());
}

#[test]
fn check_same_host_and_prefix_is_shadowed() {
    assert_snapshot!(findings(|d| {
        d.routes[0].host = "HOST.example".to_owned();
        d.routes[0].prefix = "/r2/".to_owned();
    }), @r#"ShadowedRoute route r1: route r2, which follows it, has the same host "HOST.example" and prefix "/r2/" and gets all requests"#);
}

/// Guards against a finding about the route that is used: of equal ones the last is.
#[test]
fn check_shadowed_agrees_with_routing() {
    let mut config = config();
    let deployment = config.deployment.as_mut().expect("it is there");
    deployment.routes[0].prefix = "/r2/".to_owned();
    let used = deployment.route("host.example", "/r2/x");
    assert_eq!(used.expect("a route matches").name, "r2");
}

#[test]
fn check_longer_prefix_is_not_shadowed() {
    assert_eq!(findings(|d| d.routes[0].prefix = "/".to_owned()), "");
}

#[test]
fn check_host_with_port_is_unmatchable() {
    assert_snapshot!(findings(|d| d.routes[0].host = "host.example:80".to_owned()), @r#"UnmatchableRoute route r1: no request matches the host "host.example:80": hosts are compared without a port"#);
}

#[test]
fn check_prefix_without_slash_is_unmatchable() {
    assert_snapshot!(findings(|d| d.routes[0].prefix = "r1/".to_owned()), @r#"UnmatchableRoute route r1: no path begins with the prefix "r1/": it has to begin with a slash"#);
}

#[test]
fn check_route_without_target() {
    assert_snapshot!(findings(|d| d.routes[0].targets.clear()), @r"
    RouteWithoutTarget route r1: it has no service to which it could send a request, or only with weight 0
    ServiceWithoutRoute service s1: no route sends requests to it
    ");
}

#[test]
fn check_route_of_weight_zero_has_no_target() {
    assert_snapshot!(findings(|d| d.routes[0].targets[0].weight = 0), @r"
    RouteWithoutTarget route r1: it has no service to which it could send a request, or only with weight 0
    ServiceWithoutRoute service s1: no route sends requests to it
    ");
}

#[test]
fn check_route_of_unknown_service() {
    assert_snapshot!(findings(|d| d.routes[0].targets.push(target("s3", 0))), @"UnknownService route r1: its service s3 does not exist");
}

#[test]
fn check_service_without_route() {
    assert_snapshot!(findings(|d| drop(d.routes.pop())), @"ServiceWithoutRoute service s2: no route sends requests to it");
}

/// Guards against keys that are printed in full.
#[test]
fn check_key_of_two_workspaces_is_abbreviated() {
    assert_snapshot!(findings(|d| {
        d.workspaces[1].keys.push("first-key".to_owned());
        d.workspaces.push(workspace("w3", "abc"));
        d.workspaces.push(workspace("w4", "abc"));
    }), @r"
    SharedKey key firs… of workspace w2: workspace w1 holds the same key, and all requests with it count as its
    SharedKey key a… of workspace w4: workspace w3 holds the same key, and all requests with it count as its
    ");
}

/// Guards against a key that counts as shared because one workspace lists it twice.
#[test]
fn check_key_twice_in_one_workspace_is_not_shared() {
    assert_eq!(
        findings(|d| d.workspaces[0].keys.push("first-key".to_owned())),
        ""
    );
}

#[test]
fn check_workspace_without_key() {
    assert_snapshot!(findings(|d| d.workspaces[0].keys.clear()), @"WorkspaceWithoutKey workspace w1: it has no key, so it can't send requests to routes that are not public");
}

#[test]
fn check_timeout_below_target() {
    assert_snapshot!(findings(|d| d.routes[0].target = Duration::from_secs(3)), @"TimeoutBelowTarget route r1: its timeout of 2s is shorter than its target of 3s");
}

#[test]
fn check_more_attempts_than_servers() {
    assert_snapshot!(findings(|d| d.routes[0].attempts = 3), @"TooManyAttempts route r1: it allows 3 attempts, more than service s1 has servers (2), and a request is sent to each at most once");
}

#[test]
fn check_body_over_memory_budget() {
    assert_snapshot!(findings(|d| d.limits.body_bytes = 40_000_001), @"BodyOverBudget limits: the largest body of 40000001 bytes is above the 40000000 bytes that a host may hold for all bodies, so requests with such a body are refused");
}

#[test]
fn check_idle_below_timeouts_is_one_finding() {
    assert_snapshot!(findings(|d| d.limits.idle = Duration::from_secs(1)), @"IdleBelowTimeout limits: the idle timeout of 1s is shorter than timeouts of routes (2 of them); the longest is 2s, of route r2");
}

#[test]
fn check_head_timeout_of_zero() {
    assert_snapshot!(findings(|d| d.limits.head_timeout = Some(Duration::ZERO)), @"ZeroHeadTimeout limits: the timeout for a request's head is zero");
}

#[test]
fn check_idle_timeout_of_zero() {
    assert_snapshot!(findings(|d| {
        d.limits.idle = Duration::ZERO;
        for route in &mut d.routes {
            route.timeout = Duration::ZERO;
            route.target = Duration::ZERO;
        }
    }), @"ZeroHeadTimeout limits: the idle timeout, within which the next request's head has to arrive, is zero");
}

fn order(to: Option<&str>) -> Order {
    Order {
        version: 50,
        to: to.map(str::to_owned),
        duration: Duration::from_secs(12),
    }
}

#[test]
fn check_rollout_of_removed_service_is_lost() {
    let mut config = config();
    config.rollouts = [
        ("s1".to_owned(), order(Some("v2"))),
        ("s2".to_owned(), order(Some("v2"))),
        ("gone".to_owned(), order(Some("v2"))),
        ("ended".to_owned(), order(Some("v2"))),
        ("unreadable".to_owned(), order(None)),
    ]
    .into();
    let deployment = config.deployment.as_mut().expect("it is there");
    deployment.routes[1].targets[0].service = "s1".to_owned();
    assert_snapshot!(lines(&check(&config, &known().with_ended("ended"))), @r"
    ServiceWithoutRoute service s2: no route sends requests to it
    LostRollout rollout of service gone: the order for version v2 can't finish: the service does not exist
    LostRollout rollout of service s2: the order for version v2 can't finish: no route sends requests to the service
    ");
}

#[test]
fn check_evacuation_of_unknown_zone_is_lost() {
    let mut config = config();
    config.evacuated = ["z1", "z3"].map(str::to_owned).into();
    assert_snapshot!(lines(&check(&config, &known())), @"LostEvacuation evacuation of zone z3: no server is registered in the zone, so the order has no effect");
}

/// Guards against findings from facts that the program does not have.
#[test]
fn check_without_facts_leaves_their_checks_out() {
    let mut config = config();
    config.evacuated = ["z3".to_owned()].into();
    let deployment = config.deployment.as_mut().expect("it is there");
    deployment.routes[0].attempts = 9;
    deployment.limits.body_bytes = usize::MAX;
    assert_eq!(lines(&check(&config, &Known::new())), "");
}

fn report(config: &OperatorConfig, in_force: &OperatorConfig) -> Report {
    Report::new(Vec::new(), Some(config), Some(in_force), &Known::new())
}

#[test]
fn report_version_below_the_one_in_force() {
    let mut older = config();
    older.deployment.as_mut().expect("it is there").version = 6;
    assert_snapshot!(report(&older, &config()), @r"
    findings: 1
      configuration: version 6 is lower than version 7 in force, so routers ignore it
    changes from the version in force: 0
    ");
}

/// Returns a configuration that differs from [`config`] in each kind of object.
fn changed() -> OperatorConfig {
    let mut config = config();
    let deployment = config.deployment.as_mut().expect("it is there");
    deployment.version = 8;
    deployment.routes[0].timeout = Duration::from_millis(1_500);
    deployment.routes[0].targets = vec![target("s1", 9), target("s3", 1)];
    deployment.routes[1] = route("r3", "s3");
    let service = deployment.services.remove("s2").expect("it is there");
    deployment.services.insert("s3".to_owned(), service);
    let service = deployment.services.get_mut("s1").expect("it is there");
    service.cold_rate = 10.0;
    deployment.limits.body_bytes = 1 << 20;
    deployment.workspaces[0].rank = Some(1);
    deployment.workspaces[0].keys = vec!["other-key".to_owned()];
    deployment.workspaces[1] = workspace("w3", "third-key");
    config.rollouts = BTreeMap::from([("s1".to_owned(), order(Some("v2")))]);
    config.evacuated = ["z1".to_owned()].into();
    config
}

/// Guards against changes that are missed, and against keys that are printed in full.
#[test]
fn report_lists_every_kind_of_change() {
    assert_snapshot!(report(&changed(), &config()), @r#"
    findings: 0
    changes from the version in force: 16
      changed route r1: targets [{"service":"s1","weight":1}] -> [{"service":"s1","weight":9},{"service":"s3","weight":1}], timeout 2s -> 1.5s
      added route r3
      removed route r2
      changed service s1: cold_rate 0.0 -> 10.0
      added service s3
      removed service s2
      changed limits: body_bytes 4194304 -> 1048576
      changed workspace w1: rank none -> 1
      added workspace w3
      removed workspace w2
      added key othe… of workspace w1
      added key thir… of workspace w3
      removed key firs… of workspace w1
      removed key seco… of workspace w2
      added rollout of service s1
      added evacuation of zone z1
    "#);
}

#[test]
fn report_of_equal_configurations_has_no_change() {
    assert_eq!(report(&config(), &config()).changes, Some(Vec::new()));
}

#[test]
fn report_as_json() {
    let mut new = config();
    let deployment = new.deployment.as_mut().expect("it is there");
    deployment.routes[0].target = Duration::from_secs(3);
    let report = report(&new, &config());
    assert_snapshot!(serde_json::to_string(&report).expect("JSON"), @r#"{"findings":[{"kind":"timeout_below_target","place":"route r1","text":"its timeout of 2s is shorter than its target of 3s"}],"changes":[{"action":"changed","place":"route r1","fields":["target 500ms -> 3s"]}]}"#);
}

/// Returns the findings of the JSON form of a configuration after a change.
fn form_findings(change: impl FnOnce(&mut Value)) -> (String, bool) {
    let mut document = serde_json::to_value(changed()).expect("it serializes");
    change(&mut document);
    let (findings, config) = form::parse(document.to_string().as_bytes()).expect("it is JSON");
    (lines(&findings), config.is_some())
}

fn remove(object: &mut Value, name: &str) {
    object
        .as_object_mut()
        .and_then(|o| o.remove(name))
        .expect("it was there");
}

/// Guards against a list of fields that differs from the types.
#[test]
fn form_of_all_fields_finds_nothing() {
    assert_eq!(form_findings(|_| {}), (String::new(), true));
}

#[test]
fn form_missing_fields() {
    let (findings, decodes) = form_findings(|document| {
        remove(&mut document["deployment"]["routes"][1], "prefix");
        remove(&mut document["deployment"]["limits"], "idle");
        remove(&mut document["rollouts"]["s1"], "version");
    });
    assert_snapshot!(findings, @r"
    MissingField deployment.limits.idle: the field is missing
    MissingField deployment.routes[1].prefix: the field is missing
    MissingField rollouts.s1.version: the field is missing
    ");
    assert!(!decodes);
}

#[test]
fn form_unknown_fields() {
    let (findings, decodes) = form_findings(|document| {
        document["deployment"]["routes"][0]["time-out"] = json!(5);
        document["comment"] = json!("text");
    });
    assert_snapshot!(findings, @r"
    UnknownField comment: the field is unknown and has no effect
    UnknownField deployment.routes[0].time-out: the field is unknown and has no effect
    ");
    assert!(decodes);
}

/// Guards against keys that are printed because they stand at a wrong place.
#[test]
fn form_wrong_types_show_no_values() {
    let (findings, decodes) = form_findings(|document| {
        document["deployment"]["workspaces"][0]["keys"] = json!("first-key");
        document["deployment"]["routes"][0]["attempts"] = json!(-1);
        document["deployment"]["routes"][0]["repeat"] = json!("Never");
        document["deployment"]["routes"][1]["timeout"] = json!(5);
        document["deployment"]["services"]["s1"] = json!(null);
    });
    assert_snapshot!(findings, @r"
    WrongType deployment.routes[0].attempts: expected a whole number from 0 to 4294967295, found another number
    WrongType deployment.routes[0].repeat: expected one of Idempotent, Once, found another text
    WrongType deployment.routes[1].timeout: expected an object, found a number
    WrongType deployment.services.s1: expected an object, found null
    WrongType deployment.workspaces[0].keys: expected a list, found text
    ");
    assert!(!decodes);
}

#[test]
fn form_duplicate_field_is_found() {
    let text = serde_json::to_string(&config()).expect("JSON");
    let text = text.replacen("\"version\":7", "\"version\":7,\"version\":8", 1);
    let (findings, config) = form::parse(text.as_bytes()).expect("it is JSON");
    assert_snapshot!(lines(&findings), @"WrongType deployment.version: the field stands twice");
    assert!(config.is_none());
}

#[test]
fn form_cut_off_is_unreadable() {
    let text = serde_json::to_string(&config()).expect("JSON");
    assert!(form::parse(&text.as_bytes()[..text.len() / 2]).is_err());
}

/// Returns a configuration with findings of this many routes.
fn faulty(routes: usize) -> Vec<Finding> {
    let mut config = config();
    let deployment = config.deployment.as_mut().expect("it is there");
    for number in 0..routes {
        deployment.routes.push(route(&format!("x{number}"), "gone"));
    }
    check(&config, &Known::new())
}

/// Guards against a log that repeats a finding at each load, or loses one that came back.
#[test]
fn reported_selects_each_finding_once() {
    let mut reported = Reported::default();
    assert_eq!(reported.select(faulty(2)).len(), 2);
    assert_eq!(reported.select(faulty(2)).len(), 0);
    assert_eq!(reported.select(faulty(3)).len(), 1);
    assert_eq!(reported.select(Vec::new()).len(), 0);
    assert_eq!(reported.select(faulty(3)).len(), 3);
}

/// Guards against a configuration full of mistakes that fills the log.
#[test]
fn reported_bounds_the_lines_of_one_load() {
    let mut reported = Reported::default();
    let counts = [(); 4].map(|()| reported.select(faulty(120)).len());
    assert_eq!(counts, [50, 50, 20, 0]);
}

/// Guards against work that grows faster than the configuration: 32 times the routes and workspaces
/// may take at most 32 x 16 times as long.
#[test]
fn check_time_grows_with_the_size() {
    let time = |size: usize| {
        let mut config = config();
        let deployment = config.deployment.as_mut().expect("it is there");
        for number in 0..size {
            deployment.routes.push(route(&format!("x{number}"), "s1"));
            let (name, key) = (format!("w{number}"), format!("key-of-{number}"));
            deployment.workspaces.push(workspace(&name, &key));
        }
        let (known, text) = (known(), serde_json::to_vec(&config).expect("JSON"));
        let times = (0..5).map(|_| {
            let began = Instant::now();
            assert!(check(&config, &known).is_empty());
            began.elapsed()
        });
        let checks = times.min().expect("there are runs");
        let times = (0..5).map(|_| {
            let began = Instant::now();
            assert!(form::parse(&text).expect("it is JSON").0.is_empty());
            began.elapsed()
        });
        (checks, times.min().expect("there are runs"))
    };
    let (small, large) = (time(125), time(4_000));
    eprintln!("check and fields: {small:?} for 125 routes, {large:?} for 4,000");
    assert!(large.0 < small.0 * 32 * 16, "{small:?} and {large:?}");
    assert!(large.1 < small.1 * 32 * 16, "{small:?} and {large:?}");
}
