#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/valveslip ] || [ ! -x target/review-stand ]; then
  echo "build the program with the command of deploy/system.toml, then run review/build.sh"
  exit 2
fi
timeout -k 5 115 target/review-stand review/1
status=$?
[ $status -le 1 ] && exit $status
exit 2
