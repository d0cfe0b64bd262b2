//! TCP options of the connections that carry requests.

use {
  socket2::{SockRef, TcpKeepalive},
  std::{io, time::Duration},
  tokio::net::TcpStream,
};

/// Idle time after which keepalive probes are sent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 3;
/// Time that sent data may stay unacknowledged (`TCP_USER_TIMEOUT`). It bounds how long the loss of a
/// caller or target that lost power goes unnoticed. Linux also ends an idle connection after it, whatever
/// the number of keepalive probes, so it is as long as they take.
const USER_TIMEOUT: Duration = Duration::from_secs(
  KEEPALIVE_IDLE.as_secs() + KEEPALIVE_INTERVAL.as_secs() * KEEPALIVE_PROBES as u64,
);

/// Disables Nagle's algorithm, so that small writes are sent at once, and enables the detection
/// of dead connections.
///
/// # Errors
///
/// Fails if the system rejects an option.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
  stream.set_nodelay(true)?;
  let socket = SockRef::from(stream);
  let keepalive = TcpKeepalive::new()
    .with_time(KEEPALIVE_IDLE)
    .with_interval(KEEPALIVE_INTERVAL)
    .with_retries(KEEPALIVE_PROBES);
  socket.set_tcp_keepalive(&keepalive)?;
  socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

#[cfg(test)]
mod tests;
