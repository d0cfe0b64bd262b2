use {
  super::{frame::Hello, handshake::Purpose, *},
  crate::tree::Secret,
  bytes::Bytes,
  futures::{SinkExt, StreamExt},
  proptest::prelude::*,
  tokio::net::{TcpListener, TcpStream},
  tokio_util::codec::{Framed, LengthDelimitedCodec},
};

fn identity(host: u8) -> Identity {
  Identity {
    host: ([10, 0, 0, host], 80).into(),
    incarnation: host.into(),
  }
}

fn secret(id: &str, byte: u8) -> Secret {
  Secret {
    bytes: vec![byte; 32],
    id: id.into(),
  }
}

/// Performs a handshake and returns the results of the accepting and the connecting side.
async fn handshake(
  accepting_secrets: &[Secret],
  connecting_secrets: &[Secret],
) -> (anyhow::Result<()>, anyhow::Result<()>) {
  let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
  let address = listener.local_addr().unwrap();
  let accepting = async {
    let (stream, _) = listener.accept().await?;
    let (_, peer, purpose) = accept(stream, identity(2), accepting_secrets).await?;
    assert_eq!((peer, purpose), (identity(1), Purpose::Forward));
    Ok(())
  };
  let connecting = async {
    let (_, peer) = connect(address, identity(1), Purpose::Forward, connecting_secrets).await?;
    assert_eq!(peer, identity(2));
    Ok(())
  };
  tokio::join!(accepting, connecting)
}

#[tokio::test]
async fn hosts_with_a_shared_secret_connect() {
  let (accepted, connected) = handshake(&[secret("k", 1)], &[secret("k", 1)]).await;
  accepted.unwrap();
  connected.unwrap();
}

#[tokio::test]
async fn hosts_connect_during_secret_rotation() {
  let old = [secret("old", 1)];
  let both = [secret("new", 2), secret("old", 1)];
  let (accepted, connected) = handshake(&both, &old).await;
  accepted.unwrap();
  connected.unwrap();
}

#[tokio::test]
async fn host_with_a_different_secret_is_rejected() {
  let (accepted, connected) = handshake(&[secret("k", 1)], &[secret("k", 2)]).await;
  accepted.unwrap_err();
  connected.unwrap_err();
}

#[tokio::test]
async fn host_with_an_incompatible_protocol_version_is_rejected() {
  let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
  let address = listener.local_addr().unwrap();
  let connecting = async {
    let stream = TcpStream::connect(address).await.unwrap();
    let mut transport = Framed::new(stream, LengthDelimitedCodec::new());
    let hello = Hello {
      host: "10.0.0.1:80".into(),
      incarnation: 1,
      key: "k".into(),
      nonce: Bytes::from(vec![0; 32]),
      purpose: 2,
      version: 9,
      version_min: 8,
    };
    transport.send(Frame::encode_message(Message::Hello(hello))).await.unwrap();
    while transport.next().await.is_some_and(|frame| frame.is_ok()) {}
  };
  let accepting = async {
    let (stream, _) = listener.accept().await.unwrap();
    accept(stream, identity(2), &[secret("k", 1)]).await
  };
  let (accepted, ()) = tokio::join!(accepting, connecting);
  let error = accepted.err().unwrap().to_string();
  assert_eq!(
    error,
    "the other host supports protocol versions 8 to 9, this host 1 to 1"
  );
}

proptest! {
  #[test]
  fn decoding_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
    let _ = Frame::decode_message(&bytes);
  }

  #[test]
  fn decoding_inverts_encoding(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
    let message = Message::Data(bytes.into());
    let frame = Frame::encode_message(message.clone());
    prop_assert_eq!(Frame::decode_message(&frame).unwrap(), message);
  }
}
