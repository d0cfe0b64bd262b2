use {
  crate::view::{Entry, HostState},
  rand::{Rng, seq::SliceRandom},
  std::net::SocketAddr,
};

/// Orders the live hosts for one caller.
///
/// With `include_self`, the responding host, at `own_address`, comes first, since it is the
/// home of the ticket in the same response. The others follow in random order.
pub fn order(
  hosts: &[Entry],
  own_address: SocketAddr,
  include_self: bool,
  leaving: &[SocketAddr],
  random: &mut impl Rng,
) -> Vec<SocketAddr> {
  let mut others: Vec<SocketAddr> = hosts
    .iter()
    .filter(|host| host.state == HostState::Live)
    .map(|host| host.callers)
    .filter(|address| *address != own_address && !leaving.contains(address))
    .collect();
  others.shuffle(random);
  include_self.then_some(own_address).into_iter().chain(others).collect()
}
