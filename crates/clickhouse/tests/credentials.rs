//! Credentials in the URL, in ClickHouse's header fields and in `Authorization`.

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use driftfront_clickhouse::credentials::{Credentials, CredentialsError};
use driftfront_clickhouse::params::Params;

const USER: &str = "X-ClickHouse-User";
const KEY: &str = "X-ClickHouse-Key";

fn read(query: &str, headers: &[(&str, &str)]) -> Result<Credentials, CredentialsError> {
    let headers: Vec<_> = headers
        .iter()
        .map(|h| (h.0.to_string(), h.1.to_string()))
        .collect();
    Credentials::parse(&Params::parse(query).expect("few"), &headers)
}

#[test]
fn credentials_from_all_three_places_become_headers() {
    let basic = format!("Basic {}", STANDARD.encode("jana:pa:ss"));
    let all = [
        read("user=jana&password=pa%3Ass", &[]),
        read(
            "",
            &[("x-clickhouse-user", "jana"), ("X-ClickHouse-Key", "pa:ss")],
        ),
        read("", &[("Authorization", &basic)]),
    ];
    for credentials in all {
        let credentials = credentials.expect("well formed");
        assert_eq!(
            credentials.headers().collect::<Vec<_>>(),
            [(USER, "jana"), (KEY, "pa:ss")]
        );
        assert!(!format!("{credentials:?}").contains("ss"));
    }
    let bearer = read("", &[("Authorization", "Bearer a.b.c")]).expect("a token");
    assert_eq!(
        bearer.headers().collect::<Vec<_>>(),
        [("Authorization", "Bearer a.b.c")]
    );
    assert_eq!(read("", &[]).expect("no credentials").headers().count(), 0);
}

#[test]
fn ambiguous_or_unreadable_credentials_are_rejected() {
    assert_eq!(
        read("user=a", &[(USER, "b")]).expect_err("both").code(),
        516
    );
    for value in ["Basic %%%", "Basic amFuYQ==", "Digest x", "Basic"] {
        assert_eq!(
            read("", &[("Authorization", value)])
                .expect_err(value)
                .code(),
            516
        );
    }
    let injected = STANDARD.encode("jana\r\nX-Evil: 1:x");
    assert!(read("", &[("Authorization", &format!("Basic {injected}"))]).is_err());
}
