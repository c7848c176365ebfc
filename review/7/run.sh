#!/bin/bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
program="$root/target/review-2/late_after_leave"
[ -x "$program" ] && [ -x "$root/target/fulmarwayd" ] || { echo "build first" >&2; exit 2; }
temp="$(mktemp -d)" || exit 2
trap 'rm -rf "$temp"' EXIT
timeout -k 2 115 "$program" "$root" "$here/record.txt" "$temp"
status=$?
case "$status" in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
