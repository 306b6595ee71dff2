//! Calls to plain services.

use std::{sync::Arc, time::Instant};

use {
    axum::{extract::Request, http::Uri, response::Response},
    jasminewall_core::{Refusal, RefusalCode, RequestId, record::EndpointKind},
};

use super::{
    CallerApi, auth,
    execute::{self, ResponsePrice},
    once, tickets,
};

/// Handles one call to a plain service.
pub(super) async fn run(
    api: Arc<CallerApi>,
    id: RequestId,
    received_at: Instant,
    request: Request,
) -> Result<Response, Refusal> {
    let (parts, body) = request.into_parts();
    let (route, path) = split_target(&parts.uri).ok_or(RefusalCode::UnknownPath)?;
    let context = auth::authorize(
        &api,
        id,
        received_at,
        &parts,
        route,
        EndpointKind::PlainService,
    )?;
    let body = execute::read_body(&api, &parts, body).await?;
    let price = context.route.price;
    let job = execute::build_job(
        &api,
        &context,
        price,
        (parts.method.clone(), path.to_owned()),
        execute::end_to_end_headers(&parts.headers),
        (&body, body.clone()),
    );
    let price = ResponsePrice::Call(price);
    if parts.headers.contains_key(tickets::TICKET_HEADER) || !context.route.idempotent {
        let call = once::OnceCall::new(&context, &parts, body);
        return once::run(&api, &context, job, call, price).await;
    }
    let response = execute::run_buffered(&api, &context, &job, price).await?;
    Ok(response.into_response(&api, &context))
}

/// Splits a URI into the route name and the path with query that the service receives.
fn split_target(uri: &Uri) -> Option<(&str, &str)> {
    let rest = uri.path_and_query()?.as_str().strip_prefix("/svc/")?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (route, path) = rest.split_at(end);
    match path {
        "" => Some((route, "/")),
        path if path.starts_with('?') => None,
        path => Some((route, path)),
    }
}
