#!/usr/bin/env bash
# Builds the cases of the review and the stand-ins that they start, those of
# the project too, into target/review. The deploy file's build comes first: it
# installs the packages and compiles the program under test.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
node node_modules/typescript/bin/tsc -p review/tsconfig.json
