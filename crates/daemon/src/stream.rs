//! Reads from an unencrypted stream that report the number of bytes.

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

/// Most bytes of one read, which is the size of the buffer on the stack.
pub(crate) const READ_BUFFER_BYTES: usize = 8_192;

/// Reads into a cursor and returns the number of bytes, which is 0 at the end of the stream.
///
/// The cursor does not expose how many bytes were read, so they are read into a
/// buffer on the stack and copied.
pub(crate) fn poll_read(
    io: &mut HyperStream<TcpStream>,
    cx: &mut Context<'_>,
    mut cursor: ReadBufCursor<'_>,
) -> Poll<io::Result<usize>> {
    let mut bytes = [0; READ_BUFFER_BYTES];
    let size = bytes.len().min(cursor.remaining());
    let mut buffer = ReadBuf::new(&mut bytes[..size]);
    ready!(Pin::new(io).poll_read(cx, buffer.unfilled()))?;
    cursor.put_slice(buffer.filled());
    Poll::Ready(Ok(buffer.filled().len()))
}
