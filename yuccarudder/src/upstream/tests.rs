use {
  super::*,
  crate::{
    clock::Clock,
    http,
    refusal::{Reason, Refusal},
  },
  hyper::Request,
  std::{
    net::SocketAddr,
    sync::{
      Arc,
      atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime},
  },
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
  },
};

fn call(address: SocketAddr, send_check: SendCheck) -> Call {
  Call {
    address,
    admission: None,
    connect_timeout: Duration::from_secs(5),
    max_body_bytes: None,
    new_connection: true,
    reusable: true,
    send_check,
    request: Request::get("/").body(http::empty()).unwrap(),
  }
}

async fn listen() -> (TcpListener, SocketAddr) {
  let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
  let address = listener.local_addr().unwrap();
  (listener, address)
}

async fn send(address: SocketAddr, send_check: SendCheck) -> Error {
  let pool = Pool::new(Clock::system());
  let sent = pool.send(call(address, send_check));
  let result = tokio::time::timeout(Duration::from_secs(10), sent).await;
  result.expect("the call ends").unwrap_err()
}

#[tokio::test]
async fn refused_connection_is_reported_as_not_sent() {
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
async fn refused_check_sends_no_bytes() {
  let (listener, address) = listen().await;
  let target = tokio::spawn(async move {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.unwrap();
    bytes
  });
  let send_check = || Err(Refusal::not_run(Reason::DeadlinePassed));
  let error = send(address, Box::new(send_check)).await;
  assert!(matches!(error, Error::Denied(_)), "{error:?}");
  assert!(target.await.unwrap().is_empty());
}

#[tokio::test]
async fn connection_closed_after_the_request_is_reported_as_sent() {
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
async fn idle_connection_is_reused() {
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
      new_connection: false,
      reusable: true,
      ..call(address, Box::new(|| Ok(())))
    };
    let response = pool.send(call).await.unwrap();
    assert_eq!(http::collect(response.into_body(), 10).await.unwrap(), "ok");
    tokio::time::sleep(Duration::from_millis(10)).await;
  }
  target.await.unwrap();
}

#[test]
fn revoked_permit_cannot_be_acquired() {
  let send_permit = SendPermit::default();
  assert!(send_permit.revoke());
  assert!(!send_permit.acquire(true));
  assert!(!send_permit.is_acquired());
}

#[test]
fn acquired_permit_cannot_be_revoked() {
  let send_permit = SendPermit::default();
  assert!(send_permit.acquire(false));
  assert!(!send_permit.revoke());
  assert!(!send_permit.acquire(false));
  assert!(send_permit.acquire(true));
}

/// Serves one connection, responding to each request with the next body, and returns the
/// request lines and the connection, still open.
async fn serve_responses(
  listener: TcpListener,
  bodies: Vec<&'static str>,
) -> (Vec<String>, TcpStream) {
  let (mut stream, _) = listener.accept().await.unwrap();
  let mut requests = Vec::new();
  for body in bodies {
    let mut bytes = [0; 1024];
    let length = stream.read(&mut bytes).await.unwrap();
    let request = String::from_utf8_lossy(&bytes[..length]).into_owned();
    requests.push(request.lines().next().unwrap_or_default().to_owned());
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(format!("{head}{body}").as_bytes()).await.unwrap();
  }
  (requests, stream)
}

#[tokio::test]
async fn target_that_becomes_cold_while_running_is_detected() {
  const COLD: &str = r#"{"cold":true,"incarnation":1}"#;
  const WARM: &str = r#"{"cold":false,"incarnation":1}"#;
  let (listener, address) = listen().await;
  // The first report stays valid for two requests; the second one says that the target is cold.
  let target = tokio::spawn(serve_responses(listener, vec![WARM, "ok", "ok", COLD]));
  let elapsed_ms = Arc::new(AtomicU64::new(0));
  let (clock, start) = (Arc::clone(&elapsed_ms), Instant::now());
  let clock = Clock::new(
    move || start + Duration::from_millis(clock.load(Ordering::Relaxed)),
    SystemTime::now,
  );
  let pool = Pool::new(clock);
  let refuse: fn() -> Admission =
    || Box::new(|_| Box::pin(async { Err(Refusal::not_run(Reason::TargetCold)) }));
  let send = || async {
    let call = Call {
      admission: Some(refuse()),
      new_connection: false,
      reusable: true,
      ..call(address, Box::new(|| Ok(())))
    };
    let response = pool.send(call).await?;
    http::collect(response.into_body(), 10).await.unwrap();
    // A background task returns the connection to the pool.
    tokio::time::sleep(Duration::from_millis(20)).await;
    Ok::<_, Error>(())
  };
  send().await.unwrap();
  send().await.unwrap();
  elapsed_ms.store(1500, Ordering::Relaxed);
  let error = send().await.unwrap_err();
  assert!(
    matches!(&error, Error::Denied(refusal) if refusal.reason == Reason::TargetCold),
    "{error:?}"
  );
  let (requests, _stream) = target.await.unwrap();
  let expected = [
    "GET /v1/load HTTP/1.1",
    "GET / HTTP/1.1",
    "GET / HTTP/1.1",
    "GET /v1/load HTTP/1.1",
  ];
  assert_eq!(requests, expected);
}

/// Defines a test: the time before a target writes its response once more on the connection, and the time
/// before the next request. Guards against the response to an earlier request that lies in a kept connection.
macro_rules! repeated_response_test {
  ($name:ident, $repeated_after_ms:expr, $next_after_ms:expr) => {
    #[tokio::test]
    async fn $name() {
      let (listener, address) = listen().await;
      let response = |body: &str| format!("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n{body}");
      tokio::spawn(async move {
        let (mut first, _) = listener.accept().await.unwrap();
        let mut bytes = [0; 1024];
        assert!(first.read(&mut bytes).await.unwrap() > 0);
        let once_more = match $repeated_after_ms {
          0 => {
            first.write_all(response("one").repeat(2).as_bytes()).await.unwrap();
            None
          }
          delay => {
            first.write_all(response("one").as_bytes()).await.unwrap();
            Some(tokio::time::sleep(Duration::from_millis(delay)))
          }
        };
        if let Some(pause) = once_more {
          pause.await;
          first.write_all(response("one").as_bytes()).await.unwrap();
        }
        let (mut second, _) = listener.accept().await.unwrap();
        assert!(second.read(&mut bytes).await.unwrap() > 0);
        second.write_all(response("two").as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_secs(5)).await;
      });
      let pool = Pool::new(Clock::system());
      for expected in ["one", "two"] {
        let call = Call {
          new_connection: false,
          ..call(address, Box::new(|| Ok(())))
        };
        let response = pool.send(call).await.unwrap();
        assert_eq!(
          http::collect(response.into_body(), 10).await.unwrap(),
          expected
        );
        tokio::time::sleep(Duration::from_millis($next_after_ms)).await;
      }
    }
  };
}

repeated_response_test!(response_repeated_at_once_is_not_read, 0, 0);
repeated_response_test!(response_repeated_at_once_is_not_read_later, 0, 100);
repeated_response_test!(response_repeated_on_an_idle_connection_is_not_read, 50, 150);
