//! Where results go: files, or standard output for `-`.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;

pub fn create(path: &Path) -> Result<Box<dyn Write>, String> {
    if path == Path::new("-") {
        return Ok(Box::new(std::io::stdout()));
    }
    let file = File::create(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(Box::new(BufWriter::new(file)))
}

pub fn write_json(path: &Path, value: &impl serde::Serialize) -> Result<(), String> {
    let mut out = create(path)?;
    let fail = |e: std::io::Error| format!("{}: {e}", path.display());
    serde_json::to_writer_pretty(&mut out, value).map_err(|e| fail(e.into()))?;
    out.write_all(b"\n").and_then(|()| out.flush()).map_err(fail)
}
