//! Jobs of clients' requests.

use crate::net::Context;
use crate::net::core::envelope::{Envelope, Payload};
use crate::net::core::memory::MemoryCharge;
use crate::net::core::request_table::{ClientUpdates, Job};
use crate::net::core::transfer::Transfer;
use crate::net::http::framing::{self, Reject, Request};
use calicolb::api::{ClassIx, Micros};
use calicolb::wire;
use std::rc::Rc;

const SECOND: Micros = 1_000_000;
/// Upper bound of the `Request-Timeout` of a client, in seconds.
const MAX_CLIENT_TIMEOUT_S: f64 = 3600.0;

/// Builds the job of a transferred request, if its class is known here.
pub(super) fn job_from_transfer(ctx: &Context<'_>, transfer: &Transfer) -> Result<Job<Payload>, Reject> {
    let Envelope { target, headers, body, .. } = transfer.envelope.clone();
    let keep_alive = transfer.keep_alive;
    job_from_request(ctx, Request { method: "POST".to_owned(), target, headers, body, keep_alive })
}

/// Builds the job of a client's request.
pub(super) fn job_from_request(ctx: &Context<'_>, request: Request) -> Result<Job<Payload>, Reject> {
    let path = request.path().to_owned();
    let class_name = path.trim_start_matches('/').split('/').next().unwrap_or("");
    let class = ctx.names.class(class_name).map_err(|_| Reject(404))?;
    if request.method == "POST" { parse_job(ctx, class, class_name, request) } else { Err(Reject(405)) }
}

fn parse_job(
    ctx: &Context<'_>,
    class: ClassIx,
    class_name: &str,
    request: Request,
) -> Result<Job<Payload>, Reject> {
    let bad_request = Reject(400);
    let header = |name: &str| request.headers.get(name);
    if header("request-class").is_some_and(|class| class != class_name) {
        return Err(bad_request);
    }
    let id = header("request-id").filter(|id| is_valid_request_id(id)).ok_or(bad_request)?.to_owned();
    let parse_number =
        |text: &str| text.trim().parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0);
    let timeout_s = parse_number(header("request-timeout").ok_or(bad_request)?)
        .ok_or(bad_request)?
        .min(MAX_CLIENT_TIMEOUT_S);
    let tenant = match header("tenant") {
        // A tenant that the settings do not know has no share to count against.
        Some(name) => ctx.names.tenant(name).ok(),
        None => None,
    };
    let hint = header("work-hint").map(|text| parse_number(text).ok_or(bad_request)).transpose()?;
    let retry = header("client-retry") == Some("1");
    let (mut slots, mut memory) = (None, 0.0);
    for pair in header("request-info").unwrap_or("").split(',').filter(|pair| !pair.trim().is_empty()) {
        let (key, value) = pair.split_once('=').ok_or(bad_request)?;
        match key.trim() {
            "slots" | "needs" => slots = Some(parse_number(value).ok_or(bad_request)?.ceil() as u32),
            "memory" => memory = parse_number(value).ok_or(bad_request)?,
            _ => {}
        }
    }
    let Request { target, headers, body, .. } = request;
    let key = framing::query_parameter(&target, "obj").map(wire::fnv1a_hash);
    // The class determines which skill a worker must have for the job.
    let skill = class.0 as u32;
    let charge = MemoryCharge::default();
    let mut envelope = Envelope { name: id.clone(), skill, target, headers, body, charge };
    envelope.charge_to(ctx.memory);
    Ok(Job {
        name: id,
        class,
        tenant,
        hint,
        client_timeout: (timeout_s * SECOND as f64) as Micros,
        slots,
        memory,
        key,
        retry,
        skill,
        updates: ClientUpdates::Nothing,
        payload_bytes: envelope.memory(),
        payload: Rc::new(envelope),
    })
}

/// The id is part of the path of a cancellation, so it must not contain characters that are special in a
/// path.
fn is_valid_request_id(id: &str) -> bool {
    (1..=128).contains(&id.len())
        && id.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte))
}
