//! Stand-ins for the services around the entry hosts, load generators and measurements.
//!
//! This package serves tests and measurements only and is not part of the product.

pub mod address;
pub mod capacity;
pub mod command;
pub mod cpu;
pub mod demo;
pub mod endpoint;
pub mod engine;
pub mod fleet;
pub mod leave;
pub mod load;
pub mod overhead;
pub mod plain;
pub mod platform;
pub mod spread;
pub mod tally;
