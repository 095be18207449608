//! `hibiscusrail-standin`: starts one stand-in.

use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use hibiscusrail_net::{bind, logs};
use hibiscusrail_standin::engine::{Engine, EngineSpec, OverloadPolicy};
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
            /// Address to listen on.
            required --listen address: SocketAddr
            /// The platform: its table, object store and host list.
            cmd platform {
                /// Latency of each operation in milliseconds.
                optional --latency-ms ms: u64
                /// Delay in milliseconds until a new host list is visible.
                optional --host-lag-ms ms: u64
            }
            /// A model engine.
            cmd engine {
                /// Concurrent requests a cold engine can serve.
                optional --cold count: u32
                /// Concurrent requests a warm engine can serve.
                optional --warm count: u32
                /// Time of a step with one request, in milliseconds.
                optional --step-ms ms: u64
                /// Prefill time per prompt token in microseconds.
                optional --prefill-us us: u64
                /// Capacity of the prefix cache in prompt tokens.
                optional --cache-tokens count: usize
                /// Age of load reports in milliseconds.
                optional --load-lag-ms ms: u64
                /// Reject excess requests while cold, instead of collapsing.
                optional --refuse
            }
            /// A relay that can partition the network between zones.
            cmd relay {}
            /// A plain service.
            cmd plain {
                /// Time to process a call in milliseconds.
                optional --delay-ms ms: u64
                /// Concurrent calls the service can process.
                optional --limit count: u32
            }
        }
    }
}

use flags::{HibiscusrailStandin, HibiscusrailStandinCmd as Cmd};

/// Default time to process a call of the plain service, in milliseconds.
const PLAIN_DELAY_MS: u64 = 5;
/// Default time of an engine step with one request, in milliseconds.
const STEP_MS: u64 = 10;
/// Default number of concurrent requests a cold engine can serve.
const COLD_CAPACITY: u32 = 4;
/// Default number of concurrent requests a warm engine can serve.
const WARM_CAPACITY: u32 = 32;
/// Default number of concurrent calls a plain service can process.
const PLAIN_CAPACITY: u32 = 64;

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
    let runtime =
        compio::runtime::Runtime::new().map_err(|e| format!("cannot start the event loop: {e}"))?;
    runtime.block_on(async {
        let listener =
            bind(flags.listen).map_err(|e| format!("cannot listen on {}: {e}", flags.listen))?;
        match &flags.subcommand {
            Cmd::Platform(p) => serve(listener, Rc::new(Platform::new(platform_spec(p)))).await,
            Cmd::Engine(e) => {
                let engine = Rc::new(Engine::new(engine_spec(e)));
                compio::runtime::spawn(Rc::clone(&engine).generate()).detach();
                serve(listener, engine).await;
            }
            Cmd::Relay(_) => serve(listener, Rc::new(Rc::new(Relay::new()))).await,
            Cmd::Plain(p) => {
                let delay = Duration::from_millis(p.delay_ms.unwrap_or(PLAIN_DELAY_MS));
                let plain = Plain::new(delay, p.limit.unwrap_or(PLAIN_CAPACITY));
                serve(listener, Rc::new(plain)).await;
            }
        }
        Ok(())
    })
}

fn platform_spec(flags: &flags::Platform) -> PlatformSpec {
    PlatformSpec::new()
        .with_latency(Duration::from_millis(flags.latency_ms.unwrap_or(0)))
        .with_host_lag(Duration::from_millis(flags.host_lag_ms.unwrap_or(0)))
}

fn engine_spec(flags: &flags::Engine) -> EngineSpec {
    let mut spec = EngineSpec::new(
        flags.cold.unwrap_or(COLD_CAPACITY),
        flags.warm.unwrap_or(WARM_CAPACITY),
    )
    .with_step(Duration::from_millis(flags.step_ms.unwrap_or(STEP_MS)))
    .with_load_lag(Duration::from_millis(flags.load_lag_ms.unwrap_or(0)));
    if let Some(us) = flags.prefill_us {
        spec = spec.with_prefill(Duration::from_micros(us));
    }
    if let Some(tokens) = flags.cache_tokens {
        spec = spec.with_cache(tokens);
    }
    if flags.refuse {
        spec = spec.with_overload(OverloadPolicy::Reject);
    }
    spec
}
