#!/bin/sh
# An endpoint is cut off from its node for 5.5 s and withdraws itself as soon as the cut has healed; a report that the cut held
# up arrives after that. TROUBLE=0 leaves out the cut. `MODE=restart` shows the same fault with another disruption.
# Exits with 1 if the endpoint got requests too late, 0 if not, 2 if the case could not run. It takes 25 s.
cd "$(dirname "$0")/../.." || exit 2
target/review-2/departures review/8 "${MODE:-cut}"
code=$?
[ "$code" -eq 0 ] || [ "$code" -eq 1 ] || exit 2
exit "$code"
