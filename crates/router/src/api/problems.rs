//! Problem details (RFC 9457) for refusals.

use {
    axum::{
        http::{HeaderValue, StatusCode, header},
        response::{IntoResponse, Response},
    },
    jasminewall_core::{Refusal, RequestId},
    serde_json::{Value, json},
};

/// Returns the problem details of a refusal as JSON.
pub(super) fn to_json(request: Option<&RequestId>, refusal: &Refusal) -> Value {
    let code = refusal.code;
    let detail = refusal.note.as_deref().unwrap_or(code.detail());
    json!({
        "type": format!("urn:jasminewall:problem:{}", code.as_str()),
        "title": code.as_str().replace('_', " "), "status": code.status(), "code": code.as_str(),
        "detail": detail, "ran": code.ran(), "charged": refusal.charged, "request": request,
    })
}

/// Returns the response for a refusal.
pub(super) fn render(request: Option<&RequestId>, refusal: &Refusal) -> Response {
    let status =
        StatusCode::from_u16(refusal.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = (status, to_json(request, refusal).to_string()).into_response();
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    headers.insert("x-jasminewall-charged", HeaderValue::from(refusal.charged));
    if let Some(Ok(id)) = request.map(|id| HeaderValue::from_str(id)) {
        headers.insert("x-jasminewall-request", id);
    }
    if let Some(delay) = refusal.retry_after {
        headers.insert(
            header::RETRY_AFTER,
            HeaderValue::from(delay.as_secs().max(1)),
        );
    }
    response
}
