#!/usr/bin/env bash
# What control costs a daemon as the fleet grows: starts N sidecars and N/4 routers with no requests,
# waits until all are ready, then reads bytes, processor time and memory over a window.
# Prints tab-separated lines. Usage: bench/control_slope.sh BUILD-DIR SECONDS N...
set -eu
cd "$(dirname "$0")/.."
out=$1
window_s=$2
shift 2
export MEDLARPLANK_FLEET_KEY=bench-fleet-key-0123456789
platform=127.0.94.1:7000
dir=$(mktemp -d)
pids=()

stop_all () {
  [ "${#pids[@]}" -eq 0 ] || kill -TERM "${pids[@]}" 2>/dev/null || true
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
trap 'stop_all; rm -rf "$dir"' EXIT

wait_for () {
  local end=$((SECONDS + 30))
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || { echo "control_slope: gave up on: $*" >&2; exit 1; }
    sleep 0.1
  done
}

traffic () { # ADDRESS...: bytes sent, bytes received and datagrams sent, added up over the daemons
  for address in "$@"; do curl -fsS "http://$address/metrics"; done | awk '
    $1=="medlarplank_control_bytes_sent_total"{s+=$2}
    $1=="medlarplank_control_bytes_received_total"{r+=$2}
    $1=="medlarplank_control_datagrams_sent_total"{d+=$2}
    END{printf "%.0f %.0f %.0f", s, r, d}'
}

ticks_of () {
  for pid in "$@"; do awk '{print $14 + $15}' "/proc/$pid/stat"; done | awk '{s+=$1} END{print s}'
}

resident_of () {
  for pid in "$@"; do awk '/^VmRSS/{print $2}' "/proc/$pid/status"; done | awk '{s+=$1} END{print s}'
}

all_ready () {
  for address in "$@"; do curl -fsS "http://$address/readyz" || return 1; done
}

all_at () { # VERSION ADDRESS...
  local version=$1
  shift
  for address in "$@"; do
    curl -fsS "http://$address/metrics" | grep -q "^medlarplank_manifest_version $version\$" || return 1
  done
}

ip_of () { # NUMBER
  echo "127.0.$((95 + $1 / 200)).$((1 + $1 % 200))"
}

run () { # N
  local n=$1 routers=$((($1 + 3) / 4)) names="" hosts="" daemons=() addresses=() i ip name role
  "$out/standin-platform" --listen "$platform" --list-lag-ms 0 >"$dir/platform.log" 2>&1 &
  pids+=($!)
  "$out/standin-engine" --listen 127.0.94.2:7090 --name shared --kind plain >"$dir/engine.log" 2>&1 &
  pids+=($!)
  for ((i = 0; i < n + routers; i++)); do
    ip=$(ip_of "$i")
    role=sidecar
    extra=(--engine=127.0.94.2:7090)
    if [ "$i" -ge "$n" ]; then
      role=router
      extra=()
    else
      names+="${names:+,}\"e$i\""
    fi
    name=e$i
    hosts+="${hosts:+,}{\"name\":\"$name\",\"role\":\"$role\",\"data_center\":\"dc$((i % 12))\",\"region\":\"r1\",\"http\":\"$ip:7080\",\"exchange\":\"$ip:7081\",\"state\":\"live\"}"
    "$out/medlarplankd" --role="$role" --name="$name" --data-center="dc$((i % 12))" --region=r1 \
      --listen="$ip:7080" --exchange="$ip:7081" --platform="$platform" "${extra[@]}" >"$dir/$name.log" 2>&1 &
    pids+=($!)
    daemons+=($!)
    addresses+=("$ip:7080")
  done
  wait_for curl -fsS "http://$platform/hosts?since=0"
  curl -fsS -X POST "http://$platform/admin/hosts" -d "[$hosts]" >/dev/null
  cat >"$dir/manifest.json" <<M
{"client_accounts":{"bench":{"key_sha256":"$(printf %s bench-key | sha256sum | cut -d' ' -f1)"}},
 "classes":{"lookup":{"priority":0,"deadline_ms":30000,"expected_tokens":1}},
 "services":{"ledger":{"kind":"plain","engines":[$names],"slots":64}},
 "routes":[{"method":"POST","path":"/lookup","service":"ledger","class":"lookup","idempotent":true}]}
M
  "$out/medlarplankctl" --platform "$platform" manifest publish "$dir/manifest.json" --by bench --allow-missing-engines >/dev/null 2>&1
  wait_for all_ready "${addresses[@]}"
  local in_force_s ticks hz start_s ticks_s elapsed_s before after
  hz=$(getconf CLK_TCK)
  # Asking all daemons takes seconds, so each is asked as long after its first answer as the others.
  start_s=$EPOCHREALTIME
  before=$(traffic "${addresses[@]}")
  ticks_s=$EPOCHREALTIME
  ticks=$(ticks_of "${daemons[@]}")
  sleep "$window_s"
  ticks=$(($(ticks_of "${daemons[@]}") - ticks))
  ticks_s=$(echo "$EPOCHREALTIME $ticks_s" | awk '{print $1 - $2}')
  elapsed_s=$(echo "$EPOCHREALTIME $start_s" | awk '{print $1 - $2}')
  after=$(traffic "${addresses[@]}")
  # A patch, until every daemon has it in force; asking them all in turn is part of the time.
  echo '{"client_accounts":{"bench":{"weight":2000}}}' >"$dir/patch.json"
  start_s=$EPOCHREALTIME
  "$out/medlarplankctl" --platform "$platform" manifest publish --patch "$dir/patch.json" --by bench >/dev/null
  until all_at 2 "${addresses[@]}"; do :; done
  in_force_s=$(echo "$EPOCHREALTIME $start_s" | awk '{print $1 - $2}')
  echo "$before $after" | awk -v n="$((n + routers))" -v f="$in_force_s" -v t="$ticks" -v hz="$hz" \
    -v e="$elapsed_s" -v te="$ticks_s" -v m="$(resident_of "${daemons[@]}")" '{
      printf "%d\t%.0f\t%.0f\t%.2f\t%.3f\t%.0f\t%.2f\n", n, ($4-$1)/n/e, ($5-$2)/n/e, ($6-$3)/n/e, 100*t/hz/n/te, m/n, f}'
  stop_all
}

printf 'daemons\tsent_bytes_s\treceived_bytes_s\tdatagrams_s\tcpu_percent\tresident_kb\tin_force_s\n'
for n in "$@"; do run "$n"; done
