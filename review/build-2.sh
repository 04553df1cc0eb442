#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside the deploy file's build: for case 6 the version that
# the deploy file names as `production`, from the repository's history, with the installed libraries. The
# stand-ins are plain JavaScript without dependencies; their syntax is checked.
set -eu
cd "$(dirname "$0")"
root=$(cd .. && pwd)
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  node --check "$file"
done
commit=$(sed -n 's/^production = "\(.*\)"$/\1/p' ../deploy/system.toml)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
git -c safe.directory='*' -C "$root" archive "$commit" | tar -x -C "$work"
ln -s "$root/node_modules" "$work/node_modules"
for folder in "$root"/packages/*/node_modules; do
  [ -e "$folder" ] || continue
  ln -s "$folder" "$work/packages/$(basename "$(dirname "$folder")")/node_modules"
done
(cd "$work" && node bin/bundle.js)
mkdir -p 6/target
cp "$work/target/baobabline.mjs" 6/target/production.mjs
