#!/usr/bin/env bash
# The whole path on one machine with stand-ins: a platform, five engines each with its sidecar, and
# two routers. Publishes examples/tuul.json, sends returning chats, prints what came back and why.
# Ends by itself, stops what it started, and exits non-zero when an answer was not as expected.
# Usage: examples/demo.sh BUILD-DIR
set -eu
cd "$(dirname "$0")/.."
out=${1:-build}
. examples/demo_lib.sh
platform=$net.1:7000
routers=($net.11:7080 $net.12:7080)
models=(bayangol-m1 bayangol-m2 sukhbaatar-m1 khan-uul-m1)
plains=(bayangol-p1)

data_center_of () {
  echo "hall-${1%-*}"
}

hosts="["
add_host () { # NAME ROLE IP
  [ "$hosts" = "[" ] || hosts+=","
  hosts+="{\"name\":\"$1\",\"role\":\"$2\",\"data_center\":\"$(data_center_of "$1")\",\"region\":\"ulaanbaatar\","
  hosts+="\"http\":\"$3:7080\",\"exchange\":\"$3:7081\",\"state\":\"live\"}"
}

daemon () { # NAME ROLE IP ARGS...
  local name=$1 role=$2 ip=$3
  shift 3
  start "$name" medlarplankd --role="$role" --name="$name" --data-center="$(data_center_of "$name")" \
    --region=ulaanbaatar --listen="$ip:7080" --exchange="$ip:7081" --platform="$platform" "$@"
  add_host "$name" "$role" "$ip"
}

echo "== start: platform, engines with sidecars, two routers (logs in $dir)"
start platform standin-platform --listen "$platform" --list-lag-ms 200
n=20
for name in "${models[@]}" "${plains[@]}"; do
  n=$((n + 1))
  kind=model
  [[ $name == *-p* ]] && kind=plain
  start "engine-$name" standin-engine --listen "$net.$n:7090" --name "$name" --kind "$kind" --token-us 2000
  daemon "$name" sidecar "$net.$n" --engine="$net.$n:7090"
done
daemon bayangol-r1 router $net.11
daemon khan-uul-r1 router $net.12
wait_for "the platform" curl -fsS "http://$platform/hosts?since=0"
curl -fsS -X POST -d "$hosts]" "http://$platform/admin/hosts" >/dev/null

host_listed () {
  curl -fsS "http://$platform/hosts?since=0" | grep -q "$1"
}
wait_for "the platform's list, which lags," host_listed khan-uul-r1

echo "== publish examples/tuul.json (three engines in four are not started here, hence the warnings)"
"$out/medlarplankctl" --platform "$platform" manifest check examples/tuul.json
"$out/medlarplankctl" --platform "$platform" manifest publish examples/tuul.json --by demo --allow-missing-engines
for router in "${routers[@]}"; do wait_for "router $router" curl -fsS "http://$router/readyz"; done
for n in 21 22 23 24 25; do wait_for "sidecar $net.$n" curl -fsS "http://$net.$n:7080/readyz"; done

ask () { # ROUTER CHAT BODY: sends one turn; leaves status, head and body
  status=$(curl -sS -o "$dir/body" -D "$dir/head" -w '%{http_code}' -H "Authorization: Bearer demo-appeals-team" \
    -H "X-Chat-Id: $2" -H "Content-Type: application/json" -d "$3" "http://$1/v1/chat/completions")
}

text_of () {
  sed -n 's/.*"content": *"\([^"]*\)".*/\1/p' "$dir/body" | head -n 1
}

echo "== three chats return three times, through either router in turn"
turn_number=0
for chat in appeal-1041 appeal-2207 appeal-3318; do
  history="{\"role\":\"system\",\"content\":\"You summarise council tax discount appeals. $(printf 'clause %s applies; ' $(seq 1 120))\"}"
  engine_before=""
  for turn in 1 2 3; do
    history+=",{\"role\":\"user\",\"content\":\"Turn $turn of $chat: what does the household still owe?\"}"
    router=${routers[$((turn_number % 2))]}
    turn_number=$((turn_number + 1))
    ask "$router" "$chat" "{\"model\":\"claims-7b\",\"max_tokens\":12,\"messages\":[$history]}"
    engine=$(field X-Medlarplank-Engine)
    cached=$(field X-Cached-Tokens)
    echo "   $chat turn $turn by $router: $status, engine $engine, $cached tokens cached: $(text_of)"
    expect "status of $chat turn $turn" "$status" = 200
    [ "$turn" = 1 ] || expect "a returning chat finds its tokens cached" "${cached:-0}" -gt 0
    [ "$turn" = 1 ] || expect "a returning chat lands where it was" "$engine" = "$engine_before"
    engine_before=$engine
    history+=",{\"role\":\"assistant\",\"content\":\"$(text_of)\"}"
  done
done

echo "== a streamed answer"
curl -sS -N -H "Authorization: Bearer demo-appeals-team" -H "X-Chat-Id: appeal-1041" -H "Content-Type: application/json" \
  -d '{"model":"claims-7b","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"short"}]}' \
  "http://${routers[0]}/v1/chat/completions" | tee "$dir/stream" | sed 's/^/   /'
expect "a stream that ends whole" "$(grep -c '\[DONE\]' "$dir/stream")" = 1

echo "== a claim filed at the portal, which may not run twice, sent with one key through both routers"
for router in "${routers[@]}"; do
  status=$(curl -sS -o "$dir/body" -D "$dir/head" -w '%{http_code}' -H "Authorization: Bearer demo-appeals-team" \
    -H "Idempotency-Key: household-88" -H "Content-Type: application/json" -d '{"household":88,"tag":"eligible"}' \
    "http://$router/portal/claims")
  echo "   by $router: $status, verdict $(field X-Medlarplank-Verdict): $(head -c 160 "$dir/body")"
done
engine_runs=$(curl -sS "http://$net.25:7090/record" | grep -c '"state"' || true)
echo "   the engine ran it $engine_runs time(s)"
expect "one run for one key" "$engine_runs" = 1

echo "== a key that nobody has"
status=$(curl -sS -o "$dir/body" -w '%{http_code}' -H "Authorization: Bearer nobody" -d '{}' "http://${routers[0]}/v1/chat/completions")
echo "   $status: $(cat "$dir/body")"
expect "401 for an unknown key" "$status" = 401

echo "== decisions, as the daemons logged them"
grep -hE ' (route|place) ' "$dir"/*.log | sort -t '>' -k2 | tail -n 8 | sed -E 's/^<[0-9]+>[^ ]+ /   /'

echo "== status"
"$out/medlarplankctl" --platform "$platform" status || failed=$((failed + 1))

echo "== stop: every daemon drains and exits 0"
stop_and_judge demo
