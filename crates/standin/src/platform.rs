//! The platform: a transactional table and a list of hosts.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use hibiscusrail_net::Body;
use hibiscusrail_platform::table::{
    HostList, ReadAnswer, ReadRequest, Row, ScanAnswer, ScanRequest, TransactAnswer,
    TransactRequest,
};
use http::{Method, Response, StatusCode};

use crate::http_util::{Service, Whole, ok_json, read_json, status};

/// State of the platform.
#[derive(Debug, Default)]
pub struct Platform {
    rows: RefCell<BTreeMap<String, Row>>,
    hosts: RefCell<HostList>,
}

impl Service for Platform {
    fn answer(self: Rc<Self>, request: Whole) -> LocalBoxFuture<'static, Response<Body>> {
        async move { self.route(&request) }.boxed_local()
    }
}

impl Platform {
    fn route(&self, request: &Whole) -> Response<Body> {
        let body = request.body();
        let result = match (request.method(), request.uri().path()) {
            (&Method::POST, "/table/read") => read_json(body).map(|q| ok_json(&self.read(&q))),
            (&Method::POST, "/table/scan") => read_json(body).map(|q| ok_json(&self.scan(&q))),
            (&Method::POST, "/table/transact") => {
                read_json(body).map(|q| ok_json(&self.transact(&q)))
            }
            (&Method::GET, "/hosts") => Ok(ok_json(&*self.hosts.borrow())),
            (&Method::POST, "/hosts") => read_json(body).map(|list| {
                *self.hosts.borrow_mut() = list;
                status(StatusCode::OK, "")
            }),
            _ => Ok(status(StatusCode::NOT_FOUND, "no such path")),
        };
        result.unwrap_or_else(|refusal| refusal)
    }

    fn read(&self, question: &ReadRequest) -> ReadAnswer {
        let rows = self.rows.borrow();
        ReadAnswer {
            rows: question.keys.iter().map(|k| rows.get(k).cloned()).collect(),
        }
    }

    fn scan(&self, question: &ScanRequest) -> ScanAnswer {
        let rows = self.rows.borrow();
        let start = question.prefix.as_str().max(question.after.as_str());
        let mut found: Vec<Row> = rows
            .range(start.to_owned()..)
            .map(|(_, row)| row)
            .take_while(|row| row.key.starts_with(&question.prefix))
            .filter(|row| row.key > question.after)
            .take(question.limit + 1)
            .cloned()
            .collect();
        let more = found.len() > question.limit;
        found.truncate(question.limit);
        ScanAnswer { rows: found, more }
    }

    fn transact(&self, question: &TransactRequest) -> TransactAnswer {
        let mut rows = self.rows.borrow_mut();
        let mut failed = false;
        let mut conflicts = Vec::new();
        for condition in &question.conditions {
            let row = rows.get(&condition.key);
            if row.map_or(0, |r| r.version) != condition.version {
                failed = true;
                conflicts.extend(row.cloned());
            }
        }
        if failed {
            return TransactAnswer {
                committed: false,
                conflicts,
            };
        }
        for write in &question.writes {
            let Some(value) = write.value.clone() else {
                rows.remove(&write.key);
                continue;
            };
            let version = rows.get(&write.key).map_or(0, |r| r.version) + 1;
            let row = Row {
                key: write.key.clone(),
                version,
                value,
            };
            rows.insert(write.key.clone(), row);
        }
        TransactAnswer {
            committed: true,
            conflicts,
        }
    }
}
