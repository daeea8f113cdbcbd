//! Headers of requests and responses, on the callers' side and the upstreams'.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compact_str::CompactString;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use wigeonhinge::id::ServiceId;
use wigeonhinge::id::TeamId;
use wigeonhinge::outcome::ErrorKind;

pub(crate) const RUN: HeaderName = HeaderName::from_static("wigeonhinge-run");
pub(crate) const RETRY: HeaderName = HeaderName::from_static("wigeonhinge-retry");
pub(crate) const KIND: HeaderName = HeaderName::from_static("wigeonhinge-kind");
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("wigeonhinge-request-id");
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("wigeonhinge-deadline-ms");
pub(crate) const IDEMPOTENT: HeaderName = HeaderName::from_static("wigeonhinge-idempotent");
pub(crate) const TEAM: HeaderName = HeaderName::from_static("wigeonhinge-team");
pub(crate) const LEAVING: HeaderName = HeaderName::from_static("wigeonhinge-leaving");

const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);
const MAX_TEAM_BYTES: usize = 64;

/// Headers that apply to one connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// A request as parsed from its request line and headers.
#[derive(Debug)]
pub(super) struct ParsedRequest {
    pub(super) service: ServiceId,
    pub(super) team: TeamId,
    pub(super) idempotent: bool,
    /// Time that the caller allows for the response.
    pub(super) deadline: Duration,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
}

/// Parses a request; the first path segment names the service.
pub(super) fn parse(parts: Parts) -> Result<ParsedRequest, ErrorKind> {
    let Parts {
        method,
        uri,
        mut headers,
        ..
    } = parts;
    let path = uri.path_and_query().ok_or(ErrorKind::BadRequest)?;
    let rest = path.path().strip_prefix('/').ok_or(ErrorKind::BadRequest)?;
    if method == Method::CONNECT {
        return Err(ErrorKind::BadRequest);
    }
    let service = ServiceId::from(rest.split('/').next().unwrap_or_default());
    let team = team(&headers)?;
    let idempotent = idempotent(&headers, &method)?;
    let deadline = deadline(&headers)?;
    strip_hop_by_hop(&mut headers);
    headers.remove(header::EXPECT);
    headers.remove(header::CONTENT_LENGTH);
    let uri = Uri::from(path.clone());
    Ok(ParsedRequest {
        service,
        team,
        idempotent,
        deadline,
        method,
        uri,
        headers,
    })
}

/// Builds the request that goes to the upstream.
pub(super) fn upstream_request(parsed: &ParsedRequest, id: &str, deadline: Instant) -> Request<()> {
    let mut request = Request::new(());
    *request.method_mut() = parsed.method.clone();
    *request.uri_mut() = parsed.uri.clone();
    let headers = request.headers_mut();
    headers.clone_from(&parsed.headers);
    let left = deadline.saturating_duration_since(Instant::now());
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE, HeaderValue::from(left));
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID, id);
    }
    request
}

/// Builds the response to the caller from the response of an upstream.
pub(super) fn caller_response(answer: Response<Bytes>, id: &str) -> Response<Bytes> {
    let (mut parts, body) = answer.into_parts();
    strip_hop_by_hop(&mut parts.headers);
    parts.headers.remove(LEAVING);
    if !body.is_empty() {
        parts.headers.remove(header::CONTENT_LENGTH);
    }
    parts.headers.insert(RUN, HeaderValue::from_static("ran"));
    if let Ok(id) = HeaderValue::from_str(id) {
        parts.headers.insert(REQUEST_ID, id);
    }
    Response::from_parts(parts, body)
}

/// Builds the response to the caller for an error.
///
/// The kinds after which the rest of the request may still arrive close the
/// connection.
pub(super) fn error_response(kind: ErrorKind) -> Response<Bytes> {
    let answer = kind.response();
    let mut response = Response::new(Bytes::new());
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(KIND, HeaderValue::from_static(answer.name));
    headers.insert(RETRY, HeaderValue::from_static(answer.retry.as_str()));
    headers.insert(RUN, HeaderValue::from_static(answer.run.as_str()));
    if matches!(
        kind,
        ErrorKind::BadRequest | ErrorKind::BodyTooLarge | ErrorKind::SlowSender
    ) {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn team(headers: &HeaderMap) -> Result<TeamId, ErrorKind> {
    let team = text(headers, &TEAM)?.unwrap_or_default();
    if team.len() > MAX_TEAM_BYTES {
        return Err(ErrorKind::BadRequest);
    }
    Ok(TeamId::from(team))
}

fn idempotent(headers: &HeaderMap, method: &Method) -> Result<bool, ErrorKind> {
    match text(headers, &IDEMPOTENT)? {
        Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(_) => Err(ErrorKind::BadRequest),
        None => Ok(method.is_idempotent() && *method != Method::TRACE),
    }
}

fn deadline(headers: &HeaderMap) -> Result<Duration, ErrorKind> {
    let Some(text) = text(headers, &DEADLINE)? else {
        return Ok(DEFAULT_DEADLINE);
    };
    let ms = text.parse().map_err(|_| ErrorKind::BadRequest)?;
    Ok(Duration::from_millis(ms).min(MAX_DEADLINE))
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, ErrorKind> {
    headers
        .get(name)
        .map(HeaderValue::to_str)
        .transpose()
        .map_err(|_| ErrorKind::BadRequest)
}

/// Removes the hop-by-hop headers, including those that `Connection` names.
fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<CompactString> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| CompactString::from(name.trim()))
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}
