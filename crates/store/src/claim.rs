//! Execution claims as rows of the table, converted between JSON and the reducer's claims.

use hibiscusrail_core::claim::{Holder, Row as Claim, RowKey, State, Stored, Versioned};
use hibiscusrail_core::{Incarnation, RouterId};
use hibiscusrail_macros::record;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::{ResultExt, Snafu};

use crate::keys;
use crate::table::Row;

/// JSON form of a claim.
#[record]
#[derive(Serialize, Deserialize)]
struct ClaimRow {
    router: u32,
    incarnation: u64,
    number: u64,
    attempt: u32,
    digest: u64,
    state: StateRow,
}

/// JSON form of the state of the claimed execution.
#[record]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum StateRow {
    Held,
    Released,
    Answered(Option<AnswerRow>),
    Failed,
    Unknown,
}

/// JSON form of a stored answer; the body is hexadecimal, as it may not be text.
#[record]
#[derive(Serialize, Deserialize)]
struct AnswerRow {
    status: u16,
    content_type: Option<String>,
    #[serde(with = "hex")]
    body: Vec<u8>,
}

/// Error of decoding a claim from its row.
#[derive(Debug, Snafu)]
#[snafu(display("row {key} is malformed: {source}"))]
pub struct ClaimError {
    /// Key of the row.
    key: String,
    /// The decoding error.
    source: serde_json::Error,
}

impl From<State> for StateRow {
    fn from(state: State) -> Self {
        match state {
            State::Held => Self::Held,
            State::Released => Self::Released,
            State::Failed => Self::Failed,
            State::Unknown => Self::Unknown,
            State::Answered(stored) => Self::Answered(stored.map(|s| AnswerRow {
                status: s.status,
                content_type: s.content_type,
                body: s.body,
            })),
        }
    }
}

impl From<StateRow> for State {
    fn from(row: StateRow) -> Self {
        match row {
            StateRow::Held => Self::Held,
            StateRow::Released => Self::Released,
            StateRow::Failed => Self::Failed,
            StateRow::Unknown => Self::Unknown,
            StateRow::Answered(stored) => Self::Answered(stored.map(|s| Stored {
                status: s.status,
                content_type: s.content_type,
                body: s.body,
            })),
        }
    }
}

/// Returns the table key of a claim's row.
#[must_use]
pub fn key(key: &RowKey) -> String {
    keys::claim(key.workspace, &key.name)
}

/// Encodes a claim as the content of its row.
///
/// # Panics
///
/// Never: claims serialise to JSON.
#[must_use]
pub fn encode(claim: &Claim) -> Value {
    let row = ClaimRow {
        router: claim.holder.router.0,
        incarnation: claim.holder.incarnation.0,
        number: claim.holder.number,
        attempt: claim.attempt,
        digest: claim.digest,
        state: claim.state.clone().into(),
    };
    serde_json::to_value(row).expect("claims serialise to JSON")
}

/// Decodes a claim from its row.
///
/// # Errors
///
/// Fails if the row is malformed.
pub fn decode(row: &Row) -> Result<Versioned, ClaimError> {
    let claim: ClaimRow =
        serde_json::from_value(row.value.clone()).context(ClaimSnafu { key: &row.key })?;
    Ok(Versioned {
        version: row.version,
        row: Claim {
            holder: Holder {
                router: RouterId(claim.router),
                incarnation: Incarnation(claim.incarnation),
                number: claim.number,
            },
            attempt: claim.attempt,
            digest: claim.digest,
            state: claim.state.into(),
        },
    })
}
