#!/usr/bin/env bash
# Puts the stand-ins and the cases 7 to 10, plain scripts that the linter takes as .mts files, where Node runs them.
set -eu
cd "$(dirname "$0")"
for file in stand-ins-2/*.mts {7..10}/*.mts; do
	mkdir -p "lib/$(dirname "$file")"
	cp "$file" "lib/${file%.mts}.mjs"
	node --check "lib/${file%.mts}.mjs"
done
