#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
check=target/review-2/check-$(basename "$folder")
[ -x target/bin/olivevalved ] && [ -x "$check" ] || exit 2
timeout -k 5 115 "$check" "$folder/record.txt"
code=$?
[ $code -le 2 ] || code=2
exit $code
