#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside the deploy file's build. Their stand-ins are plain
# JavaScript without dependencies, so there is nothing to compile; their syntax is checked.
cd "$(dirname "$0")" || exit 1
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
