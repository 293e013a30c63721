//! A client that does nothing of use gets an error or its end within 3 s.

use super::*;

pub const NAME: &str = "bad_clients";

const WITHIN: Duration = Duration::from_secs(3);

pub fn check(records: &Records) -> Findings {
    let mut findings = Findings::default();
    for client in &records.bad_clients {
        findings.checked += 1;
        let ended = client.ended.unwrap_or(Duration::MAX);
        let limit = client.since + WITHIN + SLACK;
        let still = records.standstill(client.process.dispatcher, client.since, limit);
        findings.judge(ended.saturating_sub(limit), still, || Break {
            rule: NAME,
            rid: 0,
            process: client.process,
            at: limit,
            what: format!("neither an error nor its end; since {:?}, ended {:?}", client.since, client.ended),
        });
    }
    findings
}
