//! Exit codes and flags, which are a stable interface for scripts.

use hibiscusrail_ctl::flags::{HibiscusrailCtl, HibiscusrailCtlCmd};
use hibiscusrail_ctl::{Context, CtlError, Exit};

fn parse(args: &[&str]) -> Result<HibiscusrailCtl, String> {
    let args = args.iter().map(Into::into).collect();
    HibiscusrailCtl::from_vec(args).map_err(|e| e.to_string())
}

#[test]
fn code_matches_the_documented_table() {
    let docs = include_str!("../../../docs/OPERATIONS.md");
    for (exit, code, meaning) in [
        (Exit::Done, 0, "done"),
        (Exit::Failed, 1, "failed"),
        (Exit::Usage, 2, "wrong usage"),
        (Exit::Rejected, 3, "the ticket was rejected"),
        (Exit::NotFound, 4, "not found"),
        (Exit::Unknown, 5, "may or may not have taken effect"),
    ] {
        assert_eq!(exit.code(), code);
        assert!(docs.contains(&format!("| {code} | {meaning}")), "{exit:?}");
    }
}

#[test]
fn parse_drain_takes_patience() {
    let flags = parse(&["--router", "10.0.0.1:9090", "drain", "--patience", "2m"]);
    let flags = flags.expect("valid flags");
    let HibiscusrailCtlCmd::Drain(drain) = flags.subcommand else {
        panic!("not a drain command");
    };
    assert_eq!(drain.patience.as_deref(), Some("2m"));
}

#[test]
fn parse_host_name_as_address_is_rejected() {
    assert!(parse(&["--router", "host:9090", "status"]).is_err());
}

#[test]
fn context_without_router_or_token_is_usage_error() {
    let flags = parse(&["status"]).expect("valid flags");
    let context = Context::new(&flags).expect("no token file is read");
    let router = context.router().expect_err("no router is given");
    assert!(router.to_string().starts_with("--router: "));
    assert_eq!(router.exit(), Exit::Usage);
    let token = context.token().expect_err("no token file is given");
    assert_eq!(token.exit(), Exit::Usage);
}

#[test]
fn context_missing_token_file_is_named() {
    let flags = parse(&["--token-file", "missing", "status"]).expect("valid flags");
    let error = Context::new(&flags).expect_err("the file does not exist");
    assert!(matches!(error, CtlError::File { .. }));
    assert!(error.to_string().starts_with("reading missing: "));
}
