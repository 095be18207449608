//! Settings files in INI format, checked in full at startup.
//!
//! A program reads its sections through a [`Reader`], which collects every error instead of
//! stopping at the first and also reports unknown sections and keys. [`router`] holds the settings
//! of the router daemon, [`policy`] those of the reducer's policies, and [`front`] those of the
//! router daemon for fleets that share engines.

pub mod front;
pub mod policy;
pub mod reader;
pub mod router;
pub mod value;

pub use front::FrontSettings;
pub use reader::{Reader, SettingError, SettingErrors};
pub use router::{Peer, RouterSettings};
