//! The operator's configuration of the cases.

/// Host of all routes.
pub const HOST: &str = "jury.example";
/// Service of model servers.
pub const ENGINES: &str = "nucleo-modelo";
/// Service of plain servers.
pub const PORTAL: &str = "portal-citas";
/// Another service of plain servers.
pub const NEW_PORTAL: &str = "portal-nuevo";
/// Key of the tenant that sends all requests.
pub const KEY: &str = "asnmgkcuyj8pjbvk9m68";
/// Tenant of the key.
pub const TENANT: &str = "hule930";

/// What differs between the cases' configurations.
pub struct Config<'a> {
    pub version: u64,
    pub keys: &'a [&'a str],
    pub filings_service: &'a str,
    pub resumes: bool,
    pub attempts: u32,
}

impl Default for Config<'_> {
    fn default() -> Self {
        Self {
            version: 7,
            keys: &[KEY],
            filings_service: PORTAL,
            resumes: false,
            attempts: 2,
        }
    }
}

impl Config<'_> {
    /// The value of the row `op/config`.
    pub fn json(&self) -> String {
        let keys: Vec<String> = self.keys.iter().map(|k| format!("\"{k}\"")).collect();
        let keys = keys.join(",");
        let Self {
            version,
            filings_service,
            resumes,
            attempts,
            ..
        } = self;
        let route = |name: &str, kind: &str, timeout: u32, target: u32, more: &str| {
            format!(
                r#"{{"name":"r-{name}","hostname":"{HOST}","prefix":"/{name}/","route-type":"{kind}","timeout-ms":{timeout},"target-latency-ms":{target},"priority":1,"max-attempts":{attempts},"public":false,{more}}}"#
            )
        };
        let stream = format!(
            r#""service":"{ENGINES}","session-affinity":true,"stream-resume":{resumes},"target-gap-ms":500"#
        );
        let routes = [
            route("drafts", "streaming", 12_000, 1_000, &stream),
            route(
                "filings",
                "non_idempotent",
                3_000,
                300,
                &format!(r#""service":"{filings_service}""#),
            ),
            route(
                "status",
                "idempotent",
                3_000,
                300,
                &format!(r#""service":"{PORTAL}""#),
            ),
        ]
        .join(",");
        let plain = |name: &str| {
            format!(
                r#"{{"name":"{name}","health-path":"/health","max-connections":100,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}}"#
            )
        };
        let plain = [plain(PORTAL), plain(NEW_PORTAL)].join(",");
        format!(
            r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"{ENGINES}","health-path":"/health","max-connections":360,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":10.0,"engine":{{"slots":64,"kv-cache-tokens":460737,"kv-token-bytes":18432,"link-mbps":280000.0,"moves":true,"backups":true,"stride":7,"most":12,"pin-ms":4000.0,"hold-ms":2000.0,"handle-s":5.0,"models":[{{"name":"m"}}]}}}},{plain}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000,"tokens-per-s":190000}},"tenants":[{{"name":"{TENANT}","api-keys":[{keys}],"priority":1}}]}}"#
        )
    }
}
