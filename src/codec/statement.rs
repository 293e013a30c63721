//! What a statement tells beside its text: the fields in the comment ahead of it, and the table group.

use std::collections::BTreeMap;

/// A statement taken apart.
#[derive(Debug, PartialEq, Eq)]
pub struct Statement<'a> {
    /// The fields of the leading comment; empty if there is none.
    pub fields: BTreeMap<&'a str, &'a str>,
    /// The statement without that comment.
    pub text: &'a str,
}

/// Takes the leading comment off, if there is one.
pub fn split(sql: &str) -> Statement<'_> {
    let sql = sql.trim_start();
    let parts = sql.strip_prefix("/*").and_then(|rest| rest.split_once("*/"));
    let Some((comment, text)) = parts else {
        return Statement { fields: BTreeMap::new(), text: sql };
    };
    let pairs = comment.split(',').filter_map(|p| p.trim().split_once('='));
    Statement { fields: pairs.map(|(k, v)| (k.trim(), v.trim())).collect(), text: text.trim_start() }
}

/// A piece of a statement that matters here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Token<'a> {
    Word(&'a str),
    Dot,
    Other,
}

/// Words, dots and the rest; strings and comments are passed over.
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
                // A doubled quote reads as two strings side by side, which comes to the same.
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

/// The number after the underscore in a schema's name; `staging` does not count.
fn number(schema: &str) -> Option<u64> {
    let (name, digits) = schema.rsplit_once('_')?;
    let all_digits = !digits.is_empty() && digits.bytes().all(|c| c.is_ascii_digit());
    (all_digits && !name.eq_ignore_ascii_case("staging")).then(|| digits.parse().ok()).flatten()
}

/// The group of tables that a statement reads or writes: that of the first table named as such, else of the
/// first name that could be a table's.
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
mod tests {
    use super::*;

    #[test]
    fn the_comment_goes_and_the_statement_stays() {
        let s = split("/* method=report,rid=9b1f03aa5c7e2d41,new=1 */ SELECT 1 /* kept */");
        assert_eq!((s.fields["method"], s.fields["rid"]), ("report", "9b1f03aa5c7e2d41"));
        assert_eq!(s.text, "SELECT 1 /* kept */");
        assert!(split("SELECT 1").fields.is_empty());
        assert!(split("/* open").fields.is_empty());
    }

    // The group decides which engines are warm; a name in a string, a comment or an alias must not count.
    #[test]
    fn the_group_comes_from_the_schema_and_from_nothing_else() {
        let group = |s| table_group(s);
        assert_eq!(group("SELECT day, max(note) FROM sales_17.orders WHERE tag = '3f9c'"), Some(17));
        assert_eq!(group("SELECT 'x_1.a', \"y_2.b\" /* z_3.c */ FROM `sales_4`.`t` -- q_5.c"), Some(4));
        assert_eq!(group("SELECT o_2.day FROM sales_17.orders o_2"), Some(17));
        assert_eq!(group("INSERT INTO sales_8.t SELECT * FROM staging.load_9"), Some(8));
        assert_eq!(group("INSERT INTO staging.load_9 SELECT * FROM staging_3.x, sales_8.t"), Some(8));
        assert_eq!(group("SELECT 'it''s a_1.b', 'c\\'a_1.b' FROM d_6.e"), Some(6));
        assert_eq!((group("SELECT 1.5"), group("SELECT 'open"), group("")), (None, None, None));
    }
}
