//! Extracts the fields of a statement's leading comment and its table group.

use std::collections::BTreeMap;

/// A statement split into its leading comment's fields and its text.
#[derive(Debug, PartialEq, Eq)]
pub struct Statement<'a> {
    /// The fields of the leading comment; empty if there is no comment.
    pub fields: BTreeMap<&'a str, &'a str>,
    /// The statement without that comment.
    pub text: &'a str,
}

/// Splits off the leading comment, if any.
pub fn split(sql: &str) -> Statement<'_> {
    let sql = sql.trim_start();
    let parts = sql.strip_prefix("/*").and_then(|rest| rest.split_once("*/"));
    let Some((comment, text)) = parts else {
        return Statement { fields: BTreeMap::new(), text: sql };
    };
    let pairs = comment.split(',').filter_map(|p| p.trim().split_once('='));
    Statement { fields: pairs.map(|(k, v)| (k.trim(), v.trim())).collect(), text: text.trim_start() }
}

/// A lexical token relevant to finding table names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Token<'a> {
    Word(&'a str),
    Dot,
    Other,
}

/// Splits a statement into words, dots and other tokens; strings count as other, comments are skipped.
fn tokens(sql: &str) -> Vec<Token<'_>> {
    let b = sql.as_bytes();
    let mut found = Vec::new();
    let mut i = 0;
    let until = |from: usize, end: &str| sql[from..].find(end).map_or(b.len(), |n| from + n + end.len());
    let word = |c: u8| c.is_ascii_alphanumeric() || c == b'_' || c == b'$' || c >= 0x80;
    while i < b.len() {
        let next = b.get(i + 1).copied();
        match b[i] {
            b'/' if next == Some(b'*') => i = until(i + 2, "*/"),
            b'#' => i = until(i, "\n"),
            b'-' if next == Some(b'-') => i = until(i, "\n"),
            quote @ (b'\'' | b'"') => {
                // A doubled quote is read as two adjacent strings, which gives the same result.
                i += 1;
                while i < b.len() && b[i] != quote {
                    i += if b[i] == b'\\' { 2 } else { 1 };
                }
                i += 1;
                found.push(Token::Other);
            }
            b'`' => {
                let end = until(i + 1, "`");
                found.push(Token::Word(sql[i + 1..end].trim_end_matches('`')));
                i = end;
            }
            b'.' => {
                found.push(Token::Dot);
                i += 1;
            }
            c if word(c) => {
                let from = i;
                while i < b.len() && word(b[i]) {
                    i += 1;
                }
                found.push(Token::Word(&sql[from..i]));
            }
            c => {
                if !c.is_ascii_whitespace() {
                    found.push(Token::Other);
                }
                i += 1;
            }
        }
    }
    found
}

/// The number after the last underscore of a schema name; `staging` schemas have none.
fn number(schema: &str) -> Option<u64> {
    let (name, digits) = schema.rsplit_once('_')?;
    let all_digits = !digits.is_empty() && digits.bytes().all(|c| c.is_ascii_digit());
    (all_digits && !name.eq_ignore_ascii_case("staging")).then(|| digits.parse().ok()).flatten()
}

/// The table group that a statement reads or writes: that of the first name after a table keyword, else that of the
/// first name that could be a table.
pub fn table_group(sql: &str) -> Option<u64> {
    const AHEAD: [&str; 6] = ["from", "join", "into", "update", "table", "exists"];
    let all = tokens(sql);
    let mut any = None;
    for (i, pair) in all.windows(2).enumerate() {
        let [Token::Word(schema), Token::Dot] = pair else { continue };
        let before = i.checked_sub(1).map(|p| all[p]);
        if before == Some(Token::Dot) {
            continue;
        }
        let Some(n) = number(schema) else { continue };
        let named = matches!(before, Some(Token::Word(w)) if AHEAD.iter().any(|a| w.eq_ignore_ascii_case(a)));
        if named {
            return Some(n);
        }
        any = any.or(Some(n));
    }
    any
}

#[cfg(test)]
mod tests;
