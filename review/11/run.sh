#!/usr/bin/env bash
# A part of a prompt crashes runners; sound requests share their other parts with it.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Build first: the build of deploy/system.toml, then review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mimosaseam ] && [ -x target/lab-3 ] || { echo "not built" >&2; exit 2; }
exec target/lab-3 part target/mimosaseam review/11/record.txt
