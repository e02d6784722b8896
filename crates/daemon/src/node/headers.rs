//! Names of the headers that callers, targets and other nodes use.

use http::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Header by which callers name what is left of a call's deadline, unless the settings name another.
const TIME_LEFT: HeaderName = HeaderName::from_static("x-request-timeout-ms");
/// Header that marks an answer as made by the system, with the result code.
pub(crate) const CODE: HeaderName = HeaderName::from_static("kingcuplift-code");
/// Header with the envelope of a call between nodes.
pub(crate) const ENVELOPE: HeaderName = HeaderName::from_static("kingcuplift-call");
/// Header with what a node says of its target's load: calls that run or wait, and the limit.
pub(crate) const LOAD: HeaderName = HeaderName::from_static("kingcuplift-load");
/// Header with the time after which a refused call would have room, in milliseconds.
pub(crate) const ROOM: HeaderName = HeaderName::from_static("kingcuplift-room");
/// Header with the time for which the other side keeps an unused connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    CONTENT_LENGTH,
];

/// Names of the headers that callers and targets use; `None` means that there is no such header.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of a call; targets repeat it in their answers.
    pub call: Option<HeaderName>,
    /// What is left of a call's deadline, in milliseconds.
    pub time_left: Option<HeaderName>,
    /// Proof of a target's answer; a success without it is damaged.
    pub seal: Option<HeaderName>,
    /// Instance that a call is meant for.
    pub instance: Option<HeaderName>,
    /// Marks answers of targets that have not run the call.
    pub not_run: Option<HeaderName>,
    /// Service on the VM at which a call began.
    pub caller: Option<HeaderName>,
    /// Instance that answers a health request.
    pub own_instance: Option<HeaderName>,
    /// Time for which a target stays cold, in milliseconds.
    pub warmup: Option<HeaderName>,
}

impl Default for HeaderNames {
    fn default() -> Self {
        Self {
            call: None,
            time_left: Some(TIME_LEFT),
            seal: None,
            instance: None,
            not_run: None,
            caller: None,
            own_instance: None,
            warmup: None,
        }
    }
}

/// Returns the text of a header that may not exist.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: Option<&HeaderName>) -> Option<&'a str> {
    headers.get(name?)?.to_str().ok()
}

/// Sets a header that may not exist; a value that no header can hold is left out.
pub(crate) fn set(headers: &mut HeaderMap, name: Option<&HeaderName>, value: &str) {
    let (Some(name), Ok(value)) = (name, HeaderValue::from_str(value)) else { return };
    headers.insert(name, value);
}

/// Removes the headers that concern one connection only.
pub(crate) fn strip_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Returns how long the other side keeps an unused connection, in seconds, if it says so.
pub(crate) fn keep_alive_seconds(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let parts = text.split(',').filter_map(|part| part.trim().strip_prefix("timeout="));
    parts.filter_map(|seconds| seconds.parse().ok()).next()
}
