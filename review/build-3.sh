#!/usr/bin/env bash
# The stand-ins of these cases are plain scripts in lib-3 and need no build; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do node --check "$file"; done
