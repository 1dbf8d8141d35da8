#!/usr/bin/env bash
# A heartbeat of an engine is not answered by the store, and done 5.9 s later. Meanwhile the engine has
# left: its entry is removed, and it goes on for some seconds. Exits with 1 if a request reaches it later
# than drain_ms (2 s) after the removal was acknowledged. With LEAVE=draining the engine reports that it is
# draining, and the bound counts from the acknowledgement of that.
set -u
cd "$(dirname "$0")/../.."
case=review/10
. review/tool-2/lib.sh

start_store
publish 1 "$(route look idempotent portal 2 2500)"
late=()
word=gone
leave=(--linger-ms 9000)
if [ "${LEAVE:-}" = draining ]; then
  word=draining
  leave=(--drain-ms 8000 --linger-ms 1000)
fi
if [ "$trouble" != 0 ]; then
  start late target/review-2/late "$net.2:7000" "$store" 5900 "$record"
  late=(--late-store "$net.2:7000" --late-at-ms 7000)
fi
start_engine 1 i-portal-1 --service portal --zone hall-a --slots 6 --work-ms 30
start_engine 2 i-portal-2 --service portal --zone hall-b --slots 6 --work-ms 30 "${leave[@]}" "${late[@]}"
start_engine 3 i-portal-3 --service portal --zone hall-c --slots 6 --work-ms 30
for n in 1 2 3 4; do start_gateway "$n"; done
wait_ready 1 2 3 4
sleep 1
note "clients begin, trouble=$trouble"
target/review-2/client --gateway "${gateways[0]}" --gateway "${gateways[1]}" --gateway "${gateways[2]}" \
  --gateway "${gateways[3]}" --path /look/88 --key key-of-appeals --threads 4 --pause-ms 1800 --seconds 20 \
  --deadline-ms 2500 --record "$record" &
client=$!
pids+=("$client")
if [ "$trouble" != 0 ]; then
  wait_for "the heartbeat whose answer is lost" grep -q " lost: " "$record"
else
  sleep 6
fi
sleep 3.3 # longer than contact_ms
kill -TERM "${engine_pids[2]}"
wait "$client"

gone=$(awk -v word="$word" '$2 == word { print $1; exit }' "$record")
[ -n "$gone" ] || cannot_run "the engine did not leave"
late_count=$(awk -v gone="$gone" '$2 == "begin" && $4 == "i-portal-2" && $1 > gone + 2050 { n++ } END { print n + 0 }' "$record")
served=$(grep -c ' answer .* status=200 ' "$record")
note "answered 200: $served; requests at the engine later than 2 s after it was $word: $late_count"
tail -n 1 "$record"
[ "$served" -ge 30 ] || cannot_run "only $served requests were served"
[ "$late_count" = 0 ]
