//! Gossip between the hosts, which spreads the published documents and their ages.

mod contact;
mod exchange;
mod readers;
mod run;

pub use contact::Contact;
pub use exchange::exchange;
pub use readers::{is_reader, readers};
pub use run::{join, run};

#[cfg(test)]
mod tests;
