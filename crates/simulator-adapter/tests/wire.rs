//! Tests of the wire protocol with hand-built and malformed frames.
#![allow(
    clippy::cast_possible_truncation,
    reason = "the frames of these tests are small"
)]

use driftfront_simulator_adapter::{parse_settings, read_batch, Host};

const SETTINGS: &str = r#"{"Balancers": 1, "Zone": 0, "Novelty": 7, "MembershipMode": "push",
 "Caps": {"Cancel": true, "RetryAfter": true, "MaxRetryAfterUs": 500000},
 "FamilyInfo": {"GrantsCount": true, "SizeCores": [8], "WidthByClass": [1]},
 "Profiles": [{"Effect": "free", "OnTimeUs": 1000000, "DeadlineUs": 5000000, "Worth": 1.0}]}"#;

fn record(code: u8, fields: &[u8]) -> Vec<u8> {
    let mut r = vec![code];
    r.extend((fields.len() as u32).to_be_bytes());
    r.extend(fields);
    r
}

fn start(instance: u16, settings: &str) -> Vec<u8> {
    let mut f = instance.to_be_bytes().to_vec();
    f.extend(9u64.to_be_bytes());
    f.extend((settings.len() as u32).to_be_bytes());
    f.extend(settings.as_bytes());
    record(0, &f)
}

fn catalog_and_topology(instance: u16) -> Vec<u8> {
    let mut f = [0, 0, 0, 0, 0, 0, 0, 1].to_vec();
    f.extend([
        10, 18, 74, 7, 0x23, 0x2b, 0, 0, 0, 0, 0, 0, 0, 0x3f, 0x80, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0,
    ]);
    let mut all = record(11, &f);
    let mut t = instance.to_be_bytes().to_vec();
    t.extend([0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 41, 2]);
    all.extend(record(1, &t));
    all
}

fn request(instance: u16, id: u64) -> Vec<u8> {
    let mut f = instance.to_be_bytes().to_vec();
    f.extend(id.to_be_bytes());
    f.extend(f32::NAN.to_bits().to_be_bytes());
    f.extend([0, 0, 0, 0, 0, 0, 1]);
    f.extend(12_000u32.to_be_bytes());
    f.extend(11f32.to_bits().to_be_bytes());
    f.extend(0u64.to_be_bytes());
    f.extend(240_000u32.to_be_bytes());
    record(2, &f)
}

/// Decodes a reply into the codes and fields of its actions.
fn actions(reply: &[u8]) -> Vec<(u8, Vec<u8>)> {
    let count = u32::from_be_bytes(reply[..4].try_into().unwrap());
    let length = u32::from_be_bytes(reply[4..8].try_into().unwrap());
    assert_eq!(reply.len(), 8 + length as usize);
    let mut rest = &reply[8..];
    let mut all = Vec::new();
    while !rest.is_empty() {
        let n = u32::from_be_bytes(rest[1..5].try_into().unwrap()) as usize;
        all.push((rest[0], rest[5..5 + n].to_vec()));
        rest = &rest[5 + n..];
    }
    assert_eq!(all.len(), count as usize);
    all
}

#[test]
fn empty_batch_gets_an_empty_reply() {
    let frame = [0, 0, 0, 0, 0, 0, 0, 0, 0, 0x80, 0x5c, 0x5a];
    let (now, body) = read_batch(&mut &frame[..]).unwrap().unwrap();
    assert_eq!((now, body.len()), (0x80_5c5a, 0));
    assert_eq!(Host::default().batch(now, &body).unwrap(), [0; 8]);
    assert!(read_batch(&mut &[][..]).unwrap().is_none());
}

#[test]
fn attempt_carries_the_query_id_and_engine_address_unchanged() {
    let mut body = start(3, SETTINGS);
    body.extend(catalog_and_topology(3));
    body.extend(record(200, &[1, 2, 3]));
    body.extend(request(3, 0x0e_9a2c_5d3a_91c4));
    let reply = Host::default().batch(1_000_000, &body).unwrap();
    let sent: Vec<_> = actions(&reply).into_iter().filter(|a| a.0 == 64).collect();
    assert_eq!(sent.len(), 1);
    let f = &sent[0].1;
    assert_eq!(f[..10], [0, 3, 0, 0x0e, 0x9a, 0x2c, 0x5d, 0x3a, 0x91, 0xc4]);
    assert_eq!(f[14..], [10, 18, 74, 7, 0x23, 0x2b]);
}

#[test]
fn instances_behave_the_same_in_one_host_and_in_separate_hosts() {
    let set_up = |i: u16| [start(i, SETTINGS), catalog_and_topology(i), request(i, 5)].concat();
    let both = Host::default()
        .batch(5, &[set_up(0), set_up(1)].concat())
        .unwrap();
    let one = |i| Host::default().batch(5, &set_up(i)).unwrap();
    assert_eq!(
        actions(&both),
        [actions(&one(0)), actions(&one(1))].concat()
    );
}

#[test]
fn restart_in_one_batch_starts_without_state() {
    let mut host = Host::default();
    let stop = record(9, &[0, 3]);
    let body = [start(3, SETTINGS), stop, start(3, SETTINGS), request(3, 5)].concat();
    assert!(actions(&host.batch(5, &body).unwrap())
        .iter()
        .all(|a| a.0 == 68));
}

#[test]
fn malformed_frames_return_descriptive_errors() {
    assert!(read_batch(&mut &[0, 0, 0][..])
        .unwrap_err()
        .to_string()
        .contains("header"));
    assert!(
        read_batch(&mut &[0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 0, 1][..])
            .unwrap_err()
            .to_string()
            .contains("1 of 9")
    );
    let mut host = Host::default();
    host.batch(5, &start(3, SETTINGS)).unwrap();
    assert!(host
        .batch(5, &request(3, 5)[..30])
        .unwrap_err()
        .to_string()
        .contains("cut short"));
    assert!(host
        .batch(5, &record(2, &[0, 3]))
        .unwrap_err()
        .to_string()
        .contains("cut short"));
    let missing_catalog = record(1, &[0, 3, 0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
    assert!(host
        .batch(5, &missing_catalog)
        .unwrap_err()
        .to_string()
        .contains("catalog"));
}

#[test]
fn invalid_settings_fail_the_instance_and_name_the_key() {
    for (from, to, key) in [
        ("\"Balancers\": 1,", "", "Balancers"),
        ("\"OnTimeUs\": 1000000,", "", "Profiles[0].OnTimeUs"),
        ("\"free\"", "\"odd\"", "Profiles[0].Effect"),
        ("\"Worth\": 1.0", "\"Worth\": \"x\"", "Profiles[0].Worth"),
    ] {
        let reply = Host::default()
            .batch(5, &start(3, &SETTINGS.replace(from, to)))
            .unwrap();
        let all = actions(&reply);
        assert_eq!(all[0].0, 73);
        assert!(String::from_utf8_lossy(&all[0].1).contains(key), "{key}");
    }
    assert!(parse_settings(SETTINGS.as_bytes()).is_ok());
}
