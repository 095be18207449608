//! A small deployment on one event loop, for end-to-end tests.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use hibiscusrail_load::client::{CallerRequest, CallerResult, Operation, send};
use hibiscusrail_load::deployment::Deployment;
use hibiscusrail_load::fleet;
use hibiscusrail_net::bind;
use hibiscusrail_router::secrets::Secrets;
use hibiscusrail_router::shell::Shell;
use hibiscusrail_router::start;
use hibiscusrail_settings::RouterSettings;
use hibiscusrail_standin::engine::{Engine, EngineSpec};
use hibiscusrail_standin::faults::Faults;
use hibiscusrail_standin::host::{self, Service};
use hibiscusrail_standin::plain::Plain;
use hibiscusrail_standin::platform::Platform;
use hibiscusrail_standin::runs::Run;

/// Interval at which [`wait_until`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of checks after which [`wait_until`] fails the test.
const MAX_POLLS: u32 = 3_000;

/// A running deployment: platform, servers and routers on the test's event loop.
pub struct TestFleet {
    /// Names, addresses and workspaces of the deployment.
    pub deployment: Deployment,
    pub platform: Rc<Platform>,
    /// The model engines, in the order of the deployment.
    pub engines: Vec<Rc<Engine>>,
    /// The plain services, in the order of the deployment.
    pub plains: Vec<Rc<Plain>>,
    /// The routers, in the order of the deployment.
    pub routers: Vec<Rc<Shell>>,
}

fn spawn_server<S: Service>(address: std::net::SocketAddr, service: &Rc<S>) {
    let listener = bind(address).expect("the loopback address is free");
    compio::runtime::spawn(host::serve(listener, Rc::clone(service))).detach();
}

impl TestFleet {
    /// Starts a small deployment and waits until its routers are ready.
    pub async fn new() -> Self {
        Self::with_settings("").await
    }

    /// Starts a small deployment whose routers have extra settings.
    pub async fn with_settings(extra: &str) -> Self {
        let deployment = Deployment::small();
        let platform = Rc::new(Platform::default());
        spawn_server(deployment.platform, &platform);
        let mut fleet = Self {
            deployment,
            platform,
            engines: Vec::new(),
            plains: Vec::new(),
            routers: Vec::new(),
        };
        fleet.start_servers();
        fleet::seed(&fleet.deployment)
            .await
            .expect("the seed is accepted");
        fleet.start_routers(extra);
        for shell in &fleet.routers {
            wait_until(|| shell.with_router(|r| r.readiness().is_ok())).await;
        }
        fleet
    }

    fn start_servers(&mut self) {
        for server in &self.deployment.servers {
            if server.is_model {
                let spec = EngineSpec::new(server.cold_limit, server.warm_limit)
                    .with_step(Duration::from_millis(2));
                let engine = Rc::new(Engine::new(spec));
                compio::runtime::spawn(Rc::clone(&engine).generate()).detach();
                spawn_server(server.address, &engine);
                self.engines.push(engine);
            } else {
                let plain = Rc::new(Plain::new(Duration::from_millis(1), server.warm_limit));
                spawn_server(server.address, &plain);
                self.plains.push(plain);
            }
        }
    }

    fn start_routers(&mut self, extra: &str) {
        for router in &self.deployment.routers {
            let text = fleet::settings(&self.deployment, router, Path::new("/nowhere"));
            let text = format!("{text}\n{extra}");
            let settings = RouterSettings::parse(&router.name, &text).expect("valid settings");
            let shell = start::start(settings, &Secrets::new(b"secret", b"token"))
                .expect("the router starts");
            self.routers.push(shell);
        }
    }

    /// Returns a request of the first workspace, to be sent to router `index`.
    pub fn request(&self, index: usize, id: &str, operation: Operation) -> CallerRequest {
        let workspace = &self.deployment.workspaces[0];
        let router = self.deployment.routers[index].listen;
        CallerRequest::new(router, id, workspace, operation).with_deadline(Duration::from_secs(20))
    }

    /// Returns a draft: a chat completion request whose answer has `tokens` tokens.
    pub fn draft(&self, text: &str, tokens: u64, stream: bool) -> Operation {
        Operation::Draft {
            service: self.deployment.model_service.clone(),
            prompt: hibiscusrail_standin::text::prompt(text, tokens),
            stream,
        }
    }

    /// Returns a call of the plain service.
    pub fn plain(&self, method: http::Method, path: &str) -> Operation {
        Operation::Plain {
            method,
            path: format!("/{}/{path}", self.deployment.plain_service),
        }
    }

    /// Sends a request of the first workspace to router `index`.
    pub async fn send(&self, index: usize, id: &str, operation: Operation) -> CallerResult {
        send(&self.request(index, id, operation)).await
    }
}

impl TestFleet {
    /// Sends a POST with the idempotency key `key` to router `index`.
    pub async fn post_keyed(&self, index: usize, id: &str, key: &str, path: &str) -> CallerResult {
        let operation = self.plain(http::Method::POST, path);
        let mut request = self.request(index, id, operation);
        request.idempotency_key = Some(key.to_owned());
        send(&request).await
    }

    pub fn set_plain_faults(&self, faults: &Faults) {
        for plain in &self.plains {
            plain.faults().set(faults.clone());
        }
    }

    pub fn set_engine_faults(&self, faults: &Faults) {
        for engine in &self.engines {
            engine.faults().set(faults.clone());
        }
    }

    pub fn plain_runs(&self) -> Vec<Run> {
        self.plains.iter().flat_map(|p| p.runs.all()).collect()
    }

    pub fn engine_runs(&self) -> Vec<Run> {
        self.engines.iter().flat_map(|e| e.runs.all()).collect()
    }
}

/// Waits until `done` returns true; fails the test after [`MAX_POLLS`] checks.
pub async fn wait_until(done: impl Fn() -> bool) {
    for _ in 0..MAX_POLLS {
        if done() {
            return;
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("the condition did not become true in time");
}

/// Runs a test on its own event loop.
pub fn run<F: Future<Output = ()>>(test: F) {
    compio::runtime::Runtime::new()
        .expect("the event loop starts")
        .block_on(test);
}

#[test]
fn unique_loopback_host_differs_each_time() {
    let hosts: Vec<_> = (0..300)
        .map(|_| hibiscusrail_load::deployment::unique_loopback_host())
        .collect();
    let distinct: std::collections::BTreeSet<_> = hosts.iter().collect();
    assert_eq!(distinct.len(), hosts.len());
}
