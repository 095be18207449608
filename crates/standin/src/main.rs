//! `hibiscusrail-standin`: starts one stand-in.

use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use hibiscusrail_net::{bind, logs};
use hibiscusrail_standin::engine::{Engine, EngineSpec, Overload};
use hibiscusrail_standin::host::serve;
use hibiscusrail_standin::plain::Plain;
use hibiscusrail_standin::platform::{Platform, PlatformSpec};
use hibiscusrail_standin::relay::Relay;

mod flags {
    #![allow(missing_docs, clippy::all, clippy::pedantic)]
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Stand-ins for the platform, model engines and plain services.
        cmd hibiscusrail-standin {
            /// Address to listen at.
            required --listen address: SocketAddr
            /// The platform's table and host list.
            cmd platform {
                /// Milliseconds of one operation.
                optional --latency-ms ms: u64
                /// Milliseconds by which the host list lags.
                optional --host-lag-ms ms: u64
            }
            /// A model engine.
            cmd engine {
                /// Requests borne when cold.
                optional --cold count: u32
                /// Requests borne when warm.
                optional --warm count: u32
                /// Milliseconds of one step.
                optional --step-ms ms: u64
                /// Microseconds to process one prompt token.
                optional --prefill-us us: u64
                /// Prompt tokens that the prefix cache holds.
                optional --cache-tokens count: usize
                /// Milliseconds by which load reports lag.
                optional --load-lag-ms ms: u64
                /// Refuse what is too much while cold, in place of falling over.
                optional --refuse
            }
            /// A relay between zones that can be cut.
            cmd relay {}
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
        let listener = bind(flags.listen).map_err(|e| format!("opening {}: {e}", flags.listen))?;
        match &flags.subcommand {
            Cmd::Platform(p) => serve(listener, Rc::new(Platform::new(platform(p)))).await,
            Cmd::Engine(e) => {
                let engine = Rc::new(Engine::new(engine(e)));
                compio::runtime::spawn(Rc::clone(&engine).generate()).detach();
                serve(listener, engine).await;
            }
            Cmd::Relay(_) => serve(listener, Rc::new(Rc::new(Relay::new()))).await,
            Cmd::Plain(p) => {
                let delay = Duration::from_millis(p.delay_ms.unwrap_or(PLAIN_DELAY_MS));
                let plain = Plain::new(delay, p.limit.unwrap_or(PLAIN_LIMIT));
                serve(listener, Rc::new(plain)).await;
            }
        }
        Ok(())
    })
}

fn platform(flags: &flags::Platform) -> PlatformSpec {
    PlatformSpec::new()
        .with_latency(Duration::from_millis(flags.latency_ms.unwrap_or(0)))
        .with_host_lag(Duration::from_millis(flags.host_lag_ms.unwrap_or(0)))
}

fn engine(flags: &flags::Engine) -> EngineSpec {
    let mut spec = EngineSpec::new(flags.cold.unwrap_or(COLD), flags.warm.unwrap_or(WARM))
        .with_step(Duration::from_millis(flags.step_ms.unwrap_or(STEP_MS)))
        .with_load_lag(Duration::from_millis(flags.load_lag_ms.unwrap_or(0)));
    if let Some(us) = flags.prefill_us {
        spec = spec.with_prefill(Duration::from_micros(us));
    }
    if let Some(tokens) = flags.cache_tokens {
        spec = spec.with_cache(tokens);
    }
    if flags.refuse {
        spec = spec.with_overload(Overload::Refuse);
    }
    spec
}
