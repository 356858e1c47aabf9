#!/usr/bin/env bash
# TROUBLE=0 plays the case without the disruption.
cd "$(dirname "$0")" || exit 2
[ -f ../lib/5/case.mjs ] || ../build.sh || exit 2
TROUBLE="${TROUBLE:-1}" exec node ../lib/5/case.mjs
