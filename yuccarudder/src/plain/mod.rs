//! Calls to plain services, whose bodies pass both ways.

mod answer;
mod call;
mod dispatch;
mod headers;
mod home;
mod keyed_request;

pub use answer::relay;
pub use call::{Inbound, handle, has_idempotency_key};
pub use dispatch::{Dispatch, RequestBody, dispatch};
pub use headers::{strip_request, strip_response};
pub use home::run_at_home;
pub use keyed_request::KeyedRequest;

#[cfg(test)]
mod tests;
