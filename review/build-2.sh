#!/bin/sh
# Builds the stand-ins of the second review and its cases into target/review-2; needs the tool chain alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    [ -f "review/$number/scenario.rs" ] || continue
    main="target/review-2/main$number.rs"
    cat > "$main" <<END
#[path = "../../review/standins-2.rs"]
mod standins;
#[path = "../../review/$number/scenario.rs"]
mod case;
fn main() {
    let folder = std::env::args().nth(1).unwrap_or("review/$number".into());
    standins::run_case(&folder, case::case)
}
END
    rustc --edition 2024 -O -o "target/review-2/case$number" "$main"
done
