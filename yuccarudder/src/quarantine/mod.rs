//! Keeps requests away from targets that crash when they begin to answer them.
//!
//! A request is known by its features: the hash of its content, which its repeats have in common,
//! and the parts of its prompt that it shares with other requests. A feature is banned once several
//! targets have crashed under requests that have it and no target has soundly answered one since.
//! Features that only accompany it are distinguished by the sound answers of other requests that have
//! them. The hosts exchange crashes, sound answers of suspected features, and bans, so that each
//! host decides on what all of them have seen.

mod activity;
mod ban;
mod crash;
mod evidence;
mod feature;
mod ledger;
mod sound;
mod suspect;

pub use ban::Ban;
pub use crash::Crash;
pub use feature::Feature;
pub use ledger::{Ledger, SOUND_AFTER, Verdict};
pub use sound::Sound;

#[cfg(test)]
mod tests;
