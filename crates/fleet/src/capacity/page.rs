//! Generated tables in a Markdown page, between `<!-- tables: NAME -->` and `<!-- end -->`.

/// Why a page's tables can't be replaced.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum PageError {
    /// There is no table of that name.
    #[error("line {line}: there is no table {name}; the tables are {known}")]
    UnknownTable {
        /// Line number, from 1.
        line: usize,
        /// The name in the page.
        name: String,
        /// The names of all tables.
        known: String,
    },
    /// A start marker has no end marker.
    #[error("line {line}: no {END} before the next table or the end of the page")]
    Unclosed {
        /// Line number of the start marker, from 1.
        line: usize,
    },
}

const BEGIN: &str = "<!-- tables: ";
const END: &str = "<!-- end -->";

/// Returns the page with the text between each pair of markers replaced by the table of that name.
pub fn rewrite(page: &str, tables: &[(&str, String)]) -> Result<String, PageError> {
    let name_of = |line: &str| Some(line.trim().strip_prefix(BEGIN)?.strip_suffix("-->")?.trim().to_owned());
    let mut out = String::new();
    let mut lines = page.split_inclusive('\n').enumerate();
    while let Some((i, line)) = lines.next() {
        out.push_str(line);
        let Some(name) = name_of(line) else { continue };
        let Some((_, table)) = tables.iter().find(|(n, _)| *n == name) else {
            let known: Vec<_> = tables.iter().map(|(n, _)| *n).collect();
            return Err(PageError::UnknownTable { line: i + 1, name, known: known.join(", ") });
        };
        // Some Markdown parsers recognize a table only between empty lines.
        out.push_str(&format!("\n{table}\n"));
        let unclosed = PageError::Unclosed { line: i + 1 };
        loop {
            match lines.next() {
                Some((_, line)) if line.trim() == END => {
                    out.push_str(line);
                    break;
                }
                Some((_, line)) if name_of(line).is_none() => {}
                _ => return Err(unclosed),
            }
        }
    }
    Ok(out)
}
