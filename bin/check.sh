#!/usr/bin/env bash
# Installs, builds, lints, checks the format and runs every test. The last line counts the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
npm ci --silent
npm run --silent build
npm run --silent lint
npm run --silent format
node bin/run-tests.js
