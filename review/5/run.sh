#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
program=target/review/case-5
[ -x "$program" ] && [ -x target/daisylead-entry ] || exit 2
exec "$program" review/5
