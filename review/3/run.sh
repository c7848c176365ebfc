#!/usr/bin/env bash
# Usage: run.sh; with TROUBLE=0 without the disruption. Needs the build of the deploy file and review/build.sh.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
set -uo pipefail
cd "$(dirname "$0")"
program=../build/late_heartbeat
[ -x "$program" ] || { echo "run review/build.sh first" >&2; exit 2; }
exec timeout --foreground -k 1 115 "$program" "$(cd ../.. && pwd)" "$PWD"
