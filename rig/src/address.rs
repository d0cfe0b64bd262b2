//! Loopback addresses that no other process of a test run uses.

use std::{
  net::{IpAddr, Ipv4Addr, SocketAddr},
  process,
  sync::atomic::{AtomicU32, Ordering},
};

static NEXT: AtomicU32 = AtomicU32::new(1);

/// Returns an address of the loopback network with a port of its own.
///
/// Processes get different networks, so that parallel tests do not meet and
/// outgoing connections, which leave from 127.0.0.1, take none of the ports.
pub fn unused() -> SocketAddr {
  let [_, _, high, low] = process::id().to_be_bytes();
  let next = NEXT.fetch_add(1, Ordering::Relaxed);
  let host = u8::try_from(next % 250).unwrap_or_default() + 1;
  let port = 7000 + u16::try_from(next / 250).unwrap_or_default();
  let network = 1 + high % 250;
  SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, network, low, host)), port)
}
