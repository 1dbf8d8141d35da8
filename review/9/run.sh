#!/usr/bin/env bash
# The operator has emptied a zone once and taken it back. In a drill the store is away for a second and comes
# back from a copy that is 2 s old. The operator's new order to empty the zone, sent meanwhile and repeated until
# it is acknowledged, is the first write after that. Exits with 1 if requests still reach the zone's engine later
# than evacuate_ms (5 s) after the acknowledgement. TROUBLE=0: the store stays. BEFORE=0: the zone was not emptied
# before. ORDER_AFTER_S: the order is first sent so long after the store went away.
set -u
cd "$(dirname "$0")/../.."
case=review/9
. review/tool-2/lib.sh
export MEDLARPLANK_CENTER_DRAIN_MS=5000

admin () { # PATH [BODY]: an order to the stand-in of the store
  local line
  exec 3<>"/dev/tcp/${store%:*}/${store#*:}" || return 1
  printf 'POST %s HTTP/1.1\r\nHost: store\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' "$1" "${#2}" "$2" >&3
  read -r line <&3
  exec 3>&-
  [[ $line == *" 200 "* ]] || cannot_run "the store's stand-in answered $1 with $line"
}

evacuate () { target/review-2/put "$store" keyed.op evacuate/hall-a '{"zone":"hall-a"}' 2>>"$dir/put.log"; }
take_back () { target/review-2/put "$store" keyed.op evacuate/hall-a ''; }

start_store
publish 1 "$(route look idempotent portal 2 2500)"
start_engine 1 i-portal-1 --service portal --zone hall-a --slots 6 --work-ms 30
start_engine 2 i-portal-2 --service portal --zone hall-b --slots 6 --work-ms 30
start_engine 3 i-portal-3 --service portal --zone hall-c --slots 6 --work-ms 30
for n in 1 2 3 4; do start_gateway "$n"; done
wait_ready 1 2 3 4
sleep 1
note "clients begin, trouble=$trouble"
target/review-2/client --gateway "${gateways[0]}" --gateway "${gateways[1]}" --gateway "${gateways[2]}" \
  --gateway "${gateways[3]}" --path /look/88 --key key-of-appeals --threads 4 --pause-ms 100 --seconds 32 \
  --deadline-ms 2500 --record "$record" &
client=$!
pids+=("$client")
sleep 1
if [ "${BEFORE:-1}" != 0 ]; then
  evacuate || cannot_run "the first order was not acknowledged"
  note "first order acknowledged"
  sleep 7
  take_back || cannot_run "the zone was not taken back"
fi
note "taken back"
sleep 6
if [ "$trouble" != 0 ]; then
  admin /admin/copy ''
  note "the store makes a copy"
  sleep 2
  admin /admin/fault '{"log":"down"}'
  note "the store is away"
  (
    sleep "${ORDER_AFTER_S:-0.1}"
    until evacuate; do sleep 0.02; done
    note "acknowledged"
  ) &
  order=$!
  pids+=("$order")
  sleep 1
  admin /admin/restore ''
  admin /admin/fault '{"log":"up"}'
  note "the store is back"
  wait "$order"
else
  sleep 3
  evacuate || cannot_run "the order was not acknowledged"
  note "acknowledged"
fi
wait "$client"

# Those count that were sent and began more than evacuate_ms after the acknowledgement.
read -r first back late last < <(awk '$2 == "first" { one = $1 } $2 == "taken" { taken = $1 } $2 == "acknowledged" { ack = $1 }
  $2 == "send" { sent[$3] = $1 } $2 == "begin" && $4 == "i-portal-1" { began[$3] = $1 }
  END { for (id in began) { t = began[id]
          if (one && t > one + 5050 && t < taken) first++
          if (t > taken && t < ack) back++
          if (sent[id] > ack + 5050) { late++; if (t - ack > last) last = t - ack } }
        print first + 0, back + 0, late + 0, last + 0 }' "$record")
note "at the zone's engine: $first more than 5 s after the first order; $back while it was taken back; $late more than 5 s after the second order, the last one ${last} ms after it"
tail -n 1 "$record"
[ "$back" -ge 10 ] || cannot_run "the zone was not used before"
[ "$first" = 0 ] && [ "$late" = 0 ]
