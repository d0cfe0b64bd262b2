//! Loopback addresses that no other process of a test run uses.

use std::{
  net::{IpAddr, Ipv4Addr, SocketAddr},
  process,
  sync::atomic::{AtomicU32, Ordering},
};

static NEXT_INDEX: AtomicU32 = AtomicU32::new(1);

/// Returns a loopback address that this function has not returned before.
///
/// The process ID selects the network, so that tests in parallel processes do not collide. The
/// network is never 127.0, so that the ephemeral ports of outgoing connections, which use
/// 127.0.0.1, do not occupy the ports either.
pub fn unused() -> SocketAddr {
  let [_, _, high, low] = process::id().to_be_bytes();
  let index = NEXT_INDEX.fetch_add(1, Ordering::Relaxed);
  let host = u8::try_from(index % 250).unwrap_or_default() + 1;
  let port = 7000 + u16::try_from(index / 250).unwrap_or_default();
  let network = 1 + high % 250;
  SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, network, low, host)), port)
}
