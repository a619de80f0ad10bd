//! Recorded bytes of a format, in hexadecimal text files beside this one.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Returns the bytes in `tests/formats/NAME.hex`, without white space.
pub fn recorded(name: &str) -> Vec<u8> {
    let file = format!("tests/formats/{name}.hex");
    let text = fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(&file))
        .unwrap_or_else(|cause| panic!("{file}: {cause}"));
    let digits: Vec<u32> = text
        .chars()
        .filter(|digit| !digit.is_whitespace())
        .map(|digit| digit.to_digit(16).unwrap_or_else(|| panic!("{file}: {digit:?}")))
        .collect();
    digits.chunks(2).map(|pair| (pair[0] << 4 | pair[1]) as u8).collect()
}

/// Compares each case with its recorded bytes, and names all cases that differ.
pub fn assert_recorded<'a>(cases: impl IntoIterator<Item = (&'a str, Vec<u8>)>) {
    let changed: Vec<String> = cases
        .into_iter()
        .filter(|(name, bytes)| recorded(name) != *bytes)
        .map(|(name, bytes)| format!("{name}: {}", to_hex(&bytes)))
        .collect();
    assert!(changed.is_empty(), "these formats have changed, to:\n{}", changed.join("\n"));
}

/// Asserts that each recorded file has a case, so that no case can disappear from a table unnoticed.
pub fn assert_all_recorded<'a>(names: impl IntoIterator<Item = &'a str>) {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/formats");
    let recorded: BTreeSet<String> = fs::read_dir(directory)
        .expect("the directory of this file")
        .map(|entry| entry.expect("readable").file_name().to_string_lossy().into_owned())
        .filter_map(|file| file.strip_suffix(".hex").map(str::to_string))
        .collect();
    assert_eq!(names.into_iter().map(str::to_string).collect::<BTreeSet<_>>(), recorded);
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
