#!/usr/bin/env bash
# What the fleet adds to a request: one router, one sidecar and one engine, against the same engine
# asked directly, turn about in one run. Then the rate that one router and one sidecar reach,
# processor time a request of each role, and memory: idle, per idle connection, per open stream.
# Usage: bench/overhead.sh BUILD-DIR [REQUESTS]
set -eu
cd "$(dirname "$0")/.."
out=${1:-build}
requests=${2:-20000}
dir=$(mktemp -d)
pids=()
export MEDLARPLANK_FLEET_KEY=bench-fleet-key-0123456789
platform=127.0.93.1:7000
router=127.0.93.11:7080
sidecar=127.0.93.21:7080
engine=127.0.93.21:7090
stream_sidecar=127.0.93.22:7080
slow_engine=127.0.93.22:7090

stop_all () {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap stop_all EXIT

start () {
  local name=$1
  shift
  "$out/$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
  eval "pid_$name=$!"
}

wait_for () {
  local end=$((SECONDS + 10))
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || { echo "overhead: gave up on: $*" >&2; tail -n 5 "$dir"/*.log >&2; exit 1; }
    sleep 0.05
  done
}

cpu_ticks () { # PID: user and system time in clock ticks
  awk '{print $14 + $15}' "/proc/$1/stat"
}

resident_kb () {
  awk '/^VmRSS/{print $2}' "/proc/$1/status"
}

cat >"$dir/manifest.json" <<'M'
{"client_accounts":{"bench":{"key_sha256":"KEY","weight":1000,"queue_limit":512}},
 "classes":{"lookup":{"priority":0,"deadline_ms":30000,"expected_tokens":1}},
 "services":{"ledger":{"kind":"plain","engines":["e1"],"bound_percent":125,"slots":1024},
             "pool":{"kind":"model","engines":["e2"],"bound_percent":125,"slots":1024}},
 "routes":[{"method":"POST","path":"/lookup","service":"ledger","class":"lookup","idempotent":true},
           {"method":"POST","path":"/v1/chat/completions","service":"pool","class":"lookup","idempotent":true}]}
M
sed -i "s/KEY/$(printf %s bench-key | sha256sum | cut -d' ' -f1)/" "$dir/manifest.json"

start platform standin-platform --listen "$platform" --list-lag-ms 0
start engine standin-engine --listen "$engine" --name e1 --kind plain --slots 1024 --service-us 0
start sidecar medlarplankd --role=sidecar --name=e1 --data-center=dc1 --region=r1 --listen="$sidecar" \
  --exchange=127.0.93.21:7081 --platform="$platform" --engine="$engine" --log-level="${LOG_LEVEL:-info}"
start slow_engine standin-engine --listen "$slow_engine" --name e2 --kind model --slots 1024 --token-us 100000 \
  --prefill-tokens-s 100000000
start stream_sidecar medlarplankd --role=sidecar --name=e2 --data-center=dc1 --region=r1 --listen="$stream_sidecar" \
  --exchange=127.0.93.22:7081 --platform="$platform" --engine="$slow_engine" --log-level="${LOG_LEVEL:-info}"
start router medlarplankd --role=router --name=r1 --data-center=dc1 --region=r1 --listen="$router" \
  --exchange=127.0.93.11:7081 --platform="$platform" --log-level="${LOG_LEVEL:-info}"
wait_for curl -fsS "http://$platform/hosts?since=0"
curl -fsS -X POST "http://$platform/admin/hosts" -d "[
 {\"name\":\"e1\",\"role\":\"sidecar\",\"data_center\":\"dc1\",\"region\":\"r1\",\"http\":\"$sidecar\",\"exchange\":\"127.0.93.21:7081\",\"state\":\"live\"},
 {\"name\":\"e2\",\"role\":\"sidecar\",\"data_center\":\"dc1\",\"region\":\"r1\",\"http\":\"$stream_sidecar\",\"exchange\":\"127.0.93.22:7081\",\"state\":\"live\"},
 {\"name\":\"r1\",\"role\":\"router\",\"data_center\":\"dc1\",\"region\":\"r1\",\"http\":\"$router\",\"exchange\":\"127.0.93.11:7081\",\"state\":\"live\"}]" >/dev/null
"$out/medlarplankctl" --platform "$platform" manifest publish "$dir/manifest.json" --by bench --allow-missing-engines >/dev/null 2>&1
wait_for curl -fsS "http://$router/readyz"
wait_for curl -fsS "http://$sidecar/readyz"
wait_for curl -fsS "http://$stream_sidecar/readyz"

echo "== memory of an idle daemon (resident kB)"
echo "router $(resident_kb "$pid_router")  sidecar $(resident_kb "$pid_sidecar")"

plain=(--account bench:bench-key --plain-share 1 --plain-path /lookup --plain-method POST)

echo "== latency, one request at a time, half through the fleet and half direct, in one run"
"$out/bench-load" --target "$router" --direct "$engine" --direct-share 0.5 "${plain[@]}" \
  --requests "$requests" --concurrency 1 --seed 1

echo "== rate, 64 at a time, all through the fleet"
before_router=$(cpu_ticks "$pid_router")
before_sidecar=$(cpu_ticks "$pid_sidecar")
"$out/bench-load" --target "$router" "${plain[@]}" --requests "$((requests * 2))" --concurrency 64 --seed 2
ticks=$(getconf CLK_TCK)
echo "processor time a request (us): router $(((($(cpu_ticks "$pid_router") - before_router) * 1000000 / ticks) / (requests * 2)))" \
  "sidecar $(((($(cpu_ticks "$pid_sidecar") - before_sidecar) * 1000000 / ticks) / (requests * 2)))"

echo "== memory of idle connections at the router"
before=$(resident_kb "$pid_router")
"$out/bench-load" --target "$router" "${plain[@]}" --requests 1 --concurrency 1 --idle 2000 --time-s 3 >/dev/null &
load=$!
wait_for bash -c "[ \$(ls /proc/$pid_router/fd | wc -l) -gt 2000 ]"
after=$(resident_kb "$pid_router")
wait "$load" || true
echo "2000 idle connections: $(((after - before) * 1024 / 2000)) bytes each"

echo "== memory of open streams, 500 chats with a body of 2,000 bytes"
before=$(resident_kb "$pid_router")
before_sidecar=$(resident_kb "$pid_stream_sidecar")
"$out/bench-load" --target "$router" --account bench:bench-key --stream 1 --max-tokens 100 --chats 500 \
  --first-bytes 2000 --requests 500 --concurrency 500 --seed 3 >"$dir/streams" &
load=$!
all_stream () { [ "$(curl -fsS "http://$stream_sidecar/metrics" | awk '$1=="medlarplank_load"{print $2}')" = 500 ]; }
wait_for all_stream
after=$(resident_kb "$pid_router")
after_sidecar=$(resident_kb "$pid_stream_sidecar")
wait "$load"
echo "500 streams, bytes each: router $(((after - before) * 1024 / 500))  sidecar $(((after_sidecar - before_sidecar) * 1024 / 500))"
grep -E "^  (answered|failed|not_own|latency)" "$dir/streams"

echo "== processor time of relaying: 500 streams of 50 tokens, and of 200; the difference is the tokens'"
stream_ticks () { # MAX-TOKENS: prints what the load tool saw and the ticks of router and sidecar
  local router_ticks sidecar_ticks
  router_ticks=$(cpu_ticks "$pid_router")
  sidecar_ticks=$(cpu_ticks "$pid_stream_sidecar")
  "$out/bench-load" --target "$router" --account bench:bench-key --stream 1 --max-tokens "$1" --chats 500 \
    --first-bytes 200 --requests 500 --concurrency 500 --seed 4 >"$dir/streams"
  echo "$(($(cpu_ticks "$pid_router") - router_ticks)) $(($(cpu_ticks "$pid_stream_sidecar") - sidecar_ticks))" \
    "$(awk '/answered:/{print $2; exit}' "$dir/streams") $(awk '/output_tokens_s:/{print $2; exit}' "$dir/streams")"
}
read -r router_short sidecar_short answered_short _ <<<"$(stream_ticks 50)"
read -r router_long sidecar_long answered_long tokens_s <<<"$(stream_ticks 200)"
echo "answered $answered_short and $answered_long of 500; $tokens_s tokens/s in the longer run; a token (us):" \
  "router $(awk -v t="$((router_long - router_short))" -v hz="$ticks" 'BEGIN{printf "%.1f", t * 1e6 / hz / (500 * 150)}')" \
  "sidecar $(awk -v t="$((sidecar_long - sidecar_short))" -v hz="$ticks" 'BEGIN{printf "%.1f", t * 1e6 / hz / (500 * 150)}')"
