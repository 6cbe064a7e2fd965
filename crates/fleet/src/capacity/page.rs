//! Tables in a page, between `<!-- tables: NAME -->` and `<!-- end -->`.

/// Why a page can't be rewritten.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum PageError {
    /// There is no table of that name.
    #[error("line {line}: there is no table {name}: one of {known}")]
    Unknown {
        /// From 1.
        line: usize,
        /// What the page asks for.
        name: String,
        /// What there is.
        known: String,
    },
    /// A table's place does not end.
    #[error("line {line}: no {END} follows before the next table or the page's end")]
    Open {
        /// From 1.
        line: usize,
    },
}

const BEGIN: &str = "<!-- tables: ";
const END: &str = "<!-- end -->";

/// The page with its tables as they are now.
pub fn rewrite(page: &str, tables: &[(&str, String)]) -> Result<String, PageError> {
    let name_of = |line: &str| Some(line.trim().strip_prefix(BEGIN)?.strip_suffix("-->")?.trim().to_owned());
    let mut out = String::new();
    let mut lines = page.split_inclusive('\n').enumerate();
    while let Some((i, line)) = lines.next() {
        out.push_str(line);
        let Some(name) = name_of(line) else { continue };
        let Some((_, table)) = tables.iter().find(|(n, _)| *n == name) else {
            let known: Vec<_> = tables.iter().map(|(n, _)| *n).collect();
            return Err(PageError::Unknown { line: i + 1, name, known: known.join(", ") });
        };
        // An empty line on both sides, or a table is none for some readers of markdown.
        out.push_str(&format!("\n{table}\n"));
        let open = PageError::Open { line: i + 1 };
        loop {
            match lines.next() {
                Some((_, line)) if line.trim() == END => {
                    out.push_str(line);
                    break;
                }
                Some((_, line)) if name_of(line).is_none() => {}
                _ => return Err(open),
            }
        }
    }
    Ok(out)
}
