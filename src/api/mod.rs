//! The module's whole interface: settings, events and actions.
//!
//! Times are `Duration`s on the caller's clock, which may start anywhere.

mod actions;
mod endpoints;
mod events;
mod ids;
mod settings;

pub use actions::*;
pub use endpoints::*;
pub use events::*;
pub use ids::*;
pub use settings::*;
