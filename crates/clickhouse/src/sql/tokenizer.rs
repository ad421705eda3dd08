//! Tokenizer for statements, by the lexical rules that ClickHouse documents.

use std::borrow::Cow;

/// A token of a statement. Comments and white space produce no tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Token<'a> {
    /// A keyword, number or unquoted identifier.
    Name(&'a str),
    /// The content of a quoted identifier, which is never a keyword.
    QuotedName(Cow<'a, str>),
    /// The content of a string literal or heredoc.
    String(Cow<'a, str>),
    /// A dot.
    Dot,
    /// Any other character.
    Sign(char),
    /// A comment, literal or quoted identifier that has no end.
    Unterminated,
}

impl Token<'_> {
    /// Whether the token is one of these keywords, given in lower case.
    pub(super) fn is_keyword(&self, keywords: &[&str]) -> bool {
        match self {
            Token::Name(name) => keywords.iter().any(|k| name.eq_ignore_ascii_case(k)),
            _ => false,
        }
    }

    /// The identifier, quoted or not, or the keyword or number.
    pub(super) fn name(&self) -> Option<&str> {
        match self {
            Token::Name(name) => Some(name),
            Token::QuotedName(name) => Some(name),
            _ => None,
        }
    }
}

/// Splits a statement into tokens.
pub(super) fn tokenize(statement: &str) -> Vec<Token<'_>> {
    let mut tokenizer = Tokenizer { rest: statement };
    let mut tokens = Vec::new();
    while let Some(first) = tokenizer.rest.chars().next() {
        tokens.extend(tokenizer.next_token(first));
    }
    tokens
}

struct Tokenizer<'a> {
    rest: &'a str,
}

impl<'a> Tokenizer<'a> {
    /// Consumes a token, a comment or a white space character that starts with `first`.
    fn next_token(&mut self, first: char) -> Option<Token<'a>> {
        if self.starts_line_comment() {
            self.skip_line_comment();
            return None;
        }
        if self.rest.starts_with("/*") {
            return self.skip_block_comment();
        }
        match first {
            '\'' => Some(
                self.read_quoted(first)
                    .map_or(Token::Unterminated, Token::String),
            ),
            '"' | '`' => Some(
                self.read_quoted(first)
                    .map_or(Token::Unterminated, Token::QuotedName),
            ),
            '\u{2018}' | '\u{201c}' => Some(self.read_typographic_quotes(first)),
            '$' => Some(self.read_heredoc().unwrap_or_else(|| self.read_sign(first))),
            c if is_name_char(c) => Some(self.read_name()),
            c if c.is_whitespace() => {
                self.skip(c.len_utf8());
                None
            }
            c => Some(self.read_sign(c)),
        }
    }

    /// Consumes `bytes` bytes and returns them.
    fn skip(&mut self, bytes: usize) -> &'a str {
        let (skipped, rest) = self.rest.split_at(bytes);
        self.rest = rest;
        skipped
    }

    fn read_sign(&mut self, sign: char) -> Token<'a> {
        self.skip(sign.len_utf8());
        match sign {
            '.' => Token::Dot,
            sign => Token::Sign(sign),
        }
    }

    fn starts_line_comment(&self) -> bool {
        ["--", "#!", "# "]
            .iter()
            .any(|start| self.rest.starts_with(start))
    }

    fn skip_line_comment(&mut self) {
        let end = self.rest.find('\n').unwrap_or(self.rest.len());
        self.skip(end);
    }

    /// Skips a block comment, which may contain others.
    fn skip_block_comment(&mut self) -> Option<Token<'a>> {
        let mut depth = 0_usize;
        while let Some(next) = self.rest.chars().next() {
            if self.rest.starts_with("/*") {
                depth += 1;
                self.skip(2);
            } else if self.rest.starts_with("*/") {
                depth -= 1;
                self.skip(2);
            } else {
                self.skip(next.len_utf8());
            }
            if depth == 0 {
                return None;
            }
        }
        Some(Token::Unterminated)
    }

    fn read_name(&mut self) -> Token<'a> {
        let end = self.rest.find(|c: char| !is_name_char(c) && c != '$');
        Token::Name(self.skip(end.unwrap_or(self.rest.len())))
    }

    /// Reads quoted text; `None` if the closing quote is missing. A doubled quote stands for one quote, and a backslash escapes
    /// the next character, in identifiers as in string literals.
    fn read_quoted(&mut self, quote: char) -> Option<Cow<'a, str>> {
        self.skip(quote.len_utf8());
        let mut content = Cow::Borrowed("");
        loop {
            let end = self.rest.find([quote, '\\']);
            content += self.skip(end.unwrap_or(self.rest.len()));
            let is_escape = self.rest.starts_with('\\');
            self.rest.chars().next()?;
            self.skip(1);
            let next = self.rest.chars().next();
            if !is_escape && next != Some(quote) {
                return Some(content);
            }
            content += self.skip(next?.len_utf8());
        }
    }

    /// Reads text in typographic quotes. Only some servers accept them; others return a syntax error.
    fn read_typographic_quotes(&mut self, opening: char) -> Token<'a> {
        let is_name = opening == '\u{201c}';
        let closing = if is_name { '\u{201d}' } else { '\u{2019}' };
        self.skip(opening.len_utf8());
        let Some(end) = self.rest.find(closing) else {
            return self.skip_unterminated();
        };
        let content = Cow::Borrowed(self.skip(end));
        self.skip(closing.len_utf8());
        if is_name {
            Token::QuotedName(content)
        } else {
            Token::String(content)
        }
    }

    /// Reads a heredoc, `$tag$content$tag$`; `None` if the text does not start with a tag.
    fn read_heredoc(&mut self) -> Option<Token<'a>> {
        let tag_end = self.rest[1..].find(|c: char| !is_name_char(c))? + 1;
        if !self.rest[tag_end..].starts_with('$') {
            return None;
        }
        let (tag, content) = self.rest.split_at(tag_end + 1);
        let Some(end) = content.find(tag) else {
            return Some(self.skip_unterminated());
        };
        self.rest = &content[end + tag.len()..];
        Some(Token::String(Cow::Borrowed(&content[..end])))
    }

    /// Skips the remaining text, so that the search for an end that is missing is not repeated.
    fn skip_unterminated(&mut self) -> Token<'a> {
        self.rest = "";
        Token::Unterminated
    }
}

fn is_name_char(c: char) -> bool {
    c.is_alphanumeric() || c == '_'
}
