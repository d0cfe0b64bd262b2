use {
  super::*,
  tokio::net::{TcpListener, TcpStream},
};

/// Guards against connections that end before their keepalive probes are used up: where a user timeout is
/// set, it decides, whatever the number of probes.
#[tokio::test]
async fn user_timeout_does_not_cut_keepalive_short() {
  let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
  let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
  configure(&stream).unwrap();
  let socket = SockRef::from(&stream);
  let probing = socket.tcp_keepalive_interval().unwrap() * socket.tcp_keepalive_retries().unwrap();
  let keepalive = socket.tcp_keepalive_time().unwrap() + probing;
  assert!(socket.tcp_user_timeout().unwrap().unwrap() >= keepalive);
}
