//! A stand-in store with in-memory tables.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hibiscusrail_fleet::objects::{OperatorConfig, Revision, Servers};
use hibiscusrail_fleet::rollout::order::{State, Status};
use hibiscusrail_fleet::unrecorded::UnrecordedRow;
use hibiscusrail_fleet::versions::VersionSet;
use hibiscusrail_front::origins::Origin;
use hibiscusrail_front::rollouts::RolloutRows;
use hibiscusrail_front::watch::{Registration, Store, StoreError, TableRead};

/// In-memory tables, shared by the routers of a test.
#[derive(Default)]
pub struct Tables {
    /// Operator configuration; none if calls for it fail.
    pub config: Option<OperatorConfig>,
    /// Revision of the configuration, which the test raises to change it.
    pub revision: Cell<u64>,
    /// Revision of the configuration that a router has read.
    pub read: Cell<u64>,
    /// Versions by the name of the service.
    pub versions: RefCell<BTreeMap<String, VersionSet>>,
    /// Records of streams by the id of the request that began them.
    pub streams: RefCell<BTreeMap<String, Origin>>,
    /// The routers' tables with the versions of their rows, by the router's name and start.
    pub unrecorded: RefCell<BTreeMap<(String, u64), (UnrecordedRow, u64)>>,
    /// Versions of the orders' and status rows, and the status, by service.
    pub rollouts: RefCell<BTreeMap<String, RolloutRows>>,
    /// States of rollouts that were written, in order.
    pub rollout_states: RefCell<Vec<State>>,
    /// Number of further writes of a status row that are executed and whose answers are lost.
    pub lost_answers: Cell<u32>,
    /// Status that another router writes right before the next write of a status row.
    pub rival: RefCell<Option<Status>>,
    /// Version of the order's row that the operator writes right before the next such write.
    pub next_order: Cell<Option<u64>>,
    /// Time that each call for a rollout takes.
    pub delay: Cell<Duration>,
    /// Era of the store, in the answers that tell one.
    pub era: Cell<u16>,
    /// Whether calls for versions and records fail.
    pub away: Cell<bool>,
    /// Whether such calls get no answer.
    pub silent: Cell<bool>,
}

impl Tables {
    async fn check(&self) -> Result<(), StoreError> {
        if self.silent.get() {
            std::future::pending::<()>().await;
        }
        if self.away.get() {
            return Err("the store is away".into());
        }
        Ok(())
    }
}

impl Store for Tables {
    async fn orders(&self, wait: Duration) -> Result<TableRead<OperatorConfig>, StoreError> {
        let config = self.config.as_ref().ok_or("not in this test")?;
        let until = Instant::now() + wait;
        while self.read.get() == self.revision.get() && Instant::now() < until {
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        let revision = self.revision.get();
        let is_new = self.read.replace(revision) != revision;
        Ok(TableRead {
            revision: Revision(revision),
            complete: Revision(revision),
            value: is_new.then(|| config.clone()),
        })
    }

    async fn servers(&self, _: Duration) -> Result<TableRead<Servers>, StoreError> {
        Err("not in this test".into())
    }

    async fn routers(&self) -> Result<TableRead<Vec<Registration>>, StoreError> {
        Err("not in this test".into())
    }

    async fn register(&self, _: &Registration) -> Result<(), StoreError> {
        Err("not in this test".into())
    }

    async fn unregister(&self, _: &str) -> Result<(), StoreError> {
        Err("not in this test".into())
    }

    async fn versions(&self) -> Result<Vec<VersionSet>, StoreError> {
        self.check().await?;
        Ok(self.versions.borrow().values().cloned().collect())
    }

    async fn save_versions(&self, row: &VersionSet) -> Result<(), StoreError> {
        self.check().await?;
        let mut versions = self.versions.borrow_mut();
        versions.insert(row.service.clone(), row.clone());
        Ok(())
    }

    async fn unrecorded(&self) -> Result<TableRead<Vec<(UnrecordedRow, u64)>>, StoreError> {
        self.check().await?;
        Ok(TableRead {
            revision: Revision::new(self.era.get(), 1),
            complete: Revision::new(self.era.get(), 1),
            value: Some(self.unrecorded.borrow().values().cloned().collect()),
        })
    }

    async fn save_unrecorded(&self, row: &UnrecordedRow, version: u64) -> Result<bool, StoreError> {
        self.check().await?;
        let mut rows = self.unrecorded.borrow_mut();
        let key = (row.router.clone(), row.started);
        if rows.get(&key).map_or(0, |(_, version)| *version) != version {
            return Ok(false);
        }
        rows.insert(key, (row.clone(), version + 1));
        Ok(true)
    }

    async fn remove_unrecorded(&self, rows: &[UnrecordedRow]) -> Result<(), StoreError> {
        self.check().await?;
        for row in rows {
            let key = (row.router.clone(), row.started);
            self.unrecorded.borrow_mut().remove(&key);
        }
        Ok(())
    }

    async fn rollout(&self, service: &str) -> Result<RolloutRows, StoreError> {
        self.check().await?;
        compio::time::sleep(self.delay.get()).await;
        let rollouts = self.rollouts.borrow();
        Ok(rollouts.get(service).cloned().unwrap_or_default())
    }

    async fn write_rollout(
        &self,
        service: &str,
        status: &Status,
        read: &RolloutRows,
    ) -> Result<bool, StoreError> {
        self.check().await?;
        compio::time::sleep(self.delay.get()).await;
        let mut rollouts = self.rollouts.borrow_mut();
        let rows = rollouts.entry(service.to_owned()).or_default();
        if let Some(rival) = self.rival.take() {
            rows.status_version += 1;
            rows.status = Some(rival);
        }
        if let Some(order) = self.next_order.take() {
            rows.order = Some(order);
        }
        if (rows.status_version, rows.order) != (read.status_version, read.order) {
            return Ok(false);
        }
        rows.status_version += 1;
        rows.status = Some(status.clone());
        self.rollout_states.borrow_mut().push(status.state);
        if self.lost_answers.get() > 0 {
            self.lost_answers.set(self.lost_answers.get() - 1);
            return Err("the answer is lost".into());
        }
        Ok(true)
    }

    async fn origin(&self, request: &str) -> Result<Option<Origin>, StoreError> {
        self.check().await?;
        Ok(self.streams.borrow().get(request).cloned())
    }

    async fn record_origins(
        &self,
        begun: &[(String, Origin)],
        expired: &[String],
    ) -> Result<(), StoreError> {
        self.check().await?;
        let mut streams = self.streams.borrow_mut();
        streams.extend(begun.iter().cloned());
        for request in expired {
            streams.remove(request);
        }
        Ok(())
    }
}
