//! Who asks: a user and a key, in the URL, in ClickHouse's own headers, or as HTTP's authorization.

use crate::exception::Exception;
use crate::params::Params;
use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use std::fmt;

const USER: &str = "X-ClickHouse-User";
const KEY: &str = "X-ClickHouse-Key";
const AUTHENTICATION_FAILED: u32 = 516;

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
    pub fn read(params: &Params, headers: &[(String, String)]) -> Result<Credentials, Exception> {
        let header = |name: &str| {
            headers
                .iter()
                .find(|h| h.0.eq_ignore_ascii_case(name))
                .map(|h| h.1.clone())
        };
        let in_headers = (header(USER), header(KEY));
        let in_url = (
            params.get("user").map(String::from),
            params.get("password").map(String::from),
        );
        let authorization = header("Authorization");
        let ways = [
            in_headers != (None, None),
            in_url != (None, None),
            authorization.is_some(),
        ];
        if ways.iter().filter(|&&w| w).count() > 1 {
            let words =
                "Invalid authentication: a user may be named in the URL, in X-ClickHouse headers or by \
                         Authorization, but only in one of them";
            return Err(Exception::new(AUTHENTICATION_FAILED, words));
        }
        let odd = || {
            Exception::new(
                AUTHENTICATION_FAILED,
                "Invalid authentication: Authorization can't be read",
            )
        };
        let (user, key, token) = match authorization {
            None if ways[0] => (in_headers.0, in_headers.1, None),
            None => (in_url.0, in_url.1, None),
            Some(value) => match value.split_once(' ') {
                Some((kind, token)) if kind.eq_ignore_ascii_case("basic") => {
                    let plain = STANDARD
                        .decode(token.trim())
                        .ok()
                        .and_then(|p| String::from_utf8(p).ok());
                    let plain = plain.ok_or_else(odd)?;
                    let (user, key) = plain.split_once(':').ok_or_else(odd)?;
                    (Some(user.to_string()), Some(key.to_string()), None)
                }
                Some((kind, _)) if kind.eq_ignore_ascii_case("bearer") => (None, None, Some(value)),
                _ => return Err(odd()),
            },
        };
        // A line break would forge a header.
        if [&user, &key, &token]
            .into_iter()
            .flatten()
            .any(|v| v.chars().any(char::is_control))
        {
            return Err(odd());
        }
        Ok(Credentials { user, key, token })
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

#[cfg(test)]
mod tests {
    use super::*;

    fn read(query: &str, headers: &[(&str, &str)]) -> Result<Credentials, Exception> {
        let headers: Vec<_> = headers
            .iter()
            .map(|h| (h.0.to_string(), h.1.to_string()))
            .collect();
        Credentials::read(&Params::parse(query).expect("few"), &headers)
    }

    #[test]
    fn all_three_places_mean_the_same_and_are_told_by_headers_alone() {
        let basic = format!("Basic {}", STANDARD.encode("jana:pa:ss"));
        let all = [
            read("user=jana&password=pa%3Ass", &[]),
            read(
                "",
                &[("x-clickhouse-user", "jana"), ("X-ClickHouse-Key", "pa:ss")],
            ),
            read("", &[("Authorization", &basic)]),
        ];
        for one in all {
            let one = one.expect("well formed");
            assert_eq!(
                one.headers().collect::<Vec<_>>(),
                [(USER, "jana"), (KEY, "pa:ss")]
            );
            assert!(!format!("{one:?}").contains("ss"));
        }
        let bearer = read("", &[("Authorization", "Bearer a.b.c")]).expect("a token");
        assert_eq!(
            bearer.headers().collect::<Vec<_>>(),
            [("Authorization", "Bearer a.b.c")]
        );
        assert_eq!(read("", &[]).expect("nobody").headers().count(), 0);
    }

    #[test]
    fn two_places_at_once_and_what_cannot_be_read_are_refused() {
        assert_eq!(read("user=a", &[(USER, "b")]).expect_err("both").code, 516);
        for odd in ["Basic %%%", "Basic amFuYQ==", "Digest x", "Basic"] {
            assert_eq!(
                read("", &[("Authorization", odd)]).expect_err(odd).code,
                516
            );
        }
        let forged = STANDARD.encode("jana\r\nX-Evil: 1:x");
        assert!(read("", &[("Authorization", &format!("Basic {forged}"))]).is_err());
    }
}
