//! Operators' calls: JSON-RPC methods on the router.
//!
//! `jsonrpsee` wants its methods to be `Send`, the router lives on one thread.
//! A method therefore sends its question over a channel to a task on the loop,
//! which looks at the router and answers.

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

use crate::metrics::queues;
use crate::refusal::Code;
use crate::shell::Shell;

/// Buffer for a method's notifications; none of the methods sends any.
const NO_NOTIFICATIONS: usize = 1;

/// A question to the router, with the way back.
enum Question {
    Status(oneshot::Sender<Status>),
    Drain(DrainRequest, oneshot::Sender<DrainAnswer>),
}

/// The methods that operators can call.
#[derive(Debug)]
pub struct Calls {
    module: RpcModule<mpsc::UnboundedSender<Question>>,
}

impl Calls {
    /// Creates the methods and starts the task that answers them.
    ///
    /// # Panics
    ///
    /// When two methods have one name; the names stand in this module.
    #[must_use]
    pub fn new(shell: &Rc<Shell>) -> Self {
        let (sender, receiver) = mpsc::unbounded();
        compio::runtime::spawn(answer_questions(Rc::clone(shell), receiver)).detach();
        let mut module = RpcModule::new(sender);
        module
            .register_async_method(STATUS, |_, questions, _| async move {
                ask(&questions, Question::Status).await
            })
            .expect("method names are distinct");
        module
            .register_async_method(DRAIN, |params, questions, _| async move {
                let request: DrainRequest = params.parse()?;
                ask(&questions, |back| Question::Drain(request, back)).await
            })
            .expect("method names are distinct");
        Self { module }
    }

    /// Answers one call; none when it is not JSON-RPC.
    pub async fn answer(&self, call: &[u8]) -> Option<String> {
        let call = std::str::from_utf8(call).ok()?;
        let (answer, _) = self
            .module
            .raw_json_request(call, NO_NOTIFICATIONS)
            .await
            .ok()?;
        Some(answer.get().to_owned())
    }
}

async fn ask<T>(
    questions: &mpsc::UnboundedSender<Question>,
    question: impl FnOnce(oneshot::Sender<T>) -> Question,
) -> Result<T, ErrorObjectOwned> {
    let (back, answer) = oneshot::channel();
    let gone = |_| ErrorObject::from(ErrorCode::InternalError);
    questions
        .unbounded_send(question(back))
        .map_err(|_| ErrorObject::from(ErrorCode::InternalError))?;
    answer.await.map_err(gone)
}

async fn answer_questions(shell: Rc<Shell>, mut questions: mpsc::UnboundedReceiver<Question>) {
    while let Some(question) = questions.next().await {
        // An asker that went away needs no answer.
        match question {
            Question::Status(back) => drop(back.send(status(&shell))),
            Question::Drain(request, back) => drop(back.send(drain(&shell, &request))),
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
    queues(router)
        .into_iter()
        .map(|q| QueueStatus {
            workspace: q.workspace,
            service: q.service,
            waiting: q.waiting as u64,
        })
        .collect()
}

fn drain(shell: &Rc<Shell>, request: &DrainRequest) -> DrainAnswer {
    let patience = request
        .patience_ms
        .map_or(shell.settings().drain, Duration::from_millis);
    shell.ask_stop(patience);
    DrainAnswer {
        router: shell.settings().name.clone(),
        running: u64::from(shell.with_router(Router::running)),
        patience_ms: u64::try_from(patience.as_millis()).unwrap_or(u64::MAX),
    }
}
