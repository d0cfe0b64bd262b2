use {
  super::*,
  hyper::{HeaderMap, header::HeaderName},
  yare::parameterized,
};

fn headers(lines: &[(&str, &str)]) -> HeaderMap {
  let mut headers = HeaderMap::new();
  for (name, value) in lines {
    headers.append(name.parse::<HeaderName>().unwrap(), value.parse().unwrap());
  }
  headers
}

#[parameterized(
  connection = { "connection" },
  credential = { "authorization" },
  keep_alive = { "keep-alive" },
  length = { "content-length" },
  connection_option = { "x-hop" },
  proxy = { "proxy-authorization" },
  ticket = { "yuccarudder-ticket" },
  transfer = { "transfer-encoding" },
  upgrade = { "upgrade" },
)]
fn request_header_is_removed(name: &str) {
  let mut headers = headers(&[("connection", "close, X-Hop"), (name, "1")]);
  strip_request(&mut headers);
  assert!(!headers.contains_key(name));
  assert!(!headers.contains_key("connection"));
}

#[parameterized(
  accept = { "accept" },
  cookie = { "cookie" },
  key = { "idempotency-key" },
  custom = { "x-club" },
)]
fn request_header_is_forwarded(name: &str) {
  let mut headers = headers(&[(name, "1")]);
  strip_request(&mut headers);
  assert_eq!(headers[name], "1");
  assert_eq!(headers["via"], "1.1 yuccarudder");
}

#[test]
fn response_keeps_its_length_and_loses_hop_by_hop_headers() {
  let mut headers = headers(&[
    ("content-length", "3"),
    ("connection", "x-hop"),
    ("x-hop", "1"),
  ]);
  strip_response(&mut headers);
  assert_eq!(headers["content-length"], "3");
  assert!(!headers.contains_key("x-hop"));
}

#[parameterized(
  both = { &["idempotency-key", "yuccarudder-ticket"], true },
  key = { &["idempotency-key"], false },
  none = { &[], false },
  ticket = { &["yuccarudder-ticket"], false },
)]
fn idempotency_key_needs_its_ticket(names: &[&str], expected: bool) {
  let lines: Vec<(&str, &str)> = names.iter().map(|name| (*name, "1")).collect();
  assert_eq!(has_idempotency_key(&headers(&lines)), expected);
}
