#!/usr/bin/env bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
if [ ! -x "$root/target/slatewindd" ]; then
  echo "target/slatewindd is missing: run the build command of deploy/system.toml"
  exit 2
fi
../build.sh || exit 2
timeout --kill-after=5 115 ../bin/standin truncated "$root" "$PWD/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
