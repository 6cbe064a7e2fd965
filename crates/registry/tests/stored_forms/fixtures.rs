//! The files of `tests/fixtures`.

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;

/// The path of a fixture.
pub fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// The bytes of a fixture.
pub fn read(name: &str) -> Vec<u8> {
    std::fs::read(path(name)).unwrap_or_else(|e| panic!("fixture {name}: {e}"))
}

/// The lines of a fixture.
pub fn read_lines(name: &str) -> Vec<String> {
    let text = String::from_utf8(read(name)).expect("the fixture is UTF-8");
    text.lines().map(str::to_owned).collect()
}

/// Writes a fixture; panics if it exists.
pub fn write(name: &str, bytes: &[u8]) {
    let path = path(name);
    std::fs::create_dir_all(path.parent().expect("a path in a folder")).expect("the folder is created");
    let mut file = File::create_new(&path).unwrap_or_else(|e| panic!("fixture {name}: {e}"));
    file.write_all(bytes).expect("the fixture is written");
}

/// Writes a fixture of lines.
pub fn write_lines(name: &str, lines: &[String]) {
    write(name, format!("{}\n", lines.join("\n")).as_bytes());
}
