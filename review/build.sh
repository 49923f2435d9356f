#!/bin/sh
# The stand-ins are plain JavaScript for Node.js and need no build; this checks that each can be parsed.
cd "$(dirname "$0")" && for file in lib/*.mjs */case.mjs; do node --check "$file" || exit 1; done
