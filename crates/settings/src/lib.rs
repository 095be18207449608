//! Settings in INI, checked whole at start.
//!
//! A program reads its sections through a [`Reader`], which collects every
//! error instead of stopping at the first, and counts keys that nobody asked
//! for as errors too. [`router`] holds the settings of the router daemon,
//! [`policy`] those of the reducer's policies, [`front`] those of the daemon
//! for routers that share engines.

pub mod front;
pub mod policy;
pub mod reader;
pub mod router;
pub mod value;

pub use front::FrontSettings;
pub use reader::{Reader, SettingError, SettingErrors};
pub use router::{Peer, RouterSettings};
