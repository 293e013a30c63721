//! A class is known by what the settings say of it: no customer's names stand in the program or its examples.

use std::path::Path;

/// Classes of the customers that the program has met.
const CLASSES: [&str; 3] = ["consulta-corta", "reporte-largo", "carga-noche"];

fn search(folder: &Path, files: &mut usize, found: &mut Vec<String>) {
    for entry in std::fs::read_dir(folder).unwrap().map(|e| e.unwrap()) {
        let path = entry.path();
        if path.is_dir() {
            search(&path, files, found);
            continue;
        }
        *files += 1;
        let text = std::fs::read_to_string(&path).unwrap();
        for (i, line) in text.lines().enumerate() {
            if CLASSES.iter().any(|c| line.to_lowercase().contains(c)) {
                found.push(format!("{}:{}: {line}", path.display(), i + 1));
            }
        }
    }
}

// Guards against a decision, a log line or a figure that is made for one customer, and examples that look like it.
#[test]
fn no_class_of_a_customer_is_named_in_the_program_or_its_examples() {
    let (mut files, mut found) = (0, Vec::new());
    for folder in ["src", "examples", "deploy"] {
        search(&Path::new(env!("CARGO_MANIFEST_DIR")).join(folder), &mut files, &mut found);
    }
    assert!(files > 100, "{files} files");
    assert!(found.is_empty(), "{}", found.join("\n"));
}
