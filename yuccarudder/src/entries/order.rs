use {
  crate::view::{Entry, HostState},
  rand::{Rng, seq::SliceRandom},
  std::net::SocketAddr,
};

/// Orders the live hosts for one caller.
///
/// The answering host comes first while it is `named`, since the ticket of the
/// answer names it as home; the others follow in random order.
pub fn order(
  hosts: &[Entry],
  this: SocketAddr,
  named: bool,
  leaving: &[SocketAddr],
  random: &mut impl Rng,
) -> Vec<SocketAddr> {
  let mut others: Vec<SocketAddr> = hosts
    .iter()
    .filter(|host| host.state == HostState::Live)
    .map(|host| host.callers)
    .filter(|callers| *callers != this && !leaving.contains(callers))
    .collect();
  others.shuffle(random);
  named.then_some(this).into_iter().chain(others).collect()
}
