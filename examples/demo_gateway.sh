#!/usr/bin/env bash
# The path on the users' platform on one machine with stand-ins: the platform's store, five engines that
# register in it, and two gateways. Writes a configuration, sends requests of each kind, lets an engine
# leave, stops the store, and prints what came back and why.
# Ends by itself, stops what it started, and exits non-zero when an answer was not as expected.
# Usage: examples/demo_gateway.sh BUILD-DIR
set -eu
cd "$(dirname "$0")/.."
out=${1:-build}
. examples/demo_lib.sh
store=$net.1:7000
gateways=($net.11 $net.12)

route () { # NAME KIND SERVICE [MORE]
  printf '{"name":"%s","host":"claims","path_prefix":"/%s/","kind":"%s","timeout_ms":5000,"attempts":2,"service":"%s"%s}' \
    "$1" "$1" "$2" "$3" "${4:-}"
}

publish () { # VERSION MORE-ROUTES: a record with the key "config"
  local routes tenants value length
  routes="$(route status idempotent portal),$(route file non_idempotent portal),$(route chat stream desk ',"resumable":true')$2"
  tenants='[{"name":"appeals-team","api_keys":["demo-appeals-team"]}]'
  value="{\"version\":$1,\"routes\":[$routes],\"tenants\":$tenants}"
  length=$((7 + ${#value}))
  { printf "\\x$(printf %02x $((length >> 24)))\\x$(printf %02x $((length >> 16 & 255)))"
    printf "\\x$(printf %02x $((length >> 8 & 255)))\\x$(printf %02x $((length & 255)))\\x06config%s" "$value"
  } >"$dir/record"
  curl -fsS -o /dev/null --data-binary "@$dir/record" "http://$store/log-append?topic=keyed.op&part=0"
}

ask () { # ID GATEWAY METHOD PATH: leaves status, head and body
  status=$(curl -sS -N -o "$dir/body" -D "$dir/head" -w '%{http_code}' -X "$3" -H "Host: claims" -H "X-Request-Id: $1" \
    -H "X-Key: demo-appeals-team" -H "X-Deadline-Ms: 4000" -H "Content-Length: 0" "http://${gateways[$2]}:8080$4")
}

is_served () { # PATH: by each gateway
  local n
  for n in "${!gateways[@]}"; do
    ask probe "$n" GET "$1"
    [ "$status" = 200 ] || return 1
  done
}

echo "== start: the store, five engines, two gateways (logs in $dir)"
start store standin-platform --listen "$store"
wait_for "the store" curl -sS -o /dev/null "http://$store/"
publish 1 ""
for n in 1 2 3 4 5; do
  service=desk events=4
  [ "$n" -gt 3 ] && service=portal events=0
  start "engine-$n" standin-upstream --listen "$net.2$n:8080" --store "$store" --service "$service" \
    --events "$events" --work-ms 10 --record "$dir/engine-$n.record" --drain-ms 2500
done
for n in 0 1; do
  ip=${gateways[$n]}
  start "gateway-$n" medlarplankd --role=gateway --renewal-ms=500 --name="gateway-$n" --data-center=hall-bayangol --region=ulaanbaatar \
    --listen="$ip:8080" --ready-listen="$ip:8081" --control-listen="$ip:8082" --exchange="$ip:8083" --platform="$store"
done
for ip in "${gateways[@]}"; do wait_for "gateway $ip" curl -fsS "http://$ip:8081/readyz"; done
wait_for "the portal's engines" is_served /status/7
wait_for "the desk's engines" is_served /chat/7

echo "== one request of each kind, through either gateway"
ask demo-status 0 GET /status/88
echo "   a status check: $status: $(cat "$dir/body")"
expect "a status check" "$status" = 200
ask demo-file 1 POST /file/88
echo "   a claim that may not run twice: $status: $(cat "$dir/body")"
expect "a claim" "$status" = 200
ask demo-chat 0 POST /chat/88
echo "   a streamed answer: $status, $(grep -c '^data' "$dir/body") events"
expect "a whole stream" "$(grep -c '^data' "$dir/body")" -ge 4
ask demo-none 0 GET /nothing/
echo "   a path that no route takes: $status"
expect "404 for an unknown path" "$status" = 404

echo "== a new version of the configuration is in force without a restart"
publish 2 ",$(route letters idempotent portal)"
wait_for "the new route" is_served /letters/1
echo "   /letters/1 is served"

echo "== an engine leaves: nobody hears of it"
kill -TERM "${pids[5]}"
good=0
for n in $(seq 1 40); do
  ask "demo-leave-$n" $((n % 2)) GET "/status/$n"
  [ "$status" = 200 ] && good=$((good + 1))
done
echo "   $good of 40 status checks answered while it left"
expect "all answered" "$good" = 40
wait "${pids[5]}" || expect "exit status of the engine" "$?" = 0
unset 'pids[5]'
pids=("${pids[@]}")

echo "== the store is out: what is known goes on"
kill -STOP "${pids[0]}"
good=0
for n in $(seq 1 20); do
  ask "demo-out-$n" $((n % 2)) GET "/status/$n"
  [ "$status" = 200 ] && good=$((good + 1))
done
kill -CONT "${pids[0]}"
echo "   $good of 20 status checks answered meanwhile"
expect "all answered" "$good" = 20

echo "== why the claim went where it went"
cat "$dir"/gateway-*.log >"$dir/gateways.log"
"$out/medlarplankctl" explain demo-file --logs "$dir/gateways.log" | sed 's/^/   /'

echo "== stop: every process drains and exits 0"
stop_and_judge demo-gateway
