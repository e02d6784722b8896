#!/bin/sh
# Stops a node with SIGTERM while requesters beside it read their answers slowly; TROUBLE=0 leaves the SIGTERM out.
# Exits with 1 if an answer was cut off, 0 if none was, 2 if the case could not run. It takes 21 s.
cd "$(dirname "$0")/../.." || exit 2
rm -f review/6/record.txt review/6/record-*.txt
result=0
for pass in answers downloads; do
    target/review-2/slow_reader_at_stop review/6 "$pass"
    code=$?
    [ "$code" -eq 0 ] || [ "$code" -eq 1 ] || exit 2
    [ "$code" -eq 0 ] || result=1
    { echo "== $pass"; cat "review/6/record-$pass.txt"; } >> review/6/record.txt
    rm -f "review/6/record-$pass.txt"
done
exit "$result"
