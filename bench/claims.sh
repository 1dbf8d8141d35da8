#!/usr/bin/env bash
# Keyed calls through real daemons on a log that takes so many appends a second: what the callers
# hear, what the log is asked, and latency. Two routers, N sidecars with an engine each, one service.
# Usage: bench/claims.sh BUILD-DIR ENGINES SHARDS APPENDS_S SECONDS RATE...
set -eu
cd "$(dirname "$0")/.."
out=$1 engines=$2 shards=$3 appends_s=$4 seconds=$5
shift 5
dir=$(mktemp -d)
pids=()
export MEDLARPLANK_FLEET_KEY=bench-fleet-key-0123456789
net=127.$(($$ >> 8 & 127 | 128)).$(($$ & 255)) # of this run alone
platform=$net.1:7000

stop_all () {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  [ -z "${KEEP:-}" ] || cp -r "$dir" "$KEEP"
  rm -rf "$dir"
}
trap stop_all EXIT

start () {
  local name=$1
  shift
  "$out/$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}

wait_for () {
  local end=$((SECONDS + 20))
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || { echo "claims: gave up on: $*" >&2; tail -n 5 "$dir"/*.log >&2; exit 1; }
    sleep 0.05
  done
}

host () { # NAME ROLE IP
  printf '{"name":"%s","role":"%s","data_center":"dc1","region":"r1","http":"%s:7080","exchange":"%s:7081","state":"live"}' \
    "$1" "$2" "$3" "$3"
}

daemon () { # NAME ROLE IP [FLAG...]
  local name=$1 role=$2 ip=$3
  shift 3
  start "$name" medlarplankd --role="$role" --name="$name" --data-center=dc1 --region=r1 \
    --listen="$ip:7080" --exchange="$ip:7081" --platform="$platform" "$@"
  hosts+="${hosts:+,}$(host "$name" "$role" "$ip")"
}

stat () { # NAME: of the platform's counts
  curl -fsS "http://$platform/admin/stats" | sed "s/.*\"$1\": *\([0-9]*\).*/\1/"
}

hosts="" names=""
start platform standin-platform --listen "$platform" --list-lag-ms 0 ${appends_s:+--appends-s "$appends_s"}
for ((i = 1; i <= engines; i++)); do
  start "engine$i" standin-engine --listen "$net.$((100 + i)):7090" --name "e$i" --kind plain --slots 256 --service-us 5000
  daemon "e$i" sidecar "$net.$((100 + i))" --engine="$net.$((100 + i)):7090"
  names+="${names:+,}\"e$i\""
done
daemon r1 router $net.11
daemon r2 router $net.12
wait_for curl -fsS "http://$platform/hosts?since=0"
curl -fsS -X POST "http://$platform/admin/hosts" -d "[$hosts]" >/dev/null
cat >"$dir/manifest.json" <<M
{"client_accounts":{"bench":{"key_sha256":"$(printf %s bench-key | sha256sum | cut -d' ' -f1)","queue_limit":512}},
 "classes":{"booking":{"priority":0,"deadline_ms":5000,"expected_tokens":1}},
 "services":{"ledger":{"kind":"plain","engines":[$names],"slots":256,"claim_shards":$shards}},
 "routes":[{"method":"POST","path":"/bookings","service":"ledger","class":"booking","idempotent":false},
           {"method":"POST","path":"/lookups","service":"ledger","class":"booking","idempotent":true}]}
M
"$out/medlarplankctl" --platform "$platform" manifest publish "$dir/manifest.json" --by bench --allow-missing-engines >/dev/null 2>&1
for ip in $net.11 $net.12; do wait_for curl -fsS "http://$ip:7080/readyz"; done
for ((i = 1; i <= engines; i++)); do wait_for curl -fsS "http://$net.$((100 + i)):7080/readyz"; done

seed=1
for rate in "$@"; do
  taken=$(stat appends) refused=$(stat refused) reads=$(stat reads)
  echo "== $rate keyed calls/s, $engines engines, $shards shards, limit ${appends_s:-none}"
  "$out/bench-load" --target $net.11:7080 --target $net.12:7080 --account bench:bench-key \
    --plain-share 1 --plain-path /bookings --plain-method POST --rate "$rate" --time-s "$seconds" \
    --requests 1000000 --timeout-ms 10000 --seed "$seed" || true
  taken=$(($(stat appends) - taken)) refused=$(($(stat refused) - refused)) reads=$(($(stat reads) - reads))
  echo "appends taken $((taken / seconds))/s  refused $((refused / seconds))/s  reads $((reads / seconds))/s"
  seed=$((seed + 1))
  sleep 3
done

call () { # KEY PATH
  curl -sS -i -o "$dir/answer" -w '%{http_code} after %{time_total} s' -X POST -H 'Authorization: Bearer bench-key' \
    -H "Idempotency-Key: $1" -H 'Content-Type: application/json' -d '{}' "http://$net.11:7080/$2"
  tr -d '\r' <"$dir/answer" | sed '/^$/q' | awk -F': ' 'tolower($1) ~ /retry-after|verdict/{printf "  %s: %s", $1, $2} END{print ""}'
}

echo "== the log refuses all appends: one keyed call after the other, then a repeatable one"
curl -fsS -X POST "http://$platform/admin/fault" -d '{"log":"refuse"}' >/dev/null
for ((i = 0; i < 4; i++)); do echo "keyed: $(call "last-$i" bookings)"; done
echo "repeatable: $(call other lookups)"
