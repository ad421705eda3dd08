//! Parsing of KILL QUERY.

use super::tokenizer::Token;

/// Keywords that may follow the condition.
const OPTION_KEYWORDS: &[&str] = &["sync", "async", "test", "format", "settings"];

/// A KILL QUERY statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KillQuery {
    /// The ids of the queries to kill; `None` unless the condition is `query_id = '...'` or
    /// `query_id IN ('...', ...)`.
    pub ids: Option<Vec<String>>,
    /// The text after the condition, to be forwarded: `SYNC`, `FORMAT JSON`.
    pub options: String,
}

impl KillQuery {
    /// Parses the tokens of a KILL QUERY statement.
    pub(super) fn parse(statement: &str, tokens: &[Token]) -> KillQuery {
        let keyword = tokens.iter().position(|t| t.is_keyword(&["where"]));
        let condition = Condition::parse(keyword.map_or(&[], |at| &tokens[at + 1..]));
        let options = Options::parse(condition.rest);
        let is_on_cluster = statement.to_ascii_lowercase().contains("on cluster");
        let is_supported = !condition.ids.is_empty() && options.are_supported && !is_on_cluster;
        KillQuery {
            ids: is_supported.then_some(condition.ids),
            options: options.names.join(" "),
        }
    }

    /// The same statement, unsupported unless `is_supported`.
    pub(super) fn supported_if(self, is_supported: bool) -> KillQuery {
        KillQuery {
            ids: self.ids.filter(|_| is_supported),
            ..self
        }
    }
}

/// The condition after WHERE.
struct Condition<'a> {
    /// The ids; empty if the condition has an unsupported form.
    ids: Vec<String>,
    /// The tokens after the condition.
    rest: &'a [Token<'a>],
}

impl Condition<'_> {
    fn parse<'a>(tokens: &'a [Token<'a>]) -> Condition<'a> {
        let is_query_id = |token: &Token| token.is_keyword(&["query_id"]);
        match tokens {
            [column, Token::Sign('='), Token::String(id), rest @ ..] if is_query_id(column) => {
                Condition {
                    ids: vec![id.to_string()],
                    rest,
                }
            }
            [column, operator, Token::Sign('('), list @ ..]
                if is_query_id(column) && operator.is_keyword(&["in"]) =>
            {
                Condition::parse_list(list)
            }
            _ => Condition {
                ids: Vec::new(),
                rest: tokens.get(1..).unwrap_or_default(),
            },
        }
    }

    /// Parses a list after its opening parenthesis.
    fn parse_list<'a>(tokens: &'a [Token<'a>]) -> Condition<'a> {
        let mut ids = Vec::new();
        let mut rest = tokens;
        while let [Token::String(id), following @ ..] = rest {
            ids.push(id.to_string());
            rest = match following {
                [Token::Sign(','), following @ ..] => following,
                following => following,
            };
        }
        match rest {
            [Token::Sign(')'), rest @ ..] => Condition { ids, rest },
            rest => Condition {
                ids: Vec::new(),
                rest,
            },
        }
    }
}

/// The options after the condition.
struct Options<'a> {
    names: Vec<&'a str>,
    /// All tokens are names, and the first is a known option. Otherwise they may belong to the condition, as in `OR 1`.
    are_supported: bool,
}

impl Options<'_> {
    fn parse<'a>(tokens: &'a [Token<'a>]) -> Options<'a> {
        let mut names = Vec::new();
        let mut are_names = true;
        for token in tokens {
            match token {
                Token::Name(name) => names.push(*name),
                Token::Sign(';') => {}
                _ => are_names = false,
            }
        }
        let is_known = names.first().is_none_or(|first| {
            OPTION_KEYWORDS
                .iter()
                .any(|k| first.eq_ignore_ascii_case(k))
        });
        Options {
            names,
            are_supported: are_names && is_known,
        }
    }
}
