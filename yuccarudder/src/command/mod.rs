//! The command line of the daemon and its subcommands.

mod ask;
mod check;
mod command;
mod explain;
mod serve;
mod status;
mod trace;

pub use command::Command;
