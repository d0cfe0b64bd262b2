use hyper::{
  HeaderMap,
  header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, VIA,
  },
};

const HOP_BY_HOP: [HeaderName; 9] = [
  CONNECTION,
  HeaderName::from_static("keep-alive"),
  PROXY_AUTHENTICATE,
  PROXY_AUTHORIZATION,
  HeaderName::from_static("proxy-connection"),
  TE,
  TRAILER,
  TRANSFER_ENCODING,
  UPGRADE,
];
const ROUTER_HEADERS: [HeaderName; 1] = [HeaderName::from_static("yuccarudder-ticket")];
const VIA_VALUE: HeaderValue = HeaderValue::from_static("1.1 yuccarudder");

/// Removes the headers that an intermediary must not forward (RFC 9110, section 7.6.1).
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
  let connection_options: Vec<HeaderName> = headers
    .get_all(CONNECTION)
    .iter()
    .filter_map(|value| value.to_str().ok())
    .flat_map(|value| value.split(','))
    .filter_map(|name| name.trim().parse().ok())
    .collect();
  for name in connection_options.iter().chain(&HOP_BY_HOP) {
    headers.remove(name);
  }
}

/// Prepares the headers of a caller's request for a target.
///
/// Removes the account's credential and ticket, which targets must not see, and `Host` and
/// `Content-Length`, which are set again when the request is sent.
pub fn strip_request(headers: &mut HeaderMap) {
  strip_hop_by_hop(headers);
  for name in ROUTER_HEADERS.iter().chain(&[AUTHORIZATION, CONTENT_LENGTH, HOST]) {
    headers.remove(name);
  }
  headers.append(VIA, VIA_VALUE);
}

/// Prepares the headers of a target's response for a caller.
pub fn strip_response(headers: &mut HeaderMap) {
  strip_hop_by_hop(headers);
  headers.append(VIA, VIA_VALUE);
}
