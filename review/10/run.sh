#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
if [ ! -d "$folder/../../target/deps/foxtaildaled" ]; then
  echo "the build of the deploy file is missing" >&2
  exit 2
fi
exec python3 "$folder/case.py"
