//! Snapshots of requests and complete responses, compared byte for byte except for ids, times,
//! lengths and addresses, which are masked.
//!
//! The requests use HTTP/1.0: its bodies end with the connection instead of being chunked, so
//! the bytes do not depend on how many tokens arrive at a time. `INSTA_UPDATE=always` rewrites
//! the snapshots.

use {
  rig::{
    engine,
    fleet::{CREDENTIAL, Fleet, MODEL, Options, SERVICE},
  },
  std::net::SocketAddr,
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
  },
  yuccarudder::platform::Key,
};

const MASKS: [(&str, &str); 8] = [
  (r"content-length: [0-9]+", "content-length: LENGTH"),
  (r"127\.\d+\.\d+\.\d+:\d+", "ADDRESS"),
  (r"k1\.[\w-]+\.[\w-]+", "SEALED"),
  (r"[0-9a-f]{32}", "GENERATION"),
  (r"[0-9a-f]{6}:(\d+) ", "TOKEN:$1 "),
  (r#""created":\d{10}"#, r#""created":TIME"#),
  (r"date: [^\r\n]*", "date: TIME"),
  (r"\r", ""),
];

async fn send_request(host: SocketAddr, request: &str) -> String {
  let mut stream = TcpStream::connect(host).await.unwrap();
  stream.write_all(request.as_bytes()).await.unwrap();
  let mut response = String::new();
  stream.read_to_string(&mut response).await.unwrap();
  response
}

async fn start_fleet() -> Fleet {
  let options = Options {
    engines: 1,
    hosts: 1,
    plain_servers: 1,
    ..Options::default()
  };
  Fleet::start(options).await.unwrap()
}

fn get_request(path: &str) -> String {
  format!("GET {path} HTTP/1.0\r\nauthorization: Bearer {CREDENTIAL}\r\n\r\n")
}

fn post_request(path: &str, headers: &str, body: &str) -> String {
  let length = body.len();
  format!(
    "POST {path} HTTP/1.0\r\nauthorization: Bearer {CREDENTIAL}\r\n{headers}content-length: {length}\r\n\r\n{body}"
  )
}

/// Defines a test that prepares the fleet, sends the requests and compares the session with the
/// snapshot of the same name.
macro_rules! session {
  ($name:ident, $prepare:expr, [$($request:expr),* $(,)?]) => {
    #[tokio::test(flavor = "multi_thread")]
    async fn $name() {
      let fleet = start_fleet().await;
      let prepare: fn(&Fleet) = $prepare;
      prepare(&fleet);
      let host = fleet.hosts[0].settings.callers;
      let mut session = String::new();
      for request in [$($request),*] {
        let response = send_request(host, &request).await;
        session.push_str(&format!("{request}\n-----\n{response}\n=====\n"));
      }
      insta::with_settings!({ filters => MASKS }, {
        insta::assert_snapshot!(stringify!($name), session);
      });
    }
  };
}

fn chat_request(fields: &str) -> String {
  let messages = r#"[{"role":"user","content":"Plan a week."}]"#;
  let body = format!(r#"{{"model":"{MODEL}","messages":{messages},"rig_tokens":3{fields}}}"#);
  post_request("/v1/chat/completions", "", &body)
}

fn text_request(fields: &str) -> String {
  let body = format!(r#"{{"model":"{MODEL}","prompt":"Plan a week.","rig_tokens":3{fields}}}"#);
  post_request("/v1/completions", "", &body)
}

fn booking_request(headers: &str) -> String {
  post_request(
    &format!("/v1/services/{SERVICE}/bookings"),
    headers,
    "seat 4",
  )
}

session!(chat_streamed, |_| {}, [chat_request(r#","stream":true"#)]);
session!(
  chat_streamed_with_usage,
  |_| {},
  [chat_request(
    r#","stream":true,"stream_options":{"include_usage":true}"#
  )]
);
session!(chat_whole, |_| {}, [chat_request("")]);
session!(entries, |_| {}, [get_request("/v1/entries")]);
session!(
  models,
  |_| {},
  [
    get_request("/v1/models"),
    get_request(&format!("/v1/models/{MODEL}"))
  ]
);
session!(
  plain_calls,
  |_| {},
  [
    get_request(&format!("/v1/services/{SERVICE}/slots")),
    booking_request(""),
    get_request(&format!("/v1/services/{SERVICE}/nowhere")),
  ]
);
session!(
  refused_requests,
  |_| {},
  [
    "GET /v1/models HTTP/1.0\r\n\r\n".to_owned(),
    get_request("/v2"),
    get_request("/v1/models/none"),
    get_request("/v1/generations/none"),
    get_request("/v1/services/none/slots"),
    post_request("/v1/chat/completions", "", "{"),
    chat_request(r#","n":2"#),
    booking_request("idempotency-key: a\r\n"),
    booking_request("yuccarudder-ticket: a\r\n"),
    booking_request("idempotency-key: a\r\nyuccarudder-ticket: a\r\n"),
  ]
);
session!(
  stream_of_a_lost_generation,
  |fleet| {
    fleet.engines[0].server.set_faults(engine::Faults {
      cut_after: 2,
      forget: true,
      ..engine::Faults::default()
    });
  },
  [chat_request(r#","stream":true"#)]
);
session!(text_streamed, |_| {}, [text_request(r#","stream":true"#)]);
session!(text_whole, |_| {}, [text_request("")]);

#[tokio::test(flavor = "multi_thread")]
async fn everything_out_of_service() {
  let fleet = start_fleet().await;
  let tree = fleet.tree(&["east-dist", "north-dist", "xiangshan"]);
  fleet.platform.server.publish(Key::Settings, tree);
  let host = fleet.hosts[0].host().unwrap().clone();
  while host.view.borrow().settings.newest_seen < 2 || host.targets.lock().rows()[0].takes_work {
    time::sleep(time::Duration::from_millis(5)).await;
  }
  let mut session = String::new();
  for request in [chat_request(""), booking_request("")] {
    let response = send_request(host.settings.callers, &request).await;
    session.push_str(&format!("{request}\n-----\n{response}\n=====\n"));
  }
  insta::with_settings!({ filters => MASKS }, {
    insta::assert_snapshot!("everything_out_of_service", session);
  });
}
