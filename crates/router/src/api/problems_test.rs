//! Problem details must have all members and agree with their refusal code.

use std::time::Duration;

use jasminewall_core::{Refusal, RefusalCode, RequestId};

use super::problems;

#[test]
fn every_code_is_rendered() {
    let request = RequestId::from("jw-vm-1-1");
    let bodies: Vec<String> = RefusalCode::ALL
        .iter()
        .map(|code| problems::to_json(Some(&request), &(*code).into()).to_string())
        .collect();
    insta::assert_snapshot!(bodies.join("\n"));
}

#[test]
fn response_has_status_type_charge_and_retry_after() {
    let refusal = Refusal::new(RefusalCode::TokensOutOfReach)
        .charged(7)
        .retry_after(Duration::from_millis(200));
    let response = problems::render(None, &refusal);
    assert_eq!(response.status(), 503);
    let headers = response.headers();
    assert_eq!(headers["content-type"], "application/problem+json");
    assert_eq!(headers["x-jasminewall-charged"], "7");
    // A delay of 0 s would make clients retry immediately.
    assert_eq!(headers["retry-after"], "1");
}
