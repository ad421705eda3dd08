//! Fragmented transfers.

use driftfront_cluster::consensus::fragmentation::{
    Fragment, Received, Transfers, FRAGMENT_BYTES, MAX_TRANSFERS, MAX_TRANSFER_BYTES,
    TRANSFER_TIMEOUT,
};

#[test]
fn transfer_arrives_despite_loss_repeats_and_reordering() {
    let bytes: Vec<u8> = (0..25_300u32).map(|n| (n * 7 % 251) as u8).collect();
    let (mut a, mut b) = (Transfers::default(), Transfers::default());
    let mut in_flight = a.send(0, "b", 3, bytes.clone());
    let (mut now, mut n) = (0, 0);
    let received = loop {
        let mut received = None;
        for fragment in in_flight.drain(..).rev() {
            n += 1;
            // Every third fragment is lost, and every fifth arrives twice.
            if n % 3 == 0 {
                continue;
            }
            if n % 5 == 0 {
                received = b.receive(now, "a", fragment.clone()).or(received);
            }
            received = b.receive(now, "a", fragment).or(received);
        }
        if let Some(received) = received {
            break received;
        }
        now += 100_000;
        assert!(now < 20_000_000, "the transfer did not complete");
        for request in b.tick(now) {
            assert_eq!(request.sender, "a");
            in_flight.extend(a.resend(now, "b", request.transfer, &request.numbers));
        }
    };
    assert_eq!(received, Received { kind: 3, bytes });
    assert_eq!(b.incoming_count(), 0);
    // Other members can't request its fragments, and it is dropped when there are no more requests.
    assert!(a.resend(now, "c", 1, &[0]).is_empty());
    a.tick(now + TRANSFER_TIMEOUT * 2);
    assert_eq!(a.outgoing_count(), 0);
}

#[test]
fn transfers_are_bounded_and_contradicting_fragments_dropped() {
    let mut transfers = Transfers::default();
    for n in 0..3 * MAX_TRANSFERS {
        transfers.send(0, &format!("m{n}"), 1, vec![1; 3000]);
        let fragment = Fragment {
            transfer: 1,
            kind: 1,
            number: 0,
            count: 9,
            bytes: vec![0; 10],
        };
        assert!(transfers
            .receive(n as u64, &format!("m{n}"), fragment)
            .is_none());
    }
    assert_eq!(
        (transfers.outgoing_count(), transfers.incoming_count()),
        (MAX_TRANSFERS, MAX_TRANSFERS)
    );
    let last = format!("m{}", 3 * MAX_TRANSFERS - 1);
    for (number, count, length) in [
        (0, 5, 10),
        (9, 9, 10),
        (0, 0, 0),
        (0, u16::MAX, 5),
        (0, 9, FRAGMENT_BYTES + 1),
    ] {
        let fragment = Fragment {
            transfer: 1,
            kind: 1,
            number,
            count,
            bytes: vec![0; length],
        };
        assert!(transfers.receive(99, &last, fragment).is_none());
    }
    assert!(transfers
        .send(0, "x", 1, vec![0; MAX_TRANSFER_BYTES + 1])
        .is_empty());
}
