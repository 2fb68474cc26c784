//! The stand-ins say what they need.

use std::process::Command;

#[test]
fn a_stand_in_without_its_kind_says_so() {
    let output = Command::new(env!("CARGO_BIN_EXE_standin"))
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.contains("say engine or service"), "{error}");
}
