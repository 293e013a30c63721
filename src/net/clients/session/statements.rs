//! What a client's statement means.

use super::ClientCommand;
use crate::api::Micros;
use crate::codec::mysql::{self, Command, Error};
use crate::codec::statement;
use crate::dispatch::Request;
use crate::net::executors::connection::Job;
use crate::settings::Names;

/// The largest number that is believed in a field: a budget of eleven days, a petabyte.
const LARGEST: f64 = 1e9;

/// The longest token that is passed on: a UUID in text, twice over.
const LONGEST_TOKEN: usize = 72;

/// What a client's command comes to: an answer that the session has by itself, or something asked.
pub(in crate::net) enum Interpretation {
    Ok,
    Values(Vec<(String, String)>),
    Command(ClientCommand),
}

pub(in crate::net) fn interpret(command: &Command<'_>, names: &Names) -> Result<Interpretation, Error> {
    match command {
        Command::Login | Command::Ping => Ok(Interpretation::Ok),
        Command::Quit => Ok(Interpretation::Command(ClientCommand::Close)),
        Command::InitDb(name) => mysql::database_known(name).map(|()| Interpretation::Ok),
        Command::Other(code) => Err(Error::new(1047, "08S01", format!("command {code} is not known"))),
        Command::Query(sql) => query(sql, names),
    }
}

/// A statement: a request if its comment says so, else one of the few that drivers send by themselves.
pub(in crate::net) fn query(sql: &str, names: &Names) -> Result<Interpretation, Error> {
    let s = statement::split(sql);
    if s.fields.contains_key("method") || s.fields.contains_key("rid") {
        return request(&s, names);
    }
    let text = s.text.trim().trim_end_matches(';').trim_end();
    let words: Vec<&str> = text.split_whitespace().collect();
    let first = words.first().map_or(String::new(), |w| w.to_ascii_lowercase());
    match (first.as_str(), &words[..]) {
        ("kill", [_, rest @ .., id]) if rest.iter().all(|w| w.eq_ignore_ascii_case("query")) => {
            let id = id.parse().map_err(|_| Error::new(1094, "HY000", format!("unknown thread id: {id}")))?;
            Ok(Interpretation::Command(ClientCommand::Kill(id)))
        }
        ("set" | "use" | "commit" | "rollback" | "begin" | "start", _) => Ok(Interpretation::Ok),
        ("select", [_, ..]) if constants(&text[6..]).is_some() => {
            Ok(Interpretation::Values(constants(&text[6..]).unwrap_or_default()))
        }
        _ => Err(Error::new(1064, "42000", "the comment ahead of the statement lacks method and rid")),
    }
}

/// Values of a SELECT that reads no table: the variables that drivers ask for, and nothing else. A number would
/// look like a result that no executor made.
fn constants(list: &str) -> Option<Vec<(String, String)>> {
    let value = |item: &str| {
        let words: Vec<&str> = item.split_whitespace().collect();
        let (name, shown) = match words[..] {
            [name] => (name, name),
            [name, word, shown] if word.eq_ignore_ascii_case("as") => (name, shown),
            _ => return None,
        };
        let variable =
            name.strip_prefix("@@").map(|v| v.rsplit('.').next().unwrap_or(v).to_ascii_lowercase());
        let value = match variable.as_deref() {
            None => return None,
            Some("version_comment") => "ottercroft".into(),
            Some("max_allowed_packet") => mysql::MOST.to_string(),
            Some("autocommit" | "auto_increment_increment") => "1".into(),
            Some("wait_timeout" | "interactive_timeout") => "28800".into(),
            Some("tx_isolation" | "transaction_isolation") => "READ-COMMITTED".into(),
            Some(v) if v.starts_with("character_set") => "utf8mb4".into(),
            Some(v) if v.starts_with("collation") => "utf8mb4_general_ci".into(),
            Some(_) => String::new(),
        };
        Some((shown.to_string(), value))
    };
    let limit = list.to_ascii_lowercase().find(" limit ");
    let list = limit.map_or(list, |n| &list[..n]);
    list.split(',').map(|item| value(item.trim())).collect()
}

/// What is passed on as it came: a word that can't be taken for anything else of a line.
fn opaque(word: &str) -> Option<&str> {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    (!word.is_empty() && word.len() <= LONGEST_TOKEN && word.bytes().all(plain)).then_some(word)
}

fn request(s: &statement::Statement<'_>, names: &Names) -> Result<Interpretation, Error> {
    let wrong = |field: &str, what: &str| Error::new(1064, "42000", format!("field {field}: {what}"));
    let get = |field: &str| s.fields.get(field).copied();
    let need = |field: &str| get(field).ok_or_else(|| wrong(field, "missing"));
    let hex = |field: &str, text: &str| match text.len() {
        16 if text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b)) => {
            u64::from_str_radix(text, 16).map_err(|_| wrong(field, "not 16 hex digits"))
        }
        _ => Err(wrong(field, "not 16 hex digits")),
    };
    let number = |field: &str| {
        let parsed = get(field).map(|t| t.parse::<f64>().ok().filter(|x| (0.0..=LARGEST).contains(x)));
        parsed.map(|x| x.ok_or_else(|| wrong(field, "not a number"))).transpose()
    };
    let method = need("method")?;
    let class = *names.classes.get(method).ok_or_else(|| wrong("method", "unknown class"))?;
    let budget_ms = number("budget")?.ok_or_else(|| wrong("budget", "missing"))?;
    let request = Request {
        id: hex("rid", need("rid")?)?,
        // Ours, and optional: one that can't be read is none, as for a dispatcher that does not know it.
        ask: get("ask").and_then(|t| hex("ask", t).ok()),
        class,
        // A tenant the settings do not name is counted as none: its shares are not known.
        tenant: get("acct").and_then(|t| names.tenants.get(t).copied()),
        key: get("obj").map(|t| hex("obj", t)).transpose()?,
        client_wait: (budget_ms * 1e3) as Micros,
        budget: (budget_ms * 1e3) as Micros,
        thread_seconds: number("est")?.map(|ms| ms / 1e3),
        memory_mb: number("space")?,
        group: statement::table_group(s.text).unwrap_or(0),
        repeated: number("try")?.is_some_and(|n| n > 1.0),
        held_back: false,
    };
    let token =
        get("token").map(|t| opaque(t).ok_or_else(|| wrong("token", "not a short word"))).transpose()?;
    let job = Job { kind: method.into(), statement: s.text.into(), token: token.map(Into::into) };
    Ok(Interpretation::Command(ClientCommand::Request(request, job)))
}
