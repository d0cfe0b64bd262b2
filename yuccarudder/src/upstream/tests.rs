use {
  super::*,
  crate::{
    clock::Clock,
    http,
    refusal::{Reason, Refusal},
  },
  hyper::Request,
  std::{net::SocketAddr, time::Duration},
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
  },
};

fn call(address: SocketAddr, permit: Permit) -> Call {
  Call {
    address,
    admission: None,
    connect_timeout: Duration::from_secs(5),
    fresh: true,
    permit,
    request: Request::get("/").body(http::empty()).unwrap(),
  }
}

async fn listen() -> (TcpListener, SocketAddr) {
  let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
  let address = listener.local_addr().unwrap();
  (listener, address)
}

async fn send(address: SocketAddr, permit: Permit) -> Error {
  let pool = Pool::new(Clock::system());
  let sent = pool.send(call(address, permit));
  let result = tokio::time::timeout(Duration::from_secs(10), sent).await;
  result.expect("the call ends").unwrap_err()
}

#[tokio::test]
async fn refused_connection_sent_nothing() {
  let (listener, address) = listen().await;
  drop(listener);
  let error = send(address, Box::new(|| Ok(()))).await;
  assert!(
    matches!(
      error,
      Error::NotSent {
        request: Some(_),
        ..
      }
    ),
    "{error:?}"
  );
}

#[tokio::test]
async fn denied_permit_sends_no_byte() {
  let (listener, address) = listen().await;
  let target = tokio::spawn(async move {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.unwrap();
    bytes
  });
  let permit = || Err(Refusal::not_run(Reason::DeadlinePassed));
  let error = send(address, Box::new(permit)).await;
  assert!(matches!(error, Error::Denied(_)), "{error:?}");
  assert!(target.await.unwrap().is_empty());
}

#[tokio::test]
async fn connection_closed_after_the_request_may_have_run_it() {
  let (listener, address) = listen().await;
  tokio::spawn(async move {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut bytes = [0; 16];
    stream.read_exact(&mut bytes).await.unwrap();
  });
  let error = send(address, Box::new(|| Ok(()))).await;
  assert!(matches!(error, Error::Sent(_)), "{error:?}");
}

#[tokio::test]
async fn idle_connection_is_used_again() {
  let (listener, address) = listen().await;
  let target = tokio::spawn(async move {
    let (mut stream, _) = listener.accept().await.unwrap();
    for _ in 0..2 {
      let mut bytes = [0; 1024];
      assert!(stream.read(&mut bytes).await.unwrap() > 0);
      stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await.unwrap();
    }
  });
  let pool = Pool::new(Clock::system());
  for _ in 0..2 {
    let call = Call {
      fresh: false,
      ..call(address, Box::new(|| Ok(())))
    };
    let response = pool.send(call).await.unwrap();
    assert_eq!(http::collect(response.into_body(), 10).await.unwrap(), "ok");
    tokio::time::sleep(Duration::from_millis(10)).await;
  }
  target.await.unwrap();
}

#[test]
fn revoked_right_is_not_taken() {
  let right = Right::default();
  assert!(right.revoke());
  assert!(!right.take(true));
  assert!(!right.taken());
}

#[test]
fn taken_right_is_not_revoked() {
  let right = Right::default();
  assert!(right.take(false));
  assert!(!right.revoke());
  assert!(!right.take(false));
  assert!(right.take(true));
}
