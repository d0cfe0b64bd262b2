//! Options of the TCP connections that carry requests.

use {
  socket2::{SockRef, TcpKeepalive},
  std::{io, time::Duration},
  tokio::net::TcpStream,
};

/// Time without data after which the other side is asked whether it still is there.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 3;
/// Longest time that sent data may stay unacknowledged; it bounds how long a caller
/// or target that lost its power goes unnoticed.
const UNACKNOWLEDGED: Duration = Duration::from_secs(5);

/// Sends small writes at once and finds connections whose other side is gone.
///
/// # Errors
///
/// Fails when the system refuses an option.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
  stream.set_nodelay(true)?;
  let socket = SockRef::from(stream);
  let keepalive = TcpKeepalive::new()
    .with_time(KEEPALIVE_IDLE)
    .with_interval(KEEPALIVE_INTERVAL)
    .with_retries(KEEPALIVE_PROBES);
  socket.set_tcp_keepalive(&keepalive)?;
  socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
