//! Short notices to a process that takes tunnels: a head without a body, in the protocol that
//! tunnels are opened with. A process of an earlier release answers them with an error.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use compio::buf::BufResult;
use compio::io::AsyncWriteExt;
use compio::time::timeout;
use http::StatusCode;

use crate::connection::connect_stream;
use crate::tunnel::MAX_HEADERS;
use crate::tunnel::TunnelError;
use crate::tunnel::read_status;

/// The method of a notice.
const METHOD: &str = "NOTIFY";

/// The header that holds its text.
const TEXT_HEADER: &str = "Notice";

/// Sends one line of text to the process that takes tunnels at `peer`, within `time_limit`.
pub async fn send_notice(
    source: IpAddr,
    peer: SocketAddr,
    text: &str,
    time_limit: Duration,
) -> Result<(), TunnelError> {
    let head = format!("{METHOD} * HTTP/1.1\r\n{TEXT_HEADER}: {text}\r\n\r\n");
    let sent = timeout(time_limit, async {
        let mut stream = connect_stream(source, peer).await?;
        let BufResult(written, _) = stream.write_all(head.into_bytes()).await;
        written?;
        read_status(&mut stream).await
    });
    match sent.await {
        Ok(Ok(StatusCode::NO_CONTENT)) => Ok(()),
        Ok(Ok(_)) => Err(TunnelError::PeerRefuses),
        Ok(Err(_)) | Err(_) => Err(TunnelError::PeerSilent),
    }
}

/// The text of a notice, if a head is one.
pub(crate) fn notice_text(head: &[u8]) -> Option<&str> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let is_read = request.parse(head).is_ok_and(|parsed| parsed.is_complete());
    let is_notice = is_read && request.method == Some(METHOD);
    let mut headers = request.headers.iter().filter(|_| is_notice);
    let text = headers.find(|header| header.name.eq_ignore_ascii_case(TEXT_HEADER))?;
    std::str::from_utf8(text.value).ok()
}
