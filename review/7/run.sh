#!/bin/sh
# Exits with 1 if a server got requests too late after its entry was removed, 0 if not, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/yuccarudder-platform ] && [ -x target/review-2/stand2 ] || exit 2
TROUBLE="${TROUBLE:-1}" exec target/review-2/stand2 unnoticed review/7/record.txt
