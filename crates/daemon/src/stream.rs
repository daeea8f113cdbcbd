//! Reads from a plain stream through a buffer on the stack.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::rt::Read;
use hyper::rt::ReadBuf;
use hyper::rt::ReadBufCursor;

/// Bytes that one read takes at most.
pub(crate) const READ_BUFFER_BYTES: usize = 8_192;

/// Reads into a cursor and returns the number of bytes, 0 at the end.
///
/// The cursor does not tell how much was read, so the bytes pass through a
/// buffer of their own.
pub(crate) fn poll_read(
    io: &mut HyperStream<TcpStream>,
    cx: &mut Context<'_>,
    mut cursor: ReadBufCursor<'_>,
) -> Poll<io::Result<usize>> {
    let mut scratch = [0; READ_BUFFER_BYTES];
    let size = scratch.len().min(cursor.remaining());
    let mut buffer = ReadBuf::new(&mut scratch[..size]);
    ready!(Pin::new(io).poll_read(cx, buffer.unfilled()))?;
    cursor.put_slice(buffer.filled());
    Poll::Ready(Ok(buffer.filled().len()))
}
