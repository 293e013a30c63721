#!/bin/sh
# Runs the case from the root of the repository; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/case9 review/9
