//! Services among which the operator moved the requests of a route.
//!
//! A stream goes on at the service that began it. While a route's weights stay, the id of the
//! request that began a stream tells the service. After a change it does not, for as long as
//! streams of before may run or be taken up.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::objects::{Deployment, Route, Target};

/// Services whose streams may be taken up at a route with other weights than those they began with.
#[derive(Debug, Default)]
pub struct Splits {
    /// Until when, by the name of the service.
    moved: BTreeMap<String, Instant>,
}

impl Splits {
    /// Records that a deployment configuration replaced another; streams last up to `lifetime`.
    ///
    /// Returns the services of which this is new.
    pub fn replace(
        &mut self,
        now: Instant,
        before: &Deployment,
        after: &Deployment,
        lifetime: Duration,
    ) -> Vec<String> {
        self.moved.retain(|_, until| now < *until);
        let routes = before.routes.iter().filter(|r| r.resumable);
        let routes: BTreeMap<_, _> = routes.map(|r| (key(r), &r.targets)).collect();
        let split = after.routes.iter().filter(|r| r.targets.len() > 1);
        let mut new = Vec::new();
        for route in split {
            let Some(targets) = routes.get(&key(route)).filter(|t| **t != &route.targets) else {
                continue;
            };
            for service in kept_services(targets, &route.targets) {
                let was = self.moved.insert(service.to_owned(), now + lifetime);
                if was.is_none() {
                    new.push(service.to_owned());
                }
            }
        }
        new
    }

    /// Returns whether streams of a service may be taken up that began with other weights.
    #[must_use]
    pub fn is_moved(&self, now: Instant, service: &str) -> bool {
        self.moved.get(service).is_some_and(|until| now < *until)
    }
}

/// Returns what tells the routes of a configuration apart.
fn key(route: &Route) -> (&str, &str) {
    (&route.host, &route.prefix)
}

/// Returns the services that are among both lists of targets. Streams of the others can't go on.
fn kept_services<'a>(before: &'a [Target], after: &[Target]) -> impl Iterator<Item = &'a str> {
    let kept = |target: &&Target| after.iter().any(|t| t.service == target.service);
    before.iter().filter(kept).map(|t| t.service.as_str())
}
