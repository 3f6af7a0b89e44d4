#!/usr/bin/env bash
# Runs the commands of a page as they are printed, all in one shell, and fails at the first that fails.
# Only the loopback address is exchanged for one of this run's own, so that two runs do not meet on a port.
#
#     docs/try.sh docs/OPERATIONS.md
set -euo pipefail
cd "$(dirname "$0")/.."
page=$1
own=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1)).$((RANDOM % 250 + 1))
commands=$(mktemp)
stop() {
  jobs=$(jobs -p)
  [ -z "$jobs" ] || kill $jobs 2>/dev/null || true
  wait
  rm -f "$commands"
}
trap stop EXIT
sed -n '/^```sh$/,/^```$/p' "$page" | grep -v '^```' | sed "s/127\.0\.0\.1/$own/g" >"$commands"
set -x
. "$commands"
set +x
echo "every command of $page ran as printed"
