#!/bin/sh
# Prepares the stand-ins of the cases 4 to 8. They are plain JavaScript and need no compilation: this checks that the
# build of the deploy file has made the programs, and that every script can be parsed.
set -eu
cd "$(dirname "$0")"
test -f ../target/main.js
for file in stand-ins-2/*.mjs [4-8]/run.mjs; do node --check "$file"; done
