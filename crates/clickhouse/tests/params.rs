//! URL parameters.

use driftfront_clickhouse::params::{decode, encode, Params, MAX_PARAMS};

#[test]
fn encoding_round_trips_and_invalid_escapes_stay() {
    for text in ["", "SELECT 1 + 2 -- žluťoučký", "a&b=c%%2", "\0\n"] {
        let mut url = String::new();
        encode(text, &mut url);
        assert_eq!(decode(&url), text);
    }
    assert_eq!(decode("a+b%2"), "a b%2");
    assert_eq!(decode("%zz%+1%41"), "%zz% 1A");
}

#[test]
fn last_value_of_a_repeated_name_is_used() {
    let params = Params::parse("a=1&a=2&b&&wait=TRUE").expect("few");
    assert_eq!(
        (params.get("a"), params.get("b"), params.non_empty("b")),
        (Some("2"), Some(""), None)
    );
    assert!(params.is_on("wait") && !params.is_on("a"));
    assert!(Params::parse(&"a&".repeat(MAX_PARAMS)).is_some());
    assert!(Params::parse(&"a&".repeat(MAX_PARAMS + 1)).is_none());
    let secret = Params::parse("password=hunter2").expect("one");
    assert!(!format!("{secret:?}").contains("hunter2"));
}
