//! Checks of an operator configuration.
//!
//! The time of a check grows with the size of the configuration times its logarithm, so that a
//! daemon can run it at each load.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use hibiscusrail_fleet::objects::{Deployment, OperatorConfig, Route};

use crate::finding::{Finding, Kind, Place, abbreviate};

/// Facts outside of the configuration; a check that lacks its fact is left out.
#[derive(Debug, Clone, Default)]
pub struct Known<'a> {
    /// Bytes that a host may hold for bodies and parts of streams.
    budget: Option<usize>,
    /// Number of servers of each service; none if the servers are unknown.
    servers: Option<BTreeMap<&'a str, usize>>,
    /// Availability zones of the servers.
    zones: BTreeSet<&'a str>,
    /// Services whose rollout has ended.
    ended: BTreeSet<&'a str>,
}

impl<'a> Known<'a> {
    /// Creates the facts of a program that knows none.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the bytes that a host may hold for bodies and parts of streams.
    #[must_use]
    pub fn with_budget(mut self, bytes: usize) -> Self {
        self.budget = Some(bytes);
        self
    }

    /// Adds the service and the availability zone of each registered server.
    #[must_use]
    pub fn with_servers(mut self, servers: impl Iterator<Item = (&'a str, &'a str)>) -> Self {
        let counts = self.servers.get_or_insert_default();
        for (service, zone) in servers {
            *counts.entry(service).or_default() += 1;
            self.zones.insert(zone);
        }
        self
    }

    /// Adds a service whose rollout has ended.
    #[must_use]
    pub fn with_ended(mut self, service: &'a str) -> Self {
        self.ended.insert(service);
        self
    }
}

/// Returns the findings of an operator configuration; none without a deployment.
#[must_use]
pub fn check(config: &OperatorConfig, known: &Known<'_>) -> Vec<Finding> {
    let Some(deployment) = &config.deployment else {
        return Vec::new();
    };
    let mut checker = Checker {
        deployment,
        known,
        findings: Vec::new(),
    };
    checker.reachability();
    for route in &deployment.routes {
        checker.route(route);
    }
    let routed = checker.services();
    checker.keys();
    checker.limits();
    checker.rollouts(config, &routed);
    checker.evacuations(config);
    checker.findings
}

/// Returns the finding of a configuration that routers ignore because of its version.
#[must_use]
pub fn check_version(old: &Deployment, new: &Deployment) -> Option<Finding> {
    let text = format!(
        "version {} is lower than version {} in force, so routers ignore it",
        new.version, old.version
    );
    (new.version < old.version).then(|| Finding::new(Kind::OldVersion, Place::Document, text))
}

struct Checker<'a> {
    deployment: &'a Deployment,
    known: &'a Known<'a>,
    findings: Vec<Finding>,
}

impl<'a> Checker<'a> {
    fn find(&mut self, kind: Kind, place: Place, text: impl Into<String>) {
        self.findings.push(Finding::new(kind, place, text));
    }

    /// Finds routes that no request matches; of routes with the same host and prefix the last wins.
    fn reachability(&mut self) {
        let mut winners: HashMap<(Cow<'_, str>, &str), &str> = HashMap::new();
        let mut found = Vec::new();
        for route in self.deployment.routes.iter().rev() {
            let place = || Place::Route(route.name.clone());
            if route.host.contains(':') {
                let text = format!(
                    "no request matches the host {:?}: hosts are compared without a port",
                    route.host
                );
                found.push(Finding::new(Kind::UnmatchableRoute, place(), text));
            }
            if !route.prefix.is_empty() && !route.prefix.starts_with('/') {
                let text = format!(
                    "no path begins with the prefix {:?}: it has to begin with a slash",
                    route.prefix
                );
                found.push(Finding::new(Kind::UnmatchableRoute, place(), text));
            }
            // Adapters convert hosts to lower case; others are compared like it.
            let host = if route.host.bytes().any(|b| b.is_ascii_uppercase()) {
                Cow::Owned(route.host.to_ascii_lowercase())
            } else {
                Cow::Borrowed(route.host.as_str())
            };
            let key = (host, route.prefix.as_str());
            if let Some(winner) = winners.get(&key) {
                let text = format!(
                    "route {winner}, which follows it, has the same host {:?} and prefix {:?} and \
                     gets all requests",
                    route.host, route.prefix
                );
                found.push(Finding::new(Kind::ShadowedRoute, place(), text));
            } else {
                winners.insert(key, &route.name);
            }
        }
        found.reverse();
        self.findings.append(&mut found);
    }

    fn route(&mut self, route: &Route) {
        let place = || Place::Route(route.name.clone());
        if route.targets.iter().all(|t| t.weight == 0) {
            let text = "it has no service to which it could send a request, or only with weight 0";
            self.find(Kind::RouteWithoutTarget, place(), text);
        }
        for target in &route.targets {
            if !self.deployment.services.contains_key(&target.service) {
                let text = format!("its service {} does not exist", target.service);
                self.find(Kind::UnknownService, place(), text);
                continue;
            }
            let servers = self.known.servers.as_ref();
            let count = servers.map(|s| s.get(target.service.as_str()).map_or(0, |n| *n));
            if let Some(count) = count
                && target.weight > 0
                && route.attempts > 1
                && usize::try_from(route.attempts).is_ok_and(|attempts| attempts > count)
            {
                let text = format!(
                    "it allows {} attempts, more than service {} has servers ({count}), and a request is \
                     sent to each at most once",
                    route.attempts, target.service
                );
                self.find(Kind::TooManyAttempts, place(), text);
            }
        }
        if route.timeout < route.target {
            let text = format!(
                "its timeout of {:?} is shorter than its target of {:?}",
                route.timeout, route.target
            );
            self.find(Kind::TimeoutBelowTarget, place(), text);
        }
    }

    /// Finds services that get no requests; returns those that do.
    fn services(&mut self) -> BTreeSet<&'a str> {
        let targets = self.deployment.routes.iter().flat_map(|r| &r.targets);
        let routed: BTreeSet<&str> = targets
            .filter(|t| t.weight > 0)
            .map(|t| t.service.as_str())
            .collect();
        for service in self.deployment.services.keys() {
            if !routed.contains(service.as_str()) {
                let text = "no route sends requests to it";
                self.find(
                    Kind::ServiceWithoutRoute,
                    Place::Service(service.clone()),
                    text,
                );
            }
        }
        routed
    }

    /// Finds workspaces without a key and keys of several workspaces, of which the first gets them.
    fn keys(&mut self) {
        let mut holders: HashMap<&str, (usize, &str)> = HashMap::new();
        for (i, workspace) in self.deployment.workspaces.iter().enumerate() {
            if workspace.keys.is_empty() {
                let text = "it has no key, so it can't send requests to routes that are not public";
                let place = Place::Workspace(workspace.name.clone());
                self.find(Kind::WorkspaceWithoutKey, place, text);
            }
            for key in &workspace.keys {
                let (holder, name) = *holders.entry(key).or_insert((i, &workspace.name));
                if holder != i {
                    let text = format!(
                        "workspace {name} holds the same key, and all requests with it count as its"
                    );
                    let place = Place::Key {
                        workspace: workspace.name.clone(),
                        key: abbreviate(key),
                    };
                    self.find(Kind::SharedKey, place, text);
                }
            }
        }
    }

    fn limits(&mut self) {
        let limits = &self.deployment.limits;
        if let Some(budget) = self.known.budget
            && limits.body_bytes > budget
        {
            let text = format!(
                "the largest body of {} bytes is above the {budget} bytes that a host may hold for \
                 all bodies, so requests with such a body are refused",
                limits.body_bytes
            );
            self.find(Kind::BodyOverBudget, Place::Limits, text);
        }
        if limits.head_timeout == Some(Duration::ZERO) {
            let text = "the timeout for a request's head is zero";
            self.find(Kind::ZeroHeadTimeout, Place::Limits, text);
        }
        if limits.idle.is_zero() {
            let text =
                "the idle timeout, within which the next request's head has to arrive, is zero";
            self.find(Kind::ZeroHeadTimeout, Place::Limits, text);
        }
        // One finding for all routes, as the limit is the likely mistake.
        let longer = self.deployment.routes.iter();
        let longer = longer.filter(|r| r.timeout > limits.idle);
        if let Some(longest) = longer.clone().max_by_key(|r| r.timeout) {
            let text = format!(
                "the idle timeout of {:?} is shorter than timeouts of routes ({} of them); the longest \
                 is {:?}, of route {}",
                limits.idle,
                longer.count(),
                longest.timeout,
                longest.name
            );
            self.find(Kind::IdleBelowTimeout, Place::Limits, text);
        }
    }

    /// Finds rollouts in progress whose new version could get no requests.
    fn rollouts(&mut self, config: &OperatorConfig, routed: &BTreeSet<&str>) {
        for (service, order) in &config.rollouts {
            let Some(to) = &order.to else { continue };
            if self.known.ended.contains(service.as_str()) {
                continue;
            }
            let cause = if !self.deployment.services.contains_key(service) {
                "the service does not exist"
            } else if !routed.contains(service.as_str()) {
                "no route sends requests to the service"
            } else {
                continue;
            };
            let text = format!("the order for version {to} can't finish: {cause}");
            self.find(Kind::LostRollout, Place::Rollout(service.clone()), text);
        }
    }

    fn evacuations(&mut self, config: &OperatorConfig) {
        if self.known.servers.is_none() {
            return;
        }
        for zone in &config.evacuated {
            if !self.known.zones.contains(zone.as_str()) {
                let text = "no server is registered in the zone, so the order has no effect";
                self.find(Kind::LostEvacuation, Place::Evacuation(zone.clone()), text);
            }
        }
    }
}
