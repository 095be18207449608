//! The `check` command: files, exit codes and output.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::Output;

use serde_json::{Value, json};

/// Returns a configuration without findings.
fn config() -> Value {
    json!({
        "deployment": {
            "version": 7,
            "routes": [{
                "name": "r1", "host": "host.example", "prefix": "/", "repeat": "Once",
                "targets": [{"service": "s1", "weight": 1}], "stream": false, "resumable": false,
                "public": false, "timeout": {"secs": 2, "nanos": 0},
                "target": {"secs": 1, "nanos": 0}, "attempts": 1,
            }],
            "services": {"s1": {"health": "/health", "connections": 100, "cold_rate": 0.0,
                                "cold_time": {"secs": 0, "nanos": 0}, "engine": null}},
            "workspaces": [{"name": "w1", "keys": ["first-key"]}],
            "limits": {"head_bytes": 16384, "body_bytes": 4_194_304, "throughput": 0.0,
                       "idle": {"secs": 15, "nanos": 0}},
        },
        "evacuated": [],
    })
}

fn write(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the folder is writable");
    path
}

fn run(args: &[&str], files: &[&PathBuf]) -> Output {
    std::process::Command::new(env!("CARGO_BIN_EXE_hibiscusrail-ctl"))
        .args(args)
        .args(files)
        .stdin(std::process::Stdio::null())
        .output()
        .expect("the program starts")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn check_without_findings_is_done() {
    let path = write("sound.json", &config().to_string());
    let output = run(&["check", "--memory", "120"], &[&path]);
    assert_eq!(output.status.code(), Some(0));
    insta::assert_snapshot!(stdout(&output), @"findings: 0");
}

#[test]
fn check_with_findings_and_changes() {
    let before = write("in-force.json", &config().to_string());
    let mut document = config();
    document["deployment"]["workspaces"][0]["keys"] = json!([]);
    let path = write("findings.json", &document.to_string());
    let files = [&path, &PathBuf::from("--in-force"), &before];
    let output = run(&["check", "--memory", "12"], &files);
    assert_eq!(output.status.code(), Some(1));
    insta::assert_snapshot!(stdout(&output), @r"
    findings: 2
      workspace w1: it has no key, so it can't send requests to routes that are not public
      limits: the largest body of 4194304 bytes is above the 3960000 bytes that a host may hold for all bodies, so requests with such a body are refused
    changes from the version in force: 1
      removed key firs… of workspace w1
    ");
    let output = run(&["--json", "check"], &files[..1]);
    assert_eq!(output.status.code(), Some(1));
    let report: Value = serde_json::from_slice(&output.stdout).expect("it is JSON");
    assert_eq!(report["findings"][0]["kind"], "workspace_without_key");
    assert_eq!(report["changes"], Value::Null);
}

/// Answers one connection with a router's state; returns its address.
fn router(state: &Value) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback is up");
    let address = listener.local_addr().expect("the listener is bound");
    let body = state.to_string();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the program connects");
        let mut head = [0; 1_024];
        let length = stream.read(&mut head).expect("a request");
        assert!(head[..length].starts_with(b"GET /state?0,0 "));
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream
            .write_all((head + &body).as_bytes())
            .expect("the program reads");
    });
    address
}

/// Guards against findings that need the servers and are left out although a router tells them.
#[test]
fn check_against_router_knows_servers() {
    let server = json!({"service": "s1", "address": "127.0.0.1:1", "zone": "z1", "leaving": false,
                        "lapsed": false, "slots": 4, "cold": {"secs": 0, "nanos": 0},
                        "sequence": 1, "born": 1});
    let state = json!({"orders": [60, config()], "servers": [70, {"a": server}]});
    let mut document = config();
    document["deployment"]["routes"][0]["attempts"] = json!(2);
    document["evacuated"] = json!(["z2"]);
    let path = write("attempts.json", &document.to_string());
    let peer = PathBuf::from(router(&state).to_string());
    let output = run(&["check"], &[&path, &PathBuf::from("--peer"), &peer]);
    assert_eq!(output.status.code(), Some(1));
    insta::assert_snapshot!(stdout(&output), @r"
    findings: 2
      route r1: it allows 2 attempts, more than service s1 has servers (1), and a request is sent to each at most once
      evacuation of zone z2: no server is registered in the zone, so the order has no effect
    changes from the version in force: 2
      changed route r1: attempts 1 -> 2
      added evacuation of zone z2
    ");
}

/// Guards against exit codes that a script takes for findings or for success.
#[test]
fn check_unreadable_has_its_own_code() {
    let text = config().to_string();
    let cut = write("cut.json", &text[..text.len() / 2]);
    let sound = write("readable.json", &text);
    let missing = PathBuf::from("missing.json");
    let mut document = config();
    document["deployment"]["version"] = json!("7");
    let wrong = write("wrong.json", &document.to_string());
    let in_force = PathBuf::from("--in-force");
    let standard_input = PathBuf::from("-");
    let peer = PathBuf::from("--peer");
    let unused = TcpListener::bind("127.0.0.1:0").expect("loopback is up");
    let address = unused.local_addr().expect("the listener is bound");
    drop(unused);
    let address = PathBuf::from(address.to_string());
    let cases: [&[&PathBuf]; 8] = [
        &[&sound, &peer, &address],
        &[&sound, &in_force, &sound, &peer, &address],
        &[&cut],
        &[&missing],
        &[&standard_input],
        &[],
        &[&sound, &in_force, &cut],
        &[&sound, &in_force, &wrong],
    ];
    for files in cases {
        let output = run(&["check"], files);
        assert_eq!(output.status.code(), Some(2), "{files:?}");
        assert_eq!(stdout(&output), "", "{files:?}");
    }
}
