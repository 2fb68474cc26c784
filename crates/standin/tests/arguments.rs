//! The error of the stand-in program when its command is missing.

use std::process::Command;

#[test]
fn a_stand_in_without_its_kind_says_so() {
    let output = Command::new(env!("CARGO_BIN_EXE_standin"))
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(
        error.contains("a command is required: engine or service"),
        "{error}"
    );
}
