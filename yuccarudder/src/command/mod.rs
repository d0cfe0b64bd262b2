//! The subcommands of the daemon's command line.

mod ask;
mod check;
mod command;
mod explain;
mod serve;
mod status;
mod trace;

pub use command::Command;
