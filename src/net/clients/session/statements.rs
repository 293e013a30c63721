//! Interpretation of client commands and statements.

use super::{ClientCommand, request};
use crate::codec::mysql::{self, Command, Error};
use crate::codec::statement;
use crate::net::clients::client_error::ClientError;
use crate::settings::Names;

/// How the session handles a command.
pub(in crate::net) enum Interpretation {
    /// Answer with OK.
    Ok,
    /// Answer with a single row of these names and values.
    Values(Vec<(String, String)>),
    /// Pass the command on: the session cannot answer it on its own.
    Command(ClientCommand),
}

/// Interprets a command; returns an error for the client if it is invalid.
pub(in crate::net) fn interpret(command: &Command<'_>, names: &Names) -> Result<Interpretation, Error> {
    match command {
        Command::Login | Command::Ping => Ok(Interpretation::Ok),
        Command::Quit => Ok(Interpretation::Command(ClientCommand::Close)),
        Command::InitDb(name) => mysql::database_known(name).map(|()| Interpretation::Ok),
        Command::Other(code) => Err(ClientError::UnknownCommand(*code).into()),
        Command::Query(sql) => query(sql, names),
    }
}

/// Interprets a statement: a request if its leading comment has request fields, otherwise one of the few
/// statements that drivers send on their own.
pub(in crate::net) fn query(sql: &str, names: &Names) -> Result<Interpretation, Error> {
    let statement = statement::split(sql);
    if statement.fields.contains_key("method") || statement.fields.contains_key("rid") {
        return request::parse(&statement, names)
            .map(|(request, job)| Interpretation::Command(ClientCommand::Request(request, job)))
            .map_err(Error::from);
    }
    let text = statement.text.trim().trim_end_matches(';').trim_end();
    let words: Vec<&str> = text.split_whitespace().collect();
    let first = words.first().map_or(String::new(), |w| w.to_ascii_lowercase());
    match (first.as_str(), &words[..]) {
        ("kill", [_, rest @ .., id]) if rest.iter().all(|w| w.eq_ignore_ascii_case("query")) => {
            let id = id.parse().map_err(|_| ClientError::UnknownThread(id.to_string()))?;
            Ok(Interpretation::Command(ClientCommand::Kill(id)))
        }
        ("set" | "use" | "commit" | "rollback" | "begin" | "start", _) => Ok(Interpretation::Ok),
        ("select", [_, ..]) if constants(&text[6..]).is_some() => {
            Ok(Interpretation::Values(constants(&text[6..]).unwrap_or_default()))
        }
        _ => Err(ClientError::NoRequestComment.into()),
    }
}

/// Values of a SELECT without a table: only the variables that drivers query. A literal is not evaluated, as
/// its result would look like one from an executor.
fn constants(list: &str) -> Option<Vec<(String, String)>> {
    let value = |item: &str| {
        let words: Vec<&str> = item.split_whitespace().collect();
        let (name, label) = match words[..] {
            [name] => (name, name),
            [name, word, label] if word.eq_ignore_ascii_case("as") => (name, label),
            _ => return None,
        };
        let variable =
            name.strip_prefix("@@").map(|v| v.rsplit('.').next().unwrap_or(v).to_ascii_lowercase());
        let value = match variable.as_deref() {
            None => return None,
            Some("version_comment") => "ottercroft".into(),
            Some("max_allowed_packet") => mysql::MAX_PACKET_BYTES.to_string(),
            Some("autocommit" | "auto_increment_increment") => "1".into(),
            Some("wait_timeout" | "interactive_timeout") => "28800".into(),
            Some("tx_isolation" | "transaction_isolation") => "READ-COMMITTED".into(),
            Some(v) if v.starts_with("character_set") => "utf8mb4".into(),
            Some(v) if v.starts_with("collation") => "utf8mb4_general_ci".into(),
            Some(_) => String::new(),
        };
        Some((label.to_string(), value))
    };
    let limit = list.to_ascii_lowercase().find(" limit ");
    let list = limit.map_or(list, |n| &list[..n]);
    list.split(',').map(|item| value(item.trim())).collect()
}
