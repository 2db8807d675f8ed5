//! What next hops tell of jobs that they took: call-backs, and the load reports that come along.

use crate::log::log_line;
use crate::net::Ctx;
use crate::net::core::desk::News;
use crate::net::http::framing::Reject;
use calicolb::api::{Ending, Note, Report};
use calicolb::wire::{Names, hop_id};
use serde::Deserialize;
use serde_json::Value;

/// A call-back, as far as it is read.
#[derive(Deserialize)]
struct CallBack {
    id: String,
    from: String,
    state: String,
    share: Option<f64>,
    result: Option<Value>,
    load: Option<Value>,
}

/// Takes a call-back. One that fits nothing is taken all the same, or it would come again and again.
pub fn call_back(ctx: &mut Ctx<'_>, body: &[u8]) -> Result<(), Reject> {
    let call: CallBack = serde_json::from_slice(body).map_err(|_| Reject(400))?;
    // Next hops call whoever takes the connection: it may be for the other process on this socket.
    if !ctx.desk.knows(&call.id) {
        ctx.strays.push(String::from_utf8_lossy(body).into_owned());
        return Ok(());
    }
    let news = match (call.state.as_str(), call.result) {
        ("started", _) => News::Note(Note::Started),
        ("running", _) => News::Note(Note::Progress(call.share.unwrap_or(0.0))),
        ("done", Some(Value::String(text))) => News::Served(text.into_bytes()),
        ("done", Some(other)) => News::Served(other.to_string().into_bytes()),
        // It ran, but there is no result to serve.
        ("done", None) | ("failed", _) => News::Over(Ending::Error),
        ("returned", _) => News::Over(Ending::Full),
        ("lost", _) => News::Over(Ending::Broken),
        (other, _) => {
            log_line!("a call-back of unknown state '{}'", other.escape_debug());
            return Ok(());
        }
    };
    let report = call.load.and_then(|value| report_of(ctx.names, &value));
    ctx.desk.news(ctx.now, &call.id, hop_id(&call.from), news, report);
    Ok(())
}

/// A load report as a next hop writes it.
pub fn report_of(names: &Names, value: &Value) -> Option<Report> {
    let fields = value.as_object()?;
    Some(names.report(fields.iter().filter_map(|(name, value)| Some((name.as_str(), value.as_f64()?)))))
}
