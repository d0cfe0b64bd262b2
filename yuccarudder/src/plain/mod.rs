//! Proxies requests for plain HTTP services.
//!
//! A request that may be repeated is retried on other targets. Any other request with an
//! idempotency key goes through the key's home host, which dispatches it at most once and
//! stores its outcome. The rest are streamed to a target at most once.

mod call;
mod dispatch;
mod headers;
mod home;
mod keyed_request;
mod relay;

pub use call::{Inbound, handle, has_idempotency_key};
pub use dispatch::{Dispatch, RequestBody, dispatch};
pub use headers::{strip_hop_by_hop, strip_request, strip_response};
pub use home::run_at_home;
pub use keyed_request::KeyedRequest;
pub use relay::relay;

#[cfg(test)]
mod tests;
