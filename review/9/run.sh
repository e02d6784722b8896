#!/bin/sh
# An endpoint withdraws itself, all processes are killed and started again, and a report of before arrives late;
# TROUBLE=0 leaves out the kill and the delay of the report.
# Exits with 1 if the endpoint got requests too late, 0 if not, 2 if the case could not run. It takes 16 s.
cd "$(dirname "$0")/../.." || exit 2
target/review-2/departures review/9 herd
code=$?
[ "$code" -eq 0 ] || [ "$code" -eq 1 ] || exit 2
exit "$code"
