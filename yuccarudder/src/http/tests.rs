use {
  super::*,
  hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};

/// Defines a test: the reason phrase and a header value of a response, and whether its head contains another
/// one. Guards against heads of two responses that are taken for one.
macro_rules! nested_head_test {
  ($name:ident, $reason:expr, $value:expr, $is_nested:expr) => {
    #[test]
    fn $name() {
      let mut response = Response::new(());
      response.extensions_mut().insert(ReasonPhrase::from_static($reason));
      response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static($value));
      assert_eq!(has_nested_head(&response), $is_nested);
    }
  };
}

nested_head_test!(sound_head, b"Fine", "text/plain", false);
nested_head_test!(
  status_line_in_a_value,
  b"Fine",
  "texHTTP/1.1 500 Failed",
  true
);
nested_head_test!(older_status_line_in_a_value, b"Fine", "HTTP/1.0 500", true);
nested_head_test!(
  status_line_in_the_reason,
  b"FiHTTP/1.1 500 Failed",
  "text/plain",
  true
);
nested_head_test!(version_alone, b"Fine", "HTTP/1.1 proxy", false);
nested_head_test!(cut_status, b"Fine", "HTTP/1.1 50", false);

/// Defines a test: a header of a response, and what marks the end of its body. Guards against bodies
/// that count as whole although their connection broke.
macro_rules! framing_test {
  ($name:ident, $headers:expr, $framing:ident) => {
    #[test]
    fn $name() {
      let mut response = Response::new(full("body"));
      for (name, value) in $headers {
        response.headers_mut().append(name, HeaderValue::from_static(value));
      }
      assert_eq!(Framing::of_response(&response), Framing::$framing);
    }
  };
}

framing_test!(no_framing, [(CONTENT_TYPE, "text/plain")], Close);
framing_test!(length, [(CONTENT_LENGTH, "3")], Length);
framing_test!(chunks, [(TRANSFER_ENCODING, "chunked")], Chunks);
framing_test!(chunks_last, [(TRANSFER_ENCODING, "gzip, Chunked")], Chunks);
framing_test!(
  chunks_in_another_line,
  [(TRANSFER_ENCODING, "gzip"), (TRANSFER_ENCODING, "chunked")],
  Chunks
);
framing_test!(another_coding, [(TRANSFER_ENCODING, "identity")], Close);
framing_test!(
  another_coding_beside_a_length,
  [(TRANSFER_ENCODING, "gzip"), (CONTENT_LENGTH, "3")],
  Close
);

/// Returns a body of one frame that ends, or never does.
fn body(ends: bool) -> Body {
  let first = stream::once(async { Ok(hyper::body::Frame::data(Bytes::from_static(b"a"))) });
  if ends {
    StreamBody::new(Box::pin(first)).boxed_unsync()
  } else {
    StreamBody::new(Box::pin(futures::StreamExt::chain(
      first,
      stream::pending(),
    )))
    .boxed_unsync()
  }
}

/// Guards against responses of other hosts that outlast the request, and against ends that look whole.
#[tokio::test]
async fn interrupted_body_fails_after_what_has_arrived() {
  let mut interrupted = interruptible(body(false), async { "stop" });
  let first = interrupted.frame().await.unwrap().unwrap();
  assert_eq!(first.into_data().unwrap(), "a");
  assert_eq!(
    interrupted.frame().await.unwrap().unwrap_err().to_string(),
    "stop"
  );
  assert!(interrupted.frame().await.is_none());
  let whole = interruptible(body(true), std::future::pending::<&str>());
  assert_eq!(collect(whole, 10).await.unwrap(), "a");
}

/// Guards against responses that end as whole although what was to confirm that did not.
#[tokio::test]
async fn body_that_is_not_confirmed_fails_at_its_end() {
  let mut unconfirmed = confirmed(body(true), async { Err("gone".into()) });
  let first = unconfirmed.frame().await.unwrap().unwrap();
  assert_eq!(first.into_data().unwrap(), "a");
  assert_eq!(
    unconfirmed.frame().await.unwrap().unwrap_err().to_string(),
    "gone"
  );
  assert!(unconfirmed.frame().await.is_none());
  let whole = confirmed(body(true), async { Ok(()) });
  assert_eq!(collect(whole, 10).await.unwrap(), "a");
}

/// Guards against responses that lose their length, and against values that go before their body has ended.
#[tokio::test]
async fn body_keeps_a_value_until_it_ends() {
  let value = std::sync::Arc::new(());
  let kept = keeping(full("abc"), std::sync::Arc::clone(&value));
  assert_eq!(hyper::body::Body::size_hint(&kept).exact(), Some(3));
  assert_eq!(std::sync::Arc::strong_count(&value), 2);
  assert_eq!(collect(kept, 10).await.unwrap(), "abc");
  assert_eq!(std::sync::Arc::strong_count(&value), 1);
}
