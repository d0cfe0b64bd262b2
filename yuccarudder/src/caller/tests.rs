use {
  super::*,
  crate::{
    clock::Clock,
    refusal::{Execution, Reason, Refusal},
  },
  bytes::Bytes,
  hyper::Method,
  std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
  },
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
  },
};

#[test]
fn refusal_body_parses_as_a_failure() {
  let refusal = Refusal::not_run(Reason::HostLeaving).with_retry_after(Duration::from_millis(20));
  let failure = Failure::parse(refusal.json().as_bytes()).unwrap();
  assert_eq!(failure.code, "host_leaving");
  assert_eq!(failure.ran, Execution::NotRun);
  assert_eq!(failure.retry_after, refusal.retry_after);
}

#[test]
fn body_without_an_error_object_is_not_a_failure() {
  assert_eq!(Failure::parse(b"{\"error\": \"no\"}"), None);
}

/// A simulated host that lists only itself, in a list that expires at once.
struct Host {
  address: SocketAddr,
  /// Heads of the requests other than those for the list of hosts.
  requests: Arc<Mutex<Vec<String>>>,
}

impl Host {
  /// Starts a host that answers requests, or closes its connections and its address at the first
  /// one.
  async fn start(ticket: &'static str, is_stopping: bool) -> Self {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests: Arc<Mutex<Vec<String>>> = Arc::default();
    let received = Arc::clone(&requests);
    tokio::spawn(async move {
      while let Ok((mut stream, _)) = listener.accept().await {
        let Some(head) = read_head(&mut stream).await else {
          continue;
        };
        let is_list = head.starts_with("get /v1/entries");
        if !is_list {
          received.lock().unwrap().push(head);
          if is_stopping {
            return;
          }
        }
        let body = if is_list {
          format!(
            r#"{{"entries":["{address}"],"keep_ms":0,"ticket":"{ticket}","ticket_ms":60000}}"#
          )
        } else {
          "done".into()
        };
        let length = body.len();
        let response =
          format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}");
        stream.write_all(response.as_bytes()).await.unwrap();
      }
    });
    Self { address, requests }
  }
}

/// Returns the head of a request in lower case, or `None` if the connection is closed before.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
  let mut bytes = Vec::new();
  while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
    if stream.read_buf(&mut bytes).await.ok()? == 0 {
      return None;
    }
  }
  Some(String::from_utf8_lossy(&bytes).to_lowercase())
}

/// Guards against calls that fail because the hosts of an expired list have stopped since, while the
/// others would serve them.
#[tokio::test]
async fn call_is_repeated_at_the_hosts_that_are_listed_by_then() {
  let stopping = Host::start("t-1", true).await;
  let other = Host::start("t-2", false).await;
  let hosts = vec![stopping.address, other.address];
  let client = Client::new(Clock::system(), hosts, "secret-key");
  let call = Call {
    body: Bytes::from_static(b"{}"),
    method: Method::POST,
    idempotency_key: Some("k-1".into()),
    path: "book".into(),
    service: "shop".into(),
  };
  let reply = client.call(&call).await.unwrap();
  assert_eq!(reply.body, "done");
  let requests = other.requests.lock().unwrap().clone();
  // Under another ticket it would be another key.
  assert_eq!(
    (stopping.requests.lock().unwrap().len(), requests.len()),
    (1, 1)
  );
  assert!(
    requests[0].contains("yuccarudder-ticket: t-1"),
    "{requests:?}"
  );
}
