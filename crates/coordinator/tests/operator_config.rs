//! The operator's configuration file: the defaults of a minimal file, and the position and advice in error messages.

use driftfront::config::{Config, DiscoverySource, Protocol};
use driftfront::operator_config::{read, Position, EXAMPLE};

fn config(text: &str) -> Config {
    Config::from_operator_text(text).unwrap_or_else(|e| panic!("{e}"))
}

#[test]
fn minimal_file_and_example_are_valid() {
    let minimal = config(
        "engines {\n engine \"e1\" at=\"127.0.0.1:1\"\n engine \"e2\" at=\"127.0.0.1:2\"\n}\n",
    );
    assert_eq!(
        (minimal.protocol, minimal.classes.names.len()),
        (Protocol::ClickHouse, 3)
    );
    assert_eq!(
        (minimal.discovery, minimal.known_updates.len()),
        (DiscoverySource::Fixed, 1)
    );
    assert_eq!(
        (
            minimal.clickhouse.read_class,
            minimal.clickhouse.write_class
        ),
        (0, 2)
    );
    let example = config(EXAMPLE);
    assert_eq!(example.listen, "127.0.0.1:8123".parse().unwrap());
    assert_eq!(
        &*example.classes.default_timeouts,
        [2_500_000, 15_000_000, 25_000_000]
    );
    let etcd = config("engines { etcd \"127.0.0.1:2379\" prefix=\"/x/\"; }");
    assert_eq!(
        etcd.discovery,
        DiscoverySource::Etcd("127.0.0.1:2379".parse().unwrap(), "/x/".into())
    );
}

#[test]
fn errors_are_reported_with_position_and_advice() {
    let engines = "engines { engine \"e\" at=\"127.0.0.1:1\"; }\n";
    for (text, (line, column), message) in [
        ("lissten \"x\"\n", (1, 1), "did you mean listen?"),
        ("listen 5\n", (1, 8), "write it as listen"),
        ("\n  listen \"here\"\n", (2, 3), "127.0.0.1:8123"),
        (
            "front \"mysql\"\n",
            (1, 1),
            "\"clickhouse\" or \"platform\"",
        ),
        (
            "class \"a\" wanted=\"500\" patience=\"1 s\"\n",
            (1, 11),
            "500 ms",
        ),
        (
            "class \"a\" wanted=\"2 s\" patience=\"1 s\"\n",
            (1, 1),
            "at least as long",
        ),
        ("class \"a\" patience=\"1 s\"\n", (1, 1), "add wanted"),
        (
            "class \"a\" wanted=\"1 s\" patience=\"2 s\" once=\"yes\"\n",
            (1, 39),
            "#true or #false",
        ),
        (
            "class \"a\" wonted=\"1 s\"\n",
            (1, 11),
            "known properties: wanted",
        ),
        ("limits sockets=3\n", (1, 8), "from 64"),
        ("reads \"nothing\"\n", (1, 1), "known classes: "),
        (
            "engines {\n  engine \"e\" at=\"here\"\n}\n",
            (2, 3),
            "write at=",
        ),
        (
            "listen \"127.0.0.1:1\"\nlisten \"127.0.0.1:1\"\n",
            (2, 1),
            "remove one",
        ),
        ("", (1, 1), "add engines"),
    ] {
        let full_text = if text.contains("engines") || text.is_empty() {
            text.to_string()
        } else {
            text.to_string() + engines
        };
        let error = read(&full_text).expect_err(text);
        assert_eq!(error.position, Position { line, column }, "{text}: {error}");
        assert!(error.to_string().contains(message), "{text}: {error}");
        assert!(error.display_in_file("f.kdl", &full_text).contains('^'));
    }
    assert!(read("engines {").is_err() && read("\"").is_err());
}
