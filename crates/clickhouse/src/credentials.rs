//! Client credentials: in the URL, in ClickHouse's header fields, or in `Authorization`.

use crate::exception::codes::AUTHENTICATION_FAILED;
use crate::exception::Exception;
use crate::params::Params;
use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use driftfront_http::header;
use std::fmt;

const USER_HEADER: &str = "X-ClickHouse-User";
const KEY_HEADER: &str = "X-ClickHouse-Key";
const AUTHORIZATION_HEADER: &str = "Authorization";
const USER_PARAM: &str = "user";
const PASSWORD_PARAM: &str = "password";

/// Why credentials are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CredentialsError {
    /// Credentials are given in more than one place.
    #[error(
        "Invalid authentication: a user may be named in the URL, in X-ClickHouse headers or by Authorization, but \
         only in one of them"
    )]
    SeveralPlaces,
    /// `Authorization` has an unknown scheme or is malformed, or a value contains control characters.
    #[error("Invalid authentication: Authorization can't be read")]
    Unreadable,
}

impl CredentialsError {
    /// ClickHouse's error code.
    pub fn code(self) -> u32 {
        AUTHENTICATION_FAILED
    }
}

impl From<CredentialsError> for Exception {
    fn from(error: CredentialsError) -> Exception {
        Exception::new(error.code(), &error.to_string())
    }
}

/// A user name and key, or a bearer token. They are never written to a forwarded URL or a log.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Credentials {
    /// The user name; `None` leaves the choice to the engine.
    pub user: Option<String>,
    key: Option<String>,
    /// The value of `Authorization` with a bearer token, forwarded unchanged.
    bearer: Option<String>,
}

impl fmt::Debug for Credentials {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credentials(not shown)")
    }
}

impl Credentials {
    /// Extracts the credentials of a request. As in ClickHouse, only one of the three places may be used.
    ///
    /// # Errors
    ///
    /// If more than one place is used, or a value is invalid.
    pub fn parse(
        params: &Params,
        headers: &[(String, String)],
    ) -> Result<Credentials, CredentialsError> {
        let own = |value: Option<&str>| value.map(String::from);
        let in_headers = Credentials {
            user: own(header(headers, USER_HEADER)),
            key: own(header(headers, KEY_HEADER)),
            bearer: None,
        };
        let in_url = Credentials {
            user: own(params.get(USER_PARAM)),
            key: own(params.get(PASSWORD_PARAM)),
            bearer: None,
        };
        let credentials = match header(headers, AUTHORIZATION_HEADER) {
            Some(_) if !in_headers.is_empty() || !in_url.is_empty() => {
                return Err(CredentialsError::SeveralPlaces);
            }
            Some(value) => {
                Credentials::parse_authorization(value).ok_or(CredentialsError::Unreadable)?
            }
            None if in_headers.is_empty() => in_url,
            None if in_url.is_empty() => in_headers,
            None => return Err(CredentialsError::SeveralPlaces),
        };
        credentials.check_values()?;
        Ok(credentials)
    }

    fn is_empty(&self) -> bool {
        *self == Credentials::default()
    }

    /// Rejects control characters: a line break in a value would inject a header field.
    fn check_values(&self) -> Result<(), CredentialsError> {
        let has_control = |value: &str| value.chars().any(char::is_control);
        if self.headers().any(|(_, value)| has_control(value)) {
            return Err(CredentialsError::Unreadable);
        }
        Ok(())
    }

    /// Parses the schemes `Basic` and `Bearer`.
    fn parse_authorization(value: &str) -> Option<Credentials> {
        let (scheme, token) = value.split_once(' ')?;
        if scheme.eq_ignore_ascii_case("bearer") {
            return Some(Credentials {
                bearer: Some(value.into()),
                ..Credentials::default()
            });
        }
        if !scheme.eq_ignore_ascii_case("basic") {
            return None;
        }
        let decoded = STANDARD.decode(token.trim()).ok()?;
        let decoded = String::from_utf8(decoded).ok()?;
        let (user, key) = decoded.split_once(':')?;
        Some(Credentials {
            user: Some(user.into()),
            key: Some(key.into()),
            bearer: None,
        })
    }

    /// The header fields that carry the credentials to an engine.
    pub fn headers(&self) -> impl Iterator<Item = (&'static str, &str)> {
        let fields = [
            (USER_HEADER, &self.user),
            (KEY_HEADER, &self.key),
            (AUTHORIZATION_HEADER, &self.bearer),
        ];
        fields
            .into_iter()
            .filter_map(|(name, value)| Some((name, value.as_deref()?)))
    }

    /// Whether a header field of this name carries credentials.
    pub fn is_credentials_header(name: &str) -> bool {
        [USER_HEADER, KEY_HEADER, AUTHORIZATION_HEADER]
            .iter()
            .any(|field| field.eq_ignore_ascii_case(name))
    }
}
