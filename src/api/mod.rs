//! The interface of the balancing policy: settings, events and actions.
//!
//! Points in time are `Duration`s on the caller's clock, whose origin is arbitrary.

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
