use hyper::{
  Response,
  body::Body,
  header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};

/// What marks the end of a response's body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
  /// The last chunk.
  Chunks,
  /// The end of its connection, which a process that is killed causes as well.
  Close,
  /// Its length.
  Length,
}

impl Framing {
  /// Returns the framing of a response; one that cannot have a body has a length.
  ///
  /// A body also ends with its connection if the last transfer coding is not `chunked`.
  pub fn of_response<B: Body>(response: &Response<B>) -> Self {
    if response.body().is_end_stream() {
      return Self::Length;
    }
    let headers = response.headers();
    let Some(codings) = headers.get_all(TRANSFER_ENCODING).iter().next_back() else {
      return if headers.contains_key(CONTENT_LENGTH) {
        Self::Length
      } else {
        Self::Close
      };
    };
    let last = codings.to_str().ok().and_then(|codings| codings.rsplit(',').next());
    if last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked")) {
      Self::Chunks
    } else {
      Self::Close
    }
  }

  /// Returns what marks the end, for logs.
  pub fn name(self) -> &'static str {
    match self {
      Self::Chunks => "last_chunk",
      Self::Close => "close",
      Self::Length => "length",
    }
  }
}
