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

/// Processes a callback. A callback that matches no request is accepted too, because the worker would
/// otherwise send it again and again.
pub fn handle_callback(ctx: &mut Context<'_>, body: &[u8]) -> Result<(), Reject> {
    let callback: Callback = serde_json::from_slice(body).map_err(|_| Reject(400))?;
    // Workers call whichever process accepts the connection, so the callback may be for the other process
    // that shares the listening socket.
    if !ctx.request_table.has_request(&callback.id) {
        ctx.unmatched_callbacks.push(String::from_utf8_lossy(body).into_owned());
        return Ok(());
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
            return Ok(());
        }
    };
    let report = callback.load.and_then(|value| parse_load_report(ctx.names, &value));
    ctx.request_table.attempt_update(ctx.now, &callback.id, worker_id(&callback.from), update, report);
    Ok(())
}

/// Parses a load report of a worker.
pub fn parse_load_report(names: &Names, value: &Value) -> Option<Report> {
    let fields = value.as_object()?;
    Some(names.report(fields.iter().filter_map(|(name, value)| Some((name.as_str(), value.as_f64()?)))))
}
