//! Tokenizer for statements.

/// A token of a statement. Comments and white space produce no tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Token {
    /// A keyword, number or unquoted identifier.
    Name(String),
    /// The content of a quoted identifier, which is never a keyword.
    QuotedName(String),
    /// The content of a string literal.
    String(String),
    /// A dot.
    Dot,
    /// Any other character.
    Sign(char),
}

impl Token {
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
            Token::Name(name) | Token::QuotedName(name) => Some(name),
            _ => None,
        }
    }
}

/// Splits a statement into tokens. Unterminated literals and comments end at the end of the text.
pub(super) fn tokenize(statement: &str) -> Vec<Token> {
    let mut tokenizer = Tokenizer {
        chars: statement.chars().collect(),
        position: 0,
    };
    let mut tokens = Vec::new();
    while let Some(c) = tokenizer.peek(0) {
        tokens.extend(tokenizer.next_token(c));
    }
    tokens
}

struct Tokenizer {
    chars: Vec<char>,
    position: usize,
}

impl Tokenizer {
    fn peek(&self, offset: usize) -> Option<char> {
        self.chars.get(self.position + offset).copied()
    }

    /// Consumes a token, a comment or a white space character that starts with `first`.
    fn next_token(&mut self, first: char) -> Option<Token> {
        let second = self.peek(1);
        match first {
            '#' => self.skip_line_comment(),
            '-' if second == Some('-') => self.skip_line_comment(),
            '/' if second == Some('*') => self.skip_block_comment(),
            '\'' => return Some(Token::String(self.read_quoted('\''))),
            '"' | '`' => return Some(Token::QuotedName(self.read_quoted(first))),
            c if is_name_start(c) => return Some(Token::Name(self.read_name())),
            c => {
                self.position += 1;
                return match c {
                    '.' => Some(Token::Dot),
                    c if c.is_whitespace() => None,
                    c => Some(Token::Sign(c)),
                };
            }
        }
        None
    }

    fn skip_line_comment(&mut self) {
        while self.peek(0).is_some_and(|c| c != '\n') {
            self.position += 1;
        }
    }

    fn skip_block_comment(&mut self) {
        self.position += 2;
        while self.peek(0).is_some() && (self.peek(0), self.peek(1)) != (Some('*'), Some('/')) {
            self.position += 1;
        }
        self.position += 2;
    }

    fn read_name(&mut self) -> String {
        let start = self.position;
        while self.peek(0).is_some_and(|c| is_name_start(c) || c == '$') {
            self.position += 1;
        }
        self.chars[start..self.position].iter().collect()
    }

    /// Reads quoted text. A doubled quote stands for one quote, and a backslash in a string literal escapes the next
    /// character.
    fn read_quoted(&mut self, quote: char) -> String {
        let mut content = String::new();
        self.position += 1;
        while let Some(c) = self.peek(0) {
            if c == '\\' && quote == '\'' {
                self.position += 1;
            } else if c == quote {
                self.position += 1;
                if self.peek(0) != Some(quote) {
                    return content;
                }
            }
            content.extend(self.peek(0));
            self.position += 1;
        }
        content
    }
}

fn is_name_start(c: char) -> bool {
    c.is_alphanumeric() || c == '_'
}
