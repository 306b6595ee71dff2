//! Calls of plain services.

use std::{sync::Arc, time::Instant};

use {
    axum::{extract::Request, http::Uri, response::Response},
    jasminewall_core::{Refusal, RefusalCode, RequestId, record::EndpointKind},
};

use super::{
    CallerApi, auth,
    execute::{self, AnswerPrice},
    once, tickets,
};

/// Forwards one call.
pub(super) async fn run(
    api: Arc<CallerApi>,
    id: RequestId,
    received: Instant,
    request: Request,
) -> Result<Response, Refusal> {
    let (parts, body) = request.into_parts();
    let (route, path) = split(&parts.uri).ok_or(RefusalCode::UnknownPath)?;
    let caller = auth::authorize(
        &api,
        id,
        received,
        &parts.headers,
        route,
        EndpointKind::PlainService,
    )?;
    let body = execute::read_body(&api, &parts.headers, body).await?;
    let price = caller.route.price;
    let job = execute::job_of(
        &api,
        &caller,
        price,
        (parts.method.clone(), path.to_owned()),
        execute::end_to_end(&parts.headers),
        (&body, body.clone()),
    );
    let price = AnswerPrice::Call(price);
    if parts.headers.contains_key(tickets::HEADER) || !caller.route.idempotent {
        let call = once::OnceCall::new(&caller, &parts, body);
        return once::run(&api, &caller, job, call, price).await;
    }
    let whole = execute::run_whole(&api, &caller, &job, price).await?;
    Ok(whole.into_response(&api, &caller))
}

/// Route name, and the path with the query as the service sees it.
fn split(uri: &Uri) -> Option<(&str, &str)> {
    let rest = uri.path_and_query()?.as_str().strip_prefix("/svc/")?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (route, path) = rest.split_at(end);
    match path {
        "" => Some((route, "/")),
        path if path.starts_with('?') => None,
        path => Some((route, path)),
    }
}
