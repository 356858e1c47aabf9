#!/usr/bin/env bash
# Puts the stand-ins and cases, plain scripts that the linter takes as .mts files, where Node runs them.
set -eu
cd "$(dirname "$0")"
for file in stand-ins/*.mts [1-5]/*.mts; do
	mkdir -p "lib/$(dirname "$file")"
	cp "$file" "lib/${file%.mts}.mjs"
	node --check "lib/${file%.mts}.mjs"
done
