//! Routers that start without a configuration in memory.

use std::path::Path;
use std::rc::Rc;

use hibiscusrail_core::configuration::exchange::NotReady;
use hibiscusrail_load::client::{CallerRequest, Ending, Operation, send};
use hibiscusrail_load::deployment::{Deployment, RouterSpec};
use hibiscusrail_load::fleet;
use hibiscusrail_router::secrets::Secrets;
use hibiscusrail_router::shell::Shell;
use hibiscusrail_router::start;
use hibiscusrail_settings::RouterSettings;
use hibiscusrail_standin::faults::Faults;
use hibiscusrail_standin::host::Service;

use crate::support::{TestFleet, run, wait_until};

/// Starts a router that the deployment's routers do not know.
fn start_new_router(deployment: &Deployment) -> (RouterSpec, Rc<Shell>) {
    let mut spec = deployment.routers[0].clone();
    "router-new".clone_into(&mut spec.name);
    for address in [&mut spec.listen, &mut spec.peer, &mut spec.admin] {
        address.set_port(address.port() + 5_000);
    }
    let text = fleet::settings(deployment, &spec, Path::new("/nowhere"));
    let settings = RouterSettings::parse("router-new", &text).expect("valid settings");
    let shell = start::start(settings, &Secrets::new(b"secret", b"token"));
    (spec, shell.expect("the router starts"))
}

fn lookup(deployment: &Deployment, router: &RouterSpec) -> CallerRequest {
    let operation = Operation::lookup(&deployment.plain_service, "record");
    CallerRequest::new(router.listen, "a", &deployment.workspaces[0], operation)
}

#[test]
fn restart_without_platform_learns_from_peers() {
    run(async {
        let fleet = TestFleet::new().await;
        fleet.platform.faults().set(Faults::default().with_down());
        let (spec, shell) = start_new_router(&fleet.deployment);
        wait_until(|| shell.with_router(|r| r.readiness().is_ok())).await;
        let ours = shell.with_router(|r| r.head().digest);
        let theirs = fleet.routers[0].with_router(|r| r.head().digest);
        assert_eq!(ours, theirs);
        let received = send(&lookup(&fleet.deployment, &spec)).await;
        assert_eq!(received.ending, Ending::Right, "{received:?}");
    });
}

#[test]
fn restart_without_platform_and_peers_refuses_as_not_run() {
    run(async {
        let deployment = Deployment::small();
        let (spec, shell) = start_new_router(&deployment);
        assert_eq!(
            shell.with_router(|r| r.not_ready()),
            Some(NotReady::NoSource)
        );
        let received = send(&lookup(&deployment, &spec)).await;
        assert_eq!(received.ending, Ending::NotRun, "{received:?}");
    });
}
