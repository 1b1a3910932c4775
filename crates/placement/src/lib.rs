//! Placement decisions of asterramp, a balancer for long-lived connections.
//!
//! [`choice`] decides; [`setup`] reads settings; the others hold the types in which it is asked and answers.

pub mod action;
pub mod deployment;
pub mod engine;
pub mod event;
pub mod retry_budget;
pub mod settings;

pub use action::Action;
pub use deployment::Deployment;
pub use engine::Choice;
pub use event::Event;
