//! Guards against problem details that lack a member or differ from their code.

use std::time::Duration;

use jasminewall_core::{Refusal, RefusalCode, RequestId};

use super::problems;

#[test]
fn every_code_is_rendered() {
    let request = RequestId::from("jw-vm-1-1");
    let bodies: Vec<String> = RefusalCode::ALL
        .iter()
        .map(|code| problems::body(Some(&request), &(*code).into()).to_string())
        .collect();
    insta::assert_snapshot!(bodies.join("\n"));
}

#[test]
fn response_has_status_type_charge_and_wait() {
    let refusal = Refusal::new(RefusalCode::TokensOutOfReach)
        .charged(7)
        .retry_after(Duration::from_millis(200));
    let response = problems::render(None, &refusal);
    assert_eq!(response.status(), 503);
    let headers = response.headers();
    assert_eq!(headers["content-type"], "application/problem+json");
    assert_eq!(headers["x-jasminewall-charged"], "7");
    // A wait of 0 s would invite a retry at once.
    assert_eq!(headers["retry-after"], "1");
}
