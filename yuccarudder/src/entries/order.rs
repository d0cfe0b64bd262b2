use {
  crate::view::{Entry, HostState},
  rand::{Rng, seq::SliceRandom},
  std::net::SocketAddr,
};

/// Orders the live hosts for one caller.
///
/// With `include_this`, the responding host `this` comes first, since it is the home
/// of the ticket in the same response. The others follow in random order.
pub fn order(
  hosts: &[Entry],
  this: SocketAddr,
  include_this: bool,
  leaving: &[SocketAddr],
  random: &mut impl Rng,
) -> Vec<SocketAddr> {
  let mut others: Vec<SocketAddr> = hosts
    .iter()
    .filter(|host| host.state == HostState::Live)
    .map(|host| host.callers)
    .filter(|address| *address != this && !leaving.contains(address))
    .collect();
  others.shuffle(random);
  include_this.then_some(this).into_iter().chain(others).collect()
}
