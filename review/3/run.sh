#!/usr/bin/env bash
# BUDGET: a part of prompts that crashes engines isn't found where it is not among the first fifteen parts.
# Exits with 1 if more than three requests with that part reached engines later than contact_ms after the fifth crash, 0 if not, 2 if
# the case couldn't run.
cd "$(dirname "$0")" || exit 2
. ../tool/lib.sh
contact_ms=3000
crash=(--crash-part dead0001)
[ "$trouble" = 0 ] && crash=()
: >record.txt

start_store ../tool/config.json
for n in 1 2 3 4 5 6 7 8 9 10 11 12; do
  # An engine that has crashed is back after 2 s.
  start "pool-$n" "$root/review/build/warden" 100000 2000 "$dir/warden-$n.log" "$root/review/build/engine" \
    --listen "$net.$((30 + n)):8120" --store "$store" --service medlar-pool --zone "${zones[$((n % 3 + 1))]}" \
    --record "$dir/pool-$n.record" --slots 128 --work-ms 20 --events 20 "${crash[@]}"
done
for n in 1 2 3 4; do gateway "$n"; done
await_gateways 1 2 3 4
sleep 2

targets=$(front 1),$(front 2),$(front 3),$(front 4)
# Chats that have returned 16 times: two parts that many share, 16 of the chat, and the request's own.
chat=(--path /appeal/ --prompts 38 --turns 16 --key n2ctnfzs989anu6wsjnb --body-bytes 12000 --deadline-ms 15000)
start sound "$root/review/build/client" load --targets "$targets" "${chat[@]}" --per-s 24 --seconds 40 --clients 64 --id-prefix s \
  --record "$dir/sound.record"
load=$started
sleep 4
start deadly "$root/review/build/client" load --targets "$targets" "${chat[@]}" --part dead0001 --per-s 1 --seconds 34 --clients 24 \
  --id-prefix p --record "$dir/deadly.record"
while kill -0 "$load" 2>/dev/null; do sleep 0.1; done
sleep 1

sort -s -n -k 2 "$dir"/*.record >record.txt
awk -v contact_ms="$contact_ms" '
  $1 == "begin" && $3 ~ /^p/ { sends++; if (fifth && $2 > fifth + contact_ms) late++ }
  $1 == "crash" { crashes++; if (crashes == 5) fifth = $2 }
  $1 == "answer" && $3 ~ /^s/ { asked++; if ($4 == 200) served++; else if ($4 == 0) cut++ }
  END {
    printf "%d crashes; %d requests with the part reached engines, %d of them later than %d ms after the fifth crash\n", crashes, sends, late, contact_ms
    printf "sound requests: %d of %d served whole, %d cut\n", served, asked, cut
    if (served < asked / 3) exit 2
    exit crashes >= 5 && late > 3 ? 1 : 0
  }' record.txt >"$dir/verdict"
rc=$?
tee -a record.txt <"$dir/verdict"
exit $rc
