//! Parsing of a request from the comment that precedes a client's statement.

use crate::api::Micros;
use crate::codec::statement::{self, Statement};
use crate::dispatch::Request;
use crate::net::clients::client_error::ClientError;
use crate::net::executors::connection::Job;
use crate::settings::Names;

/// Largest value of a numeric field: a budget of eleven days in milliseconds, or a petabyte in megabytes.
const MAX_NUMBER: f64 = 1e9;
/// Maximum length of an idempotency token, in bytes: twice the length of a UUID in text form.
const MAX_TOKEN_LENGTH: usize = 72;
/// Number of hex digits of an id.
const ID_DIGITS: usize = 16;

/// Parses a request and its job. Unknown fields are ignored.
pub(super) fn parse(statement: &Statement<'_>, names: &Names) -> Result<(Request, Job), ClientError> {
    let fields = Fields(statement);
    let method = fields.required("method")?;
    let class = *names.classes.get(method).ok_or(fault("method", "unknown class"))?;
    let budget_ms = fields.number("budget")?.ok_or(fault("budget", "missing"))?;
    let budget = (budget_ms * 1e3) as Micros;
    let request = Request {
        id: parse_id("rid", fields.required("rid")?)?,
        // An optional field of our own: an invalid value is ignored, as it is by a dispatcher that does not
        // know the field.
        client_request_id: fields.get("ask").and_then(|text| parse_id("ask", text).ok()),
        class,
        // A tenant that is not in the settings is treated as none, since it has no configured share.
        tenant: fields.get("acct").and_then(|name| names.tenants.get(name).copied()),
        key: fields.get("obj").map(|text| parse_id("obj", text)).transpose()?,
        client_timeout: budget,
        time_budget: budget,
        estimated_thread_seconds: fields.number("est")?.map(|ms| ms / 1e3),
        estimated_memory_mb: fields.number("space")?,
        table_group: statement::table_group(statement.text).unwrap_or(0),
        is_client_retry: fields.number("try")?.is_some_and(|attempt| attempt > 1.0),
        held_by_client: false,
    };
    let token = fields.get("token").map(parse_token).transpose()?;
    let job =
        Job { class_name: method.into(), statement: statement.text.into(), token: token.map(Into::into) };
    Ok((request, job))
}

/// The fields of a statement's leading comment.
struct Fields<'a>(&'a Statement<'a>);

impl<'a> Fields<'a> {
    fn get(&self, field: &str) -> Option<&'a str> {
        self.0.fields.get(field).copied()
    }

    fn required(&self, field: &'static str) -> Result<&'a str, ClientError> {
        self.get(field).ok_or(fault(field, "missing"))
    }

    fn number(&self, field: &'static str) -> Result<Option<f64>, ClientError> {
        self.get(field).map(|text| parse_number(field, text)).transpose()
    }
}

fn fault(field: &'static str, fault: &'static str) -> ClientError {
    ClientError::Field { field, fault }
}

fn parse_number(field: &'static str, text: &str) -> Result<f64, ClientError> {
    let number = text.parse::<f64>().ok().filter(|number| (0.0..=MAX_NUMBER).contains(number));
    number.ok_or(fault(field, "not a number"))
}

/// Parses an id of 16 lowercase hex digits.
fn parse_id(field: &'static str, text: &str) -> Result<u64, ClientError> {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    let is_id = text.len() == ID_DIGITS && text.bytes().all(is_digit);
    let id = if is_id { u64::from_str_radix(text, 16).ok() } else { None };
    id.ok_or(fault(field, "not 16 hex digits"))
}

/// Validates an idempotency token, which is forwarded unchanged: a single word that executors cannot mistake
/// for another part of the line.
fn parse_token(text: &str) -> Result<&str, ClientError> {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let is_token = !text.is_empty() && text.len() <= MAX_TOKEN_LENGTH && text.bytes().all(is_plain);
    if is_token { Ok(text) } else { Err(fault("token", "not a short word")) }
}
