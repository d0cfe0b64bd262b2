//! Calls to plain services, whose bodies pass both ways.

mod answer;
mod call;
mod dispatch;
mod headers;
mod home;
mod keyed;

pub use answer::relay;
pub use call::{Inbound, call, has_key};
pub use dispatch::{Dispatch, Source, dispatch};
pub use headers::{strip_request, strip_response};
pub use home::run;
pub use keyed::Keyed;

#[cfg(test)]
mod tests;
