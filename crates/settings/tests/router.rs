//! Parsing of the router daemon's settings; all errors are reported at once.

use std::path::{Path, PathBuf};

use hibiscusrail_core::Params;
use hibiscusrail_settings::RouterSettings;

/// All required settings and nothing else.
const MINIMAL: &str = "\
[router]
name = router-1
zone = zone-a
listen = 10.0.1.1:8080
peer_listen = 10.0.1.1:7946
admin_listen = 10.0.1.1:9090
fleet_secret = /run/secrets/fleet
admin_token = /run/secrets/admin

[platform]
address = 10.0.9.9:443
";

/// Returns the errors for the minimal settings followed by `extra`.
fn errors(extra: &str) -> String {
    let text = format!("{MINIMAL}\n{extra}");
    RouterSettings::parse("router.ini", &text)
        .expect_err("invalid settings")
        .to_string()
}

#[test]
fn parse_minimal_uses_defaults() {
    let settings = RouterSettings::parse("router.ini", MINIMAL).expect("valid settings");
    assert_eq!(settings.params, Params::new());
    assert_eq!(settings.log_level, "info");
    assert!(settings.peers.is_empty());
}

#[test]
fn parse_empty_names_every_missing_key() {
    let errors =
        RouterSettings::parse("router.ini", "").expect_err("all required keys are missing");
    insta::assert_snapshot!(errors);
}

#[test]
fn parse_wrong_values_names_each() {
    insta::assert_snapshot!(errors(
        "\
[limits]
body = 3
body_time = 10
headers = 0
head = 1MiB
deadline = 0s

[policy]
policy = fair
period = fast
first_cost = -1
max_attempts = many
"
    ));
}

#[test]
fn parse_unknown_names_sections_and_keys() {
    insta::assert_snapshot!(errors(
        "\
stray = 1

[limits]
bodies = 3MiB

[limit]
body = 3MiB
"
    ));
}

#[test]
fn parse_twice_names_sections_and_keys() {
    insta::assert_snapshot!(errors(
        "\
[limits]
body = 3MiB
body = 4MiB

[peer router-2]
zone = zone-b
address = 10.0.2.1:7946

[peer router-2]
zone = zone-c
address = 10.0.3.1:7946
"
    ));
}

#[test]
fn parse_equal_names_and_addresses_are_rejected() {
    insta::assert_snapshot!(errors(
        "\
[peer router-1]
zone = zone-b
address = 10.0.1.1:7946

[peer router-3]
zone = zone-b
address = 0.0.0.0:7946

[peer router-4]
zone = zone-b
address = 10.0.2.4:7946

[peer router-5]
zone = zone-b
address = 10.0.2.4:7946
"
    ));
}

#[test]
fn parse_conflicts_between_values_are_rejected() {
    insta::assert_snapshot!(errors(
        "\
[limits]
body = 2MiB
held = 1MiB
deadline = 20m

[policy]
period = 50ms
grant_life = 80ms
"
    ));
}

#[test]
fn parse_not_ini_is_rejected() {
    let errors = RouterSettings::parse("router.ini", "[router\nname").expect_err("not valid INI");
    insta::assert_snapshot!(errors);
}

#[test]
fn load_missing_file_names_it() {
    let errors =
        RouterSettings::load(Path::new("missing.ini")).expect_err("the file does not exist");
    assert!(errors.to_string().starts_with("missing.ini: "), "{errors}");
}

/// Every policy parameter has a setting of the same name, listed in the operators' manual.
#[test]
fn parse_policy_knows_every_parameter() {
    let params = format!("{:#?}", Params::new());
    let fields = params.lines().filter_map(|l| l.strip_prefix("    "));
    for name in fields.filter_map(|l| l.split_once(": ")).map(|(n, _)| n) {
        if name.starts_with(' ') {
            continue;
        }
        let errors = errors(&format!("[policy]\n{name} = ?\n"));
        assert!(!errors.contains("a known key"), "{errors}");
        let docs = include_str!("../../../docs/OPERATIONS.md");
        assert!(
            docs.contains(&format!("`{name}`")),
            "{name} is missing in the manual"
        );
    }
}

fn examples() -> Vec<PathBuf> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../config");
    let files = std::fs::read_dir(dir).expect("the directory with example settings exists");
    files
        .map(|f| f.expect("a directory entry").path())
        .collect()
}

/// Each example is part of one deployment of seven routers in three zones.
#[test]
fn load_examples_are_valid() {
    let examples = examples();
    assert!(examples.len() >= 2);
    for path in examples {
        let settings = RouterSettings::load(&path).expect("valid example settings");
        let mut zones: Vec<_> = settings.peers.iter().map(|p| p.zone.clone()).collect();
        zones.push(settings.zone.clone());
        assert_eq!(zones.len(), 7, "{}", path.display());
        zones.sort();
        zones.dedup();
        assert_eq!(zones.len(), 3, "{}", path.display());
    }
}
