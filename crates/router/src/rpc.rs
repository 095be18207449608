//! JSON-RPC methods for operators.
//!
//! `jsonrpsee` requires `Send` methods, but the router is confined to one thread. A method thus
//! sends a command to a task on the event loop, which executes it and sends the result back.

use std::rc::Rc;
use std::time::Duration;

use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use hibiscusrail_admin::{
    DRAIN, DrainAnswer, DrainRequest, QueueStatus, STATUS, ServerStatus, Status,
};
use hibiscusrail_core::Router;
use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::{ErrorObject, ErrorObjectOwned, error::ErrorCode};

use crate::metrics::queue_lengths;
use crate::refusal::Code;
use crate::shell::Shell;

/// Capacity of the channel for a method's notifications; no method sends any.
const NOTIFICATION_CAPACITY: usize = 1;

/// A command to the router, with the channel for its result.
enum Command {
    Status(oneshot::Sender<Status>),
    Drain(DrainRequest, oneshot::Sender<DrainAnswer>),
}

/// The JSON-RPC methods that operators can call.
#[derive(Debug)]
pub struct RpcMethods {
    module: RpcModule<mpsc::UnboundedSender<Command>>,
}

impl RpcMethods {
    /// Registers the methods and starts the task that executes their commands.
    ///
    /// # Panics
    ///
    /// Panics if two methods have the same name; all names are constants.
    #[must_use]
    pub fn new(shell: &Rc<Shell>) -> Self {
        let (sender, receiver) = mpsc::unbounded();
        compio::runtime::spawn(run_commands(Rc::clone(shell), receiver)).detach();
        let mut module = RpcModule::new(sender);
        module
            .register_async_method(STATUS, |_, commands, _| async move {
                execute(&commands, Command::Status).await
            })
            .expect("method names are distinct");
        module
            .register_async_method(DRAIN, |params, commands, _| async move {
                let request: DrainRequest = params.parse()?;
                execute(&commands, |reply| Command::Drain(request, reply)).await
            })
            .expect("method names are distinct");
        Self { module }
    }

    /// Executes one call and returns the response; `None` if it is not JSON-RPC.
    pub async fn call(&self, call: &[u8]) -> Option<String> {
        let call = std::str::from_utf8(call).ok()?;
        let (response, _) = self
            .module
            .raw_json_request(call, NOTIFICATION_CAPACITY)
            .await
            .ok()?;
        Some(response.get().to_owned())
    }
}

/// Sends a command to the event loop and waits for its result.
async fn execute<T>(
    commands: &mpsc::UnboundedSender<Command>,
    command: impl FnOnce(oneshot::Sender<T>) -> Command,
) -> Result<T, ErrorObjectOwned> {
    let (reply, result) = oneshot::channel();
    let dropped = |_| ErrorObject::from(ErrorCode::InternalError);
    commands
        .unbounded_send(command(reply))
        .map_err(|_| ErrorObject::from(ErrorCode::InternalError))?;
    result.await.map_err(dropped)
}

/// Executes commands on the event loop until the channel is closed.
async fn run_commands(shell: Rc<Shell>, mut commands: mpsc::UnboundedReceiver<Command>) {
    while let Some(command) = commands.next().await {
        // Sending fails only if the operator's connection was closed meanwhile.
        match command {
            Command::Status(reply) => drop(reply.send(status(&shell))),
            Command::Drain(request, reply) => drop(reply.send(drain(&shell, &request))),
        }
    }
}

fn status(shell: &Shell) -> Status {
    let settings = shell.settings();
    shell.with_router(|router| {
        let reason = router.readiness().err().map(|r| Code::from(r).name());
        Status {
            router: settings.name.clone(),
            zone: settings.zone.clone(),
            incarnation: router.incarnation().0,
            ready: reason.is_none(),
            reason: reason.map(str::to_owned),
            version: router.config().head().0,
            waiting: router.entry().total_waiting() as u64,
            running: u64::from(router.running()),
            servers: servers(router),
            queues: queue_status(router),
        }
    })
}

fn servers(router: &Router) -> Vec<ServerStatus> {
    let config = router.config();
    router
        .dispatcher()
        .servers()
        .filter_map(|(id, limit, used)| {
            let server = config.server(id)?;
            Some(ServerStatus {
                server: server.name.clone(),
                limit,
                used: used as u64,
                open: config.is_open(server),
            })
        })
        .collect()
}

fn queue_status(router: &Router) -> Vec<QueueStatus> {
    queue_lengths(router)
        .into_iter()
        .map(|q| QueueStatus {
            workspace: q.workspace,
            service: q.service,
            waiting: q.waiting as u64,
        })
        .collect()
}

fn drain(shell: &Rc<Shell>, request: &DrainRequest) -> DrainAnswer {
    let time_limit = request
        .patience_ms
        .map_or(shell.settings().drain_timeout, Duration::from_millis);
    shell.request_stop(time_limit);
    DrainAnswer {
        router: shell.settings().name.clone(),
        running: u64::from(shell.with_router(Router::running)),
        patience_ms: u64::try_from(time_limit.as_millis()).unwrap_or(u64::MAX),
    }
}
