#!/bin/sh
# Plays a server that leaves while all entries but one are without power, for 20 s; with TROUBLE=0 the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/target/stand-in ] && [ -x target/release/apricot-platform-entry ] || exit 2
TROUBLE="${TROUBLE:-1}" exec review/target/stand-in stale review/2
