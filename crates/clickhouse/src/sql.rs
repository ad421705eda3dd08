//! Scans statements, just far enough to route them: what kind one is, which tables it names, what it leaves in its session.
//!
//! This is no parser: it reads tokens of the first [`MAX_SCANNED_BYTES`] and knows the words that statements begin with. What it does not
//! recognise counts as a statement that writes and must not run twice.

use crate::session::SessionEffect;

/// Bytes of a statement that are looked at: what stands behind them are rows, or a query larger than the server's own
/// default bound on its size.
pub const MAX_SCANNED_BYTES: usize = 16 * 1024;

/// What is seen of a statement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shape {
    /// It only reads.
    pub reads: bool,
    /// Running it twice does no harm: it reads, or sets what is then set.
    pub harmless: bool,
    /// It adds rows to a table.
    pub inserts: bool,
    /// It leaves something in its session.
    pub leaves: bool,
    /// The table that it writes, with its schema if that is named.
    pub writes: Option<String>,
    /// The group of tables that it names; 0 if none.
    pub tables: u32,
    /// It asks for the end of other queries.
    pub kill: Option<Kill>,
    /// There is nothing in it.
    pub empty: bool,
}

/// A KILL QUERY.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kill {
    /// The ids that it names; `None` where it chooses by anything else than ids.
    pub ids: Option<Vec<String>>,
    /// The words behind the condition, as `SYNC` or `FORMAT JSON`, to be passed on.
    pub behind: String,
}

impl Shape {
    /// Looks at a statement, or at its beginning.
    pub fn of(statement: &str) -> Shape {
        let mut end = statement.len().min(MAX_SCANNED_BYTES);
        while !statement.is_char_boundary(end) {
            end -= 1;
        }
        let statement = &statement[..end];
        let tokens = tokens(statement);
        let word = |n: usize, words: &[&str]| tokens.get(n).is_some_and(|t| is_word(t, words));
        let Some(first) = tokens.iter().position(|t| matches!(t, Token::Name(_))) else {
            return Shape {
                empty: tokens.is_empty(),
                ..Shape::default()
            };
        };
        let reads = word(first, READING);
        let sets = word(first, &["set", "use"]);
        let creates = word(first, &["create", "replace"]);
        let temporary = creates && (1..4).any(|n| word(first + n, &["temporary"]));
        let transaction = word(first, &["begin", "commit", "rollback"]);
        let kills = word(first, &["kill"]) && word(first + 1, &["query"]);
        Shape {
            reads,
            harmless: reads || sets || kills,
            inserts: word(first, &["insert"]),
            leaves: sets || temporary || transaction,
            writes: if reads { None } else { target(&tokens) },
            tables: group_of(&tokens),
            kill: kills.then(|| kill(statement, &tokens[first..])),
            empty: false,
        }
    }

    /// What it leaves in its session.
    pub fn session_effect(&self) -> SessionEffect {
        if self.leaves {
            SessionEffect::LeavesState
        } else {
            SessionEffect::None
        }
    }
}

const READING: &[&str] = &[
    "select", "with", "show", "describe", "desc", "exists", "explain", "check",
];

/// `KILL QUERY WHERE query_id = 'a'`, or `query_id IN ('a', 'b')`, and what stands behind that.
fn kill(statement: &str, tokens: &[Token]) -> Kill {
    let is = |n: usize, c: char| matches!(tokens.get(n), Some(Token::Sign(s)) if *s == c);
    let at = tokens
        .iter()
        .position(|t| is_word(t, &["where"]))
        .map_or(tokens.len(), |at| at + 1);
    let named = tokens.get(at).is_some_and(|t| is_word(t, &["query_id"]));
    let mut ids = Vec::new();
    let mut n = at + 1;
    if named && is(n, '=') {
        if let Some(Token::Text(id)) = tokens.get(n + 1) {
            ids.push(id.clone());
            n += 2;
        }
    } else if named && tokens.get(n).is_some_and(|t| is_word(t, &["in"])) && is(n + 1, '(') {
        n += 2;
        while let Some(Token::Text(id)) = tokens.get(n) {
            ids.push(id.clone());
            n += if is(n + 1, ',') { 2 } else { 1 };
        }
        if is(n, ')') {
            n += 1;
        } else {
            ids.clear();
        }
    }
    let mut behind = Vec::new();
    let mut plain = true;
    for token in tokens.get(n..).unwrap_or(&[]) {
        match token {
            Token::Name(word) => behind.push(word.as_str()),
            Token::Sign(';') => {}
            _ => plain = false,
        }
    }
    let known = behind.first().is_none_or(|w| {
        ["sync", "async", "test", "format", "settings"]
            .iter()
            .any(|k| w.eq_ignore_ascii_case(k))
    });
    let fine =
        !ids.is_empty() && plain && known && !statement.to_ascii_lowercase().contains("on cluster");
    Kill {
        ids: fine.then_some(ids),
        behind: behind.join(" "),
    }
}

/// The group of tables that a statement names; 0 if none.
pub fn table_group(statement: &str) -> u32 {
    group_of(&tokens(statement))
}

fn group_of(tokens: &[Token]) -> u32 {
    let mut otherwise = 0;
    for (n, window) in tokens.windows(3).enumerate() {
        let [Token::Name(schema), Token::Dot, Token::Name(_)] = window else {
            continue;
        };
        let Some(group) = group(schema) else { continue };
        // `alias_2.column` has the same look: only a name behind one of these words is a table's.
        let before = n.checked_sub(1).and_then(|b| tokens.get(b));
        if is_table_word(before) {
            return group;
        }
        if otherwise == 0 {
            otherwise = group;
        }
    }
    otherwise
}

/// The table that a statement writes, with its schema if that is named.
fn target(tokens: &[Token]) -> Option<String> {
    let at = tokens
        .iter()
        .position(|t| is_word(t, &["into", "table", "update"]))?
        + 1;
    // INSERT INTO may be followed by TABLE.
    let at = at + usize::from(tokens.get(at).is_some_and(|t| is_word(t, &["table"])));
    match (tokens.get(at)?, tokens.get(at + 1), tokens.get(at + 2)) {
        (Token::Name(schema), Some(Token::Dot), Some(Token::Name(table))) => {
            Some(format!("{schema}.{table}"))
        }
        (Token::Name(table), ..) => Some(table.clone()),
        _ => None,
    }
}

fn group(schema: &str) -> Option<u32> {
    let (name, number) = schema.rsplit_once('_')?;
    let digits = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit());
    (digits && !name.eq_ignore_ascii_case("staging"))
        .then(|| number.parse().ok())
        .flatten()
}

fn is_table_word(token: Option<&Token>) -> bool {
    token.is_some_and(|t| is_word(t, &["from", "join", "into", "update", "table", "only"]))
}

fn is_word(token: &Token, words: &[&str]) -> bool {
    matches!(token, Token::Name(name) if words.iter().any(|w| name.eq_ignore_ascii_case(w)))
}

enum Token {
    Name(String),
    /// A string's content.
    Text(String),
    Dot,
    Sign(char),
}

/// Names, strings, dots and other signs; comments are left out.
fn tokens(statement: &str) -> Vec<Token> {
    let chars: Vec<char> = statement.chars().collect();
    let (mut tokens, mut i) = (Vec::new(), 0);
    while let Some(&c) = chars.get(i) {
        let next = chars.get(i + 1).copied();
        match c {
            '-' if next == Some('-') => {
                while chars.get(i).is_some_and(|&c| c != '\n') {
                    i += 1;
                }
            }
            '#' => {
                while chars.get(i).is_some_and(|&c| c != '\n') {
                    i += 1;
                }
            }
            '/' if next == Some('*') => {
                i += 2;
                while i < chars.len() && !(chars[i] == '*' && chars.get(i + 1) == Some(&'/')) {
                    i += 1;
                }
                i += 2;
            }
            '\'' => {
                let (text, end) = quoted(&chars, i, '\'');
                tokens.push(Token::Text(text));
                i = end;
            }
            '"' | '`' => {
                let (name, end) = quoted(&chars, i, c);
                tokens.push(Token::Name(name));
                i = end;
            }
            '.' => {
                tokens.push(Token::Dot);
                i += 1;
            }
            c if c.is_alphanumeric() || c == '_' => {
                let start = i;
                while chars
                    .get(i)
                    .is_some_and(|&c| c.is_alphanumeric() || c == '_' || c == '$')
                {
                    i += 1;
                }
                tokens.push(Token::Name(chars[start..i].iter().collect()));
            }
            c => {
                if !c.is_whitespace() {
                    tokens.push(Token::Sign(c));
                }
                i += 1;
            }
        }
    }
    tokens
}

/// What stands between quotes that open at `i`, and the place behind them; doubled or escaped ones are inside.
fn quoted(chars: &[char], mut i: usize, quote: char) -> (String, usize) {
    let mut text = String::new();
    i += 1;
    while let Some(&c) = chars.get(i) {
        if c == '\\' && quote == '\'' {
            i += 1;
        } else if c == quote {
            if chars.get(i + 1) != Some(&quote) {
                return (text, i + 1);
            }
            i += 1;
        }
        text.extend(chars.get(i));
        i += 1;
    }
    (text, i)
}
