use {
  super::*,
  crate::http::{Body, BodyError},
  bytes::Bytes,
  futures::{StreamExt, future, stream},
  http_body_util::{BodyExt, StreamBody},
  hyper::{Response, StatusCode, body::Frame, header::CONTENT_LENGTH},
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task,
  },
  tokio_util::sync::CancellationToken,
};

/// Returns a body of unknown length that ends as whole or breaks off, after a pause in which its first bytes
/// are sent.
fn body(is_whole: bool) -> Body {
  let first = stream::once(async { Ok(Frame::data(Bytes::from_static(b"abc"))) });
  let end = stream::once(async move {
    task::yield_now().await;
    let error: BodyError = "lost".into();
    (!is_whole).then_some(Err(error))
  });
  let frames = first.chain(end.filter_map(future::ready));
  StreamBody::new(Box::pin(frames)).boxed_unsync()
}

/// Sends a request; returns the bytes of the response and whether its connection was closed in order.
async fn exchange(
  request: &str,
  respond: impl Fn() -> Response<Body> + Clone + Send + 'static,
) -> (String, bool) {
  let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
  let mut stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
  let handle = move |_| {
    let response = respond();
    async move { response }
  };
  let stop = CancellationToken::new();
  let _stop = stop.clone().drop_guard();
  tokio::spawn(serve(listener, handle, stop));
  stream.write_all(request.as_bytes()).await.unwrap();
  let mut bytes = Vec::new();
  let is_closed = stream.read_to_end(&mut bytes).await.is_ok();
  (String::from_utf8(bytes).unwrap(), is_closed)
}

/// Defines a test: a request, a response without a length, whether its connection is closed in order, and the
/// end of what the caller receives. Guards against broken responses that look whole to callers that know no
/// chunks, and against whole ones that are reset.
macro_rules! end_test {
  ($name:ident, $request:expr, $respond:expr, $is_closed:expr, $end:expr) => {
    #[tokio::test]
    async fn $name() {
      let (text, is_closed) = exchange($request, $respond).await;
      assert_eq!(is_closed, $is_closed, "{text:?}");
      assert!(text.ends_with($end), "{text:?}");
    }
  };
}

fn respond_with(status: StatusCode, is_whole: bool) -> Response<Body> {
  let mut response = Response::new(body(is_whole));
  *response.status_mut() = status;
  response
}

fn respond_with_length() -> Response<Body> {
  let mut response = Response::new(body(true));
  response.headers_mut().insert(CONTENT_LENGTH, 3.into());
  response
}

/// Guards against a response that looks whole to a caller which reads slowly, if this process ends after the
/// end of the body and before its last bytes are written.
#[tokio::test]
async fn response_whose_last_bytes_are_not_written_is_reset() {
  let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
  let mut caller = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
  let unmarked = unmarked::Unmarked::default();
  let mut connection =
    connection::Connection::new(listener.accept().await.unwrap().0, unmarked.clone());
  let response = unmarked.watch(respond_with(StatusCode::OK, true));
  connection.write_all(b"a").await.unwrap();
  response.into_body().collect().await.unwrap();
  assert!(!unmarked.is_under_way());
  connection.write_all(b"b").await.unwrap();
  drop(connection);
  assert!(caller.read_to_end(&mut Vec::new()).await.is_err());
}

const GET: &str = "GET / HTTP/1.0\r\n\r\n";

end_test!(
  whole_response_is_closed,
  GET,
  || respond_with(StatusCode::OK, true),
  true,
  "\r\n\r\nabc"
);
end_test!(
  broken_response_is_reset,
  GET,
  || respond_with(StatusCode::OK, false),
  false,
  ""
);
end_test!(
  broken_response_is_reset_although_its_caller_would_keep_the_connection,
  "GET / HTTP/1.0\r\nconnection: keep-alive\r\n\r\n",
  || respond_with(StatusCode::OK, false),
  false,
  ""
);
end_test!(
  whole_response_of_known_length_is_closed,
  GET,
  respond_with_length,
  true,
  "\r\n\r\nabc"
);
end_test!(
  response_without_a_body_is_closed,
  GET,
  || respond_with(StatusCode::NO_CONTENT, true),
  true,
  "\r\n\r\n"
);
end_test!(
  response_to_head_is_closed,
  "HEAD / HTTP/1.0\r\n\r\n",
  || respond_with(StatusCode::OK, true),
  true,
  "\r\n\r\n"
);
end_test!(
  broken_response_in_chunks_lacks_the_last_one,
  "GET / HTTP/1.1\r\nhost: a\r\n\r\n",
  || respond_with(StatusCode::OK, false),
  true,
  "3\r\nabc\r\n"
);
end_test!(
  whole_response_in_chunks_has_the_last_one,
  "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
  || respond_with(StatusCode::OK, true),
  true,
  "0\r\n\r\n"
);
