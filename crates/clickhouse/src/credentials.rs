//! Who asks: a user and a key, in the URL, in ClickHouse's own headers, or as HTTP's authorization.

use crate::exception::Exception;
use crate::params::Params;
use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use std::fmt;

const USER: &str = "X-ClickHouse-User";
const KEY: &str = "X-ClickHouse-Key";
const AUTHENTICATION_FAILED: u32 = 516;
const SEVERAL_PLACES: &str =
    "Invalid authentication: a user may be named in the URL, in X-ClickHouse headers or by Authorization, but only in one of them";

fn unreadable() -> Exception {
    Exception::new(
        AUTHENTICATION_FAILED,
        "Invalid authentication: Authorization can't be read",
    )
}

/// A user's name and key. Neither is ever part of a URL sent on, nor of what is logged.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Credentials {
    /// The user; `None` leaves it to the engine.
    pub user: Option<String>,
    key: Option<String>,
    /// A token of another kind, passed on as it came: the value of `Authorization`.
    token: Option<String>,
}

impl fmt::Debug for Credentials {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credentials(not shown)")
    }
}

impl Credentials {
    /// Reads all three places. They exclude each other, as with the server itself.
    ///
    /// # Errors
    ///
    /// Where two of them are used, or `Authorization` can't be read.
    pub fn read(params: &Params, headers: &[(String, String)]) -> Result<Credentials, Exception> {
        let header = |name: &str| {
            let mut headers = headers.iter();
            headers
                .find(|h| h.0.eq_ignore_ascii_case(name))
                .map(|h| h.1.clone())
        };
        let in_headers = (header(USER), header(KEY));
        let in_url = (
            params.get("user").map(String::from),
            params.get("password").map(String::from),
        );
        let authorization = header("Authorization");
        let is_used = [
            in_headers != (None, None),
            in_url != (None, None),
            authorization.is_some(),
        ];
        if is_used.iter().filter(|&&used| used).count() > 1 {
            return Err(Exception::new(AUTHENTICATION_FAILED, SEVERAL_PLACES));
        }
        let credentials = match authorization {
            Some(value) => Credentials::from_authorization(value).ok_or_else(unreadable)?,
            None => {
                let (user, key) = if is_used[0] { in_headers } else { in_url };
                Credentials {
                    user,
                    key,
                    token: None,
                }
            }
        };
        // A line break would forge a header.
        if credentials
            .headers()
            .any(|(_, value)| value.chars().any(char::is_control))
        {
            return Err(unreadable());
        }
        Ok(credentials)
    }

    /// Reads `Basic` and `Bearer`.
    fn from_authorization(value: String) -> Option<Credentials> {
        let (kind, token) = value.split_once(' ')?;
        if kind.eq_ignore_ascii_case("bearer") {
            return Some(Credentials {
                user: None,
                key: None,
                token: Some(value),
            });
        }
        if !kind.eq_ignore_ascii_case("basic") {
            return None;
        }
        let plain = STANDARD.decode(token.trim()).ok()?;
        let plain = String::from_utf8(plain).ok()?;
        let (user, key) = plain.split_once(':')?;
        Some(Credentials {
            user: Some(user.to_string()),
            key: Some(key.to_string()),
            token: None,
        })
    }

    /// The headers that say so to an engine.
    pub fn headers(&self) -> impl Iterator<Item = (&'static str, &str)> {
        let each = [
            (USER, &self.user),
            (KEY, &self.key),
            ("Authorization", &self.token),
        ];
        each.into_iter()
            .filter_map(|(name, value)| Some((name, value.as_deref()?)))
    }

    /// Whether this header or parameter carries credentials.
    pub fn is_one(name: &str) -> bool {
        [USER, KEY, "Authorization", "user", "password"]
            .iter()
            .any(|n| n.eq_ignore_ascii_case(name))
    }
}
