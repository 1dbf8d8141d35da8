#!/usr/bin/env bash
# An application fails a share of the requests that it has run with 503, health good, without saying
# that they have not run. Exits with 1 if a client was told of a request that it has not run, though
# it had.
set -u
cd "$(dirname "$0")/../.."
case=review/6
. review/tool-2/lib.sh

start_store
publish 1 "$(route file non_idempotent portal 2 2500)"
fails=()
[ "$trouble" = 0 ] || fails=(--fail-status 503 --fail-percent 40 --fail-after-ms 4000 --fail-for-ms 6500)
start_engine 1 i-portal-1 --service portal --zone hall-a --slots 6 --work-ms 30
start_engine 2 i-portal-2 --service portal --zone hall-b --slots 6 --work-ms 30
start_engine 3 i-portal-3 --service portal --zone hall-c --slots 6 --work-ms 30 "${fails[@]}"
start_gateway 1
start_gateway 2
wait_ready 1 2
sleep 1
note "clients begin, trouble=$trouble"
target/review-2/client --gateway "${gateways[0]}" --gateway "${gateways[1]}" --path /file/88 --key key-of-appeals \
  --threads 3 --pause-ms 60 --seconds 12 --deadline-ms 2500 --record "$record"
sleep 3

# Tries that were answered 408, 421, 429 or 503, and that an engine has run; and requests that ran
# twice, as their client believed that answer.
read -r broken twice < <(awk '$2 == "begin" { ran[$3] = 1 }
  $2 == "send" { split($4, o, "="); of[$3] = o[2] }
  $2 == "answer" { split($4, s, "="); if (s[2] ~ /^(408|421|429|503)$/) told[$3] = 1 }
  END { for (id in told) if (id in ran) broken++
        for (id in ran) if (++runs[of[id]] == 2) twice++
        print broken + 0, twice + 0 }' "$record")
served=$(grep -c ' answer .* status=200 ' "$record")
note "answered 200: $served; said not to have run, though it had: $broken; requests that ran twice: $twice"
tail -n 1 "$record"
[ "$served" -ge 50 ] || cannot_run "only $served requests were served"
[ "$broken" = 0 ]
