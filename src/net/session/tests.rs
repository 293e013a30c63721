use super::statements::query;
use super::*;

fn names() -> Names {
    let map = |n: &[&str]| n.iter().enumerate().map(|(i, s)| (s.to_string(), i)).collect();
    Names { classes: map(&["lookup"]), tenants: map(&["mart", "cafe"]), zones: map(&[]), kinds: map(&[]) }
}

fn tenant(fields: &str) -> Option<usize> {
    let sql = format!("/* method=lookup,rid=9b1f03aa5c7e2d41,budget=1500{fields} */ SELECT a FROM s_1.t");
    match query(&sql, &names()) {
        Ok(Meant::Asked(Asked::Request(r, ..))) => r.tenant,
        _ => panic!("not a request"),
    }
}

// Shares are per tenant, and the decisions can only keep them where the network passes `acct` on: it was
// read nowhere, so a site with shares had every request counted as nobody's.
#[test]
fn the_tenant_a_request_names_is_passed_on() {
    assert_eq!(tenant(",acct=cafe"), Some(1));
    assert_eq!(tenant(",acct=mart"), Some(0));
    assert_eq!(tenant(",acct=nobody"), None);
    assert_eq!(tenant(""), None);
}
