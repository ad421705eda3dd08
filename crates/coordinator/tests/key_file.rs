//! Reading the key file of a cluster: file permissions and key syntax.

use driftfront::node::read_keys;
use std::os::unix::fs::PermissionsExt;

#[test]
fn key_file_readable_by_others_or_without_a_key_is_refused() {
    let path = std::env::temp_dir().join(format!("driftfront-keys-{}", std::process::id()));
    let set_mode =
        |mode| std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).unwrap();
    std::fs::write(&path, "000102030405060708090a0b0c0d0e0f\n").unwrap();
    set_mode(0o644);
    let error = read_keys(&path).unwrap_err().to_string();
    assert!(error.contains("chmod 600"));
    set_mode(0o600);
    assert_eq!(read_keys(&path).unwrap().ids().len(), 1);
    std::fs::write(&path, "secret").unwrap();
    // The error names the line and does not print the invalid key.
    let error = read_keys(&path).unwrap_err().to_string();
    assert!(
        error.contains("line 1") && !error.contains("secret"),
        "{error}"
    );
    std::fs::remove_file(&path).unwrap();
    assert!(read_keys(&path).is_err());
}
