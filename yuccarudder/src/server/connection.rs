use {
  super::unmarked::Unmarked,
  socket2::SockRef,
  std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
  },
  tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
  },
};

/// The connection of a caller, which is reset unless a response that ends with it is whole.
///
/// The kernel resets it as well if this process is killed.
#[derive(Debug)]
pub struct Connection {
  is_reset_on_close: bool,
  stream: TcpStream,
  unmarked: Unmarked,
}

impl Connection {
  /// Wraps the connection on which `unmarked` says whether such a response is under way.
  pub fn new(stream: TcpStream, unmarked: Unmarked) -> Self {
    Self {
      is_reset_on_close: false,
      stream,
      unmarked,
    }
  }

  /// Tells the kernel how to close the connection.
  fn update_close(&mut self) -> io::Result<()> {
    let is_under_way = self.unmarked.is_under_way();
    if self.is_reset_on_close != is_under_way {
      SockRef::from(&self.stream).set_linger(is_under_way.then_some(Duration::ZERO))?;
      self.is_reset_on_close = is_under_way;
    }
    Ok(())
  }
}

impl AsyncRead for Connection {
  fn poll_read(
    mut self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
  ) -> Poll<io::Result<()>> {
    Pin::new(&mut self.stream).poll_read(cx, buffer)
  }
}

impl AsyncWrite for Connection {
  fn poll_write(
    mut self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    bytes: &[u8],
  ) -> Poll<io::Result<usize>> {
    self.update_close()?;
    Pin::new(&mut self.stream).poll_write(cx, bytes)
  }

  fn poll_write_vectored(
    mut self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    slices: &[IoSlice<'_>],
  ) -> Poll<io::Result<usize>> {
    self.update_close()?;
    Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
  }

  fn is_write_vectored(&self) -> bool {
    self.stream.is_write_vectored()
  }

  fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
    Pin::new(&mut self.stream).poll_flush(cx)
  }

  fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
    self.update_close()?;
    if self.is_reset_on_close {
      return Poll::Ready(Ok(()));
    }
    Pin::new(&mut self.stream).poll_shutdown(cx)
  }
}
