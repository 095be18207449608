//! `hibiscusrail-standin`: starts one stand-in.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use hibiscusrail_net::server::Handler;
use hibiscusrail_net::{Limits, bind, logs, serve};
use hibiscusrail_standin::engine::{Engine, EngineSpec};
use hibiscusrail_standin::http_util::handler;
use hibiscusrail_standin::plain::Plain;
use hibiscusrail_standin::platform::Platform;

mod flags {
    #![allow(missing_docs, clippy::all, clippy::pedantic)]
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Stand-ins for the platform, model engines and plain services.
        cmd hibiscusrail-standin {
            /// Address to listen at.
            required --listen address: SocketAddr
            /// The platform's table and host list.
            cmd platform {}
            /// A model engine.
            cmd engine {
                /// Requests borne when cold.
                optional --cold count: u32
                /// Requests borne when warm.
                optional --warm count: u32
                /// Milliseconds of one step.
                optional --step-ms ms: u64
            }
            /// A plain service.
            cmd plain {
                /// Milliseconds of one call.
                optional --delay-ms ms: u64
                /// Requests borne at the same time.
                optional --limit count: u32
            }
        }
    }
}

use flags::{HibiscusrailStandin, HibiscusrailStandinCmd as Cmd};

/// Time of one call at the plain service in milliseconds.
const PLAIN_DELAY_MS: u64 = 5;
/// Time of one engine step in milliseconds.
const STEP_MS: u64 = 10;
/// Requests borne by a cold and a warm engine, and by a plain service.
const COLD: u32 = 4;
const WARM: u32 = 32;
const PLAIN_LIMIT: u32 = 64;

fn main() -> ExitCode {
    let flags = HibiscusrailStandin::from_env_or_exit();
    let result = logs::init("info").and_then(|()| run(&flags));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hibiscusrail-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: &HibiscusrailStandin) -> Result<(), String> {
    let runtime = compio::runtime::Runtime::new().map_err(|e| format!("event loop: {e}"))?;
    runtime.block_on(async {
        let handler = make(&flags.subcommand);
        listen(flags.listen, handler).await
    })
}

fn make(kind: &Cmd) -> Handler {
    match kind {
        Cmd::Platform(_) => handler(&Rc::new(Platform::default())),
        Cmd::Engine(e) => {
            let spec = EngineSpec::new(e.cold.unwrap_or(COLD), e.warm.unwrap_or(WARM))
                .with_step(Duration::from_millis(e.step_ms.unwrap_or(STEP_MS)));
            let engine = Rc::new(Engine::new(spec));
            compio::runtime::spawn(Rc::clone(&engine).generate()).detach();
            handler(&engine)
        }
        Cmd::Plain(p) => handler(&Rc::new(Plain::new(
            Duration::from_millis(p.delay_ms.unwrap_or(PLAIN_DELAY_MS)),
            p.limit.unwrap_or(PLAIN_LIMIT),
        ))),
    }
}

async fn listen(address: SocketAddr, handler: Handler) -> Result<(), String> {
    let listener = bind(address).map_err(|e| format!("opening {address}: {e}"))?;
    serve(listener, Limits::new(), handler).await;
    Ok(())
}
