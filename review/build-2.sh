#!/usr/bin/env bash
# Checks the stand-ins of the cases 7 to 10; they are plain scripts, so nothing is to be built.
set -eu
cd "$(dirname "$0")"
for file in stand-ins-2/*.js; do
	node --check "$file"
done
