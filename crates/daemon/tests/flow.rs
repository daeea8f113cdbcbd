//! Requests through an entry to healthy upstreams.

#[path = "support/site.rs"]
mod site;

use std::time::Duration;

use wigeonhinge_standin::caller;
use wigeonhinge_standin::caller::Verdict;

use crate::site::Site;

/// An entry forwards a request and marks the response as run.
#[test]
fn flow_answers() {
    let site = Site::open(1);
    let answer = site.post("quoting", "");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("wigeonhinge-run"), "ran");
}

/// Guards against responses that are lost or go to another request under load.
#[test]
fn flow_under_load() {
    let site = Site::open(2);
    let records = site.load(200.0, Duration::from_secs(1), 7);
    let verdict = caller::compare(&records, &site.ledgers());
    let expected = Verdict {
        requests: records.len(),
        answered: records.len(),
        ..Verdict::default()
    };
    assert_eq!(verdict, expected);
}
