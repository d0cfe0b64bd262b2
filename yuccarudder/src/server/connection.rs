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

  /// Tells the kernel whether to reset the connection if it is closed.
  fn set_reset_on_close(&mut self, is_reset_on_close: bool) -> io::Result<()> {
    if self.is_reset_on_close != is_reset_on_close {
      let linger = is_reset_on_close.then_some(Duration::ZERO);
      SockRef::from(&self.stream).set_linger(linger)?;
      self.is_reset_on_close = is_reset_on_close;
    }
    Ok(())
  }

  /// Has the connection reset if a response is under way. One whose body has ended may still have bytes to
  /// write.
  fn begin_write(&mut self) -> io::Result<()> {
    if self.unmarked.is_under_way() {
      self.set_reset_on_close(true)?;
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
    self.begin_write()?;
    Pin::new(&mut self.stream).poll_write(cx, bytes)
  }

  fn poll_write_vectored(
    mut self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    slices: &[IoSlice<'_>],
  ) -> Poll<io::Result<usize>> {
    self.begin_write()?;
    Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
  }

  fn is_write_vectored(&self) -> bool {
    self.stream.is_write_vectored()
  }

  fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
    Pin::new(&mut self.stream).poll_flush(cx)
  }

  fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
    // Shut down once all is written.
    let is_under_way = self.unmarked.is_under_way();
    self.set_reset_on_close(is_under_way)?;
    if self.is_reset_on_close {
      return Poll::Ready(Ok(()));
    }
    Pin::new(&mut self.stream).poll_shutdown(cx)
  }
}
