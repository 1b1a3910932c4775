//! Placement decisions of asterramp, a balancer for long-lived connections.
//!
//! [`choice`] decides; [`setup`] reads settings; the others hold the types in which it is asked and answers.

pub mod action;
pub mod budget;
pub mod choice;
pub mod deployment;
pub mod event;
pub mod setup;

pub use action::Action;
pub use choice::Choice;
pub use deployment::Deployment;
pub use event::Event;
