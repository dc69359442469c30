#!/bin/sh
# Plays the SIGTERM of an entry whose clients keep their connections, for 10 s; with TROUBLE=0 the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/target/stand-in ] && [ -x target/release/apricot-platform-entry ] || exit 2
TROUBLE="${TROUBLE:-1}" exec review/target/stand-in drain review/3
