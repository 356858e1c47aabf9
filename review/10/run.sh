#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays the case without the disruption.
cd "$(dirname "$0")" || exit 2
[ -f ../lib/10/case.mjs ] || ../build-2.sh || exit 2
TROUBLE="${TROUBLE:-1}" exec node ../lib/10/case.mjs
