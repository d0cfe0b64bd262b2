//! Stand-ins for what surrounds the system, a load driver and a demonstration.
//!
//! Nothing of this package ships in the product.

pub mod address;
pub mod answer;
pub mod capacity;
pub mod command;
pub mod cpu;
pub mod demo;
pub mod engine;
pub mod fleet;
pub mod leave;
pub mod load;
pub mod overhead;
pub mod plain;
pub mod platform;
pub mod spread;
pub mod tally;
