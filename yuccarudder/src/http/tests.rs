use super::*;

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
