//! Callbacks in which workers report the state of jobs that they accepted, and the load reports that come
//! with them.

use crate::log::log_line;
use crate::net::Context;
use crate::net::core::request_table::AttemptUpdate;
use crate::net::http::framing::Reject;
use calicolb::api::{AttemptNote, Ending, Report};
use calicolb::wire::{Names, worker_id};
use serde::Deserialize;
use serde_json::Value;

/// Path of the callbacks.
pub const CALLBACK_PATH: &str = "/_jobs/news";

/// Maximum size of the callbacks that one iteration keeps for the other process, in bytes.
const MAX_UNMATCHED_BYTES: usize = 1 << 20;

/// The fields of a callback that are read.
#[derive(Deserialize)]
struct Callback {
    id: String,
    from: String,
    state: String,
    share: Option<f64>,
    result: Option<Value>,
    load: Option<Value>,
}

/// Whether a callback was of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallbackOutcome {
    /// It names a request that is open here or at the other process of this scheduler.
    Matched,
    /// It names no open request.
    Unmatched,
}

/// Processes a callback. A callback that matches no request is accepted too, because the worker would
/// otherwise send it again and again.
///
/// # Errors
/// Rejects a body that is no callback.
pub fn handle_callback(ctx: &mut Context<'_>, body: &[u8]) -> Result<CallbackOutcome, Reject> {
    let callback: Callback = serde_json::from_slice(body).map_err(|_| Reject(400))?;
    // Workers call whichever process accepts the connection, so the callback may be for the other process
    // that shares the listening socket.
    if !ctx.request_table.has_request(&callback.id) {
        return pass_on(ctx, &callback.id, body);
    }
    let update = match (callback.state.as_str(), callback.result) {
        ("started", _) => AttemptUpdate::Note(AttemptNote::Started),
        ("running", _) => AttemptUpdate::Note(AttemptNote::Progress(callback.share.unwrap_or(0.0))),
        ("done", Some(Value::String(text))) => AttemptUpdate::Served(text.into_bytes()),
        ("done", Some(other)) => AttemptUpdate::Served(other.to_string().into_bytes()),
        // The job ran, but there is no result to return.
        ("done", None) | ("failed", _) => AttemptUpdate::Ended(Ending::Error),
        ("returned", _) => AttemptUpdate::Ended(Ending::Full),
        ("lost", _) => AttemptUpdate::Ended(Ending::Broken),
        (other, _) => {
            log_line!("ignored a callback with unknown state '{}'", other.escape_debug());
            return Ok(CallbackOutcome::Matched);
        }
    };
    let report = callback.load.and_then(|value| parse_load_report(ctx.names, &value));
    ctx.request_table.attempt_update(ctx.now, &callback.id, worker_id(&callback.from), update, report);
    Ok(CallbackOutcome::Matched)
}

/// Keeps a callback that matches no request of this process for the other process of this scheduler, if there is one.
///
/// # Errors
/// Rejects a callback for which there is no room in this iteration; the worker sends it again.
fn pass_on(ctx: &mut Context<'_>, id: &str, body: &[u8]) -> Result<CallbackOutcome, Reject> {
    if !ctx.request_table.has_other_process() {
        return Ok(CallbackOutcome::Unmatched);
    }
    let kept: usize = ctx.unmatched_callbacks.iter().map(String::len).sum();
    if kept + body.len() > MAX_UNMATCHED_BYTES {
        return Err(Reject(503));
    }
    ctx.unmatched_callbacks.push(String::from_utf8_lossy(body).into_owned());
    let is_open = ctx.request_table.is_open_elsewhere(id);
    Ok(if is_open { CallbackOutcome::Matched } else { CallbackOutcome::Unmatched })
}

/// Parses a load report of a worker.
pub fn parse_load_report(names: &Names, value: &Value) -> Option<Report> {
    let fields = value.as_object()?;
    Some(names.report(fields.iter().filter_map(|(name, value)| Some((name.as_str(), value.as_f64()?)))))
}
