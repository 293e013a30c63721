//! Checks that the program and its examples contain no customer's class names: classes are known by their settings
//! only.

use std::path::Path;

/// Class names of known customers.
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

// Guards against decisions, log lines or metrics that are specific to one customer, and against such examples.
#[test]
fn no_customer_class_is_named_in_the_program_or_its_examples() {
    let (mut files, mut found) = (0, Vec::new());
    for folder in ["src", "examples", "deploy"] {
        search(&Path::new(env!("CARGO_MANIFEST_DIR")).join(folder), &mut files, &mut found);
    }
    assert!(files > 100, "{files} files");
    assert!(found.is_empty(), "{}", found.join("\n"));
}
