#!/usr/bin/env bash
# A whole deployment on one machine with stand-ins: 12 model and 3 plain engines, each with its
# sidecar, 3 routers, the platform. Each fault meets a fresh fleet under the same load. Prints a
# table and writes fleet-DEPLOYMENT.tsv into OUT_DIR.
# Usage: bench/fleet.sh BUILD-DIR [tuul|jogak]...
# Environment: FAULTS, RUN_S (seconds of load), READS_S, CALLS_S (requests a second), SURGE_S (of one
#   account), OUT_DIR, KEEP (leave logs). Chats a second are set by deployment, so that reading all
#   their first messages, cold, does not overload the engines for most of the run.
set -eu
cd "$(dirname "$0")/.."
out=${1:-build}
shift || true
deployments=("$@")
[ "${#deployments[@]}" -gt 0 ] || deployments=(tuul jogak)
faults=${FAULTS:-steady surge join roll flap data_center list}
run_s=${RUN_S:-20}
reads_s=${READS_S:-60}
calls_s=${CALLS_S:-20}
out_dir=${OUT_DIR:-.}
export MEDLARPLANK_FLEET_KEY=bench-fleet-key-0123456789
net=127.0.97
platform=$net.1:7000
ctl="$out/medlarplankctl --platform $platform"
declare -A pid ip kind
dir=
bad_stops=0

case_of () { # DEPLOYMENT: what differs between the two
  case $1 in
    tuul)
      centers=(bayangol sukhbaatar khan-uul) center_format=hall-%s region=ulaanbaatar
      bounds=(medlar-pool,125 claims-portal,150) pool=medlar-pool plain=claims-portal
      chat=(--model claims-7b --class draft-reply:6:16 --class appeal-summary:1:64 --class eligibility-tag:3:4
        --first-bytes 4000 --turn-bytes 400)
      chats_s=120 chats=400 short=eligibility-tag read_path=/portal/status/77 call_path=/portal/claims
      quiet=(appeals-team:4 public-portal:4 reply-team:3 counter-bayangol counter-sukhbaatar counter-khan-uul
        eligibility-desk document-room audit-office) loud=training-room ;;
    jogak)
      centers=(busan daegu jeonju) center_format=%s-hall region=kr-south
      bounds=(medlar-desk,150 bale-ledger,150) pool=medlar-desk plain=bale-ledger
      chat=(--model desk-13b --class pattern-question:4:16 --class lot-history:2:64 --class colour-tag:4:4
        --first-bytes 8000 --turn-bytes 600)
      chats_s=60 chats=200 short=colour-tag read_path=/ledger/lots/4 call_path=/ledger/bookings
      quiet=(hanbit:4 seomun:4 daeyang:3 cutting-floor regrade-room quilters-jeonju wholesale-desk returns-desk
        dye-house) loud=stock-audit ;;
    *) echo "fleet: no deployment $1" >&2; exit 2 ;;
  esac
}

start () { # NAME PROGRAM ARGS...
  local name=$1
  shift
  "$out/$@" >>"$dir/$name.log" 2>&1 &
  pid[$name]=$!
}

stop () { # NAME SIGNAL: ends it and waits; counts a graceful stop that was none
  local rc=0
  kill "-$2" "${pid[$1]}" 2>/dev/null || true
  wait "${pid[$1]}" 2>/dev/null || rc=$?
  unset "pid[$1]"
  if [ "$2" = TERM ] && [ "$rc" != 0 ]; then
    echo "fleet: $1 stopped with status $rc" >&2
    bad_stops=$((bad_stops + 1))
  fi
}

stop_all () {
  local name
  for name in "${!pid[@]}"; do kill -TERM "${pid[$name]}" 2>/dev/null || true; done
  for name in "${!pid[@]}"; do wait "${pid[$name]}" 2>/dev/null || true; done
  pid=()
}
trap 'stop_all; [ -n "${KEEP:-}" ] || rm -rf "$dir"' EXIT

wait_for () { # COMMAND...: 30 seconds at most
  local end=$((SECONDS + 30))
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || { echo "fleet: gave up on: $*" >&2; tail -n 3 "$dir"/*.log >&2; exit 1; }
    sleep 0.05
  done
}

center_of () {
  # shellcheck disable=SC2059
  printf "$center_format" "${1%-*}"
}

host_json () { # NAME STATE
  local role=sidecar
  [[ ${kind[$1]} != router ]] || role=router
  printf '{"name":"%s","role":"%s","data_center":"%s","region":"%s","http":"%s:7080","exchange":"%s:7081","state":"%s"}' \
    "$1" "$role" "$(center_of "$1")" "$region" "${ip[$1]}" "${ip[$1]}" "$2"
}

list () { # STATE NAME...: tell the platform
  local state=$1 name body=
  shift
  for name in "$@"; do body+="${body:+,}$(host_json "$name" "$state")"; done
  curl -fsS -X POST -d "[$body]" "http://$platform/admin/hosts?upsert=1" >/dev/null
}

start_host () { # NAME: a router, or an engine with an empty cache and its sidecar
  local name=$1 extra=()
  if [ "${kind[$name]}" != router ]; then
    start "engine-$name" standin-engine --listen "${ip[$name]}:7090" --name "$name" --kind "${kind[$name]}" \
      --slots "$([ "${kind[$name]}" = model ] && echo 8 || echo 32)" --token-us 10000 --service-us 5000 \
      --cache-tokens 400000
    extra=(--engine="${ip[$name]}:7090")
  fi
  start "$name" medlarplankd --role="$([ "${kind[$name]}" = router ] && echo router || echo sidecar)" \
    --name="$name" --data-center="$(center_of "$name")" --region="$region" --listen="${ip[$name]}:7080" \
    --exchange="${ip[$name]}:7081" --platform="$platform" "${extra[@]}"
}

ready () { # NAME...
  local name
  for name in "$@"; do curl -fsS "http://${ip[$name]}:7080/readyz" || return 1; done
}

name_hosts () {
  local center e n=20 r=10
  ip=() kind=()
  for center in "${centers[@]}"; do
    r=$((r + 1))
    ip[$center-r1]=$net.$r kind[$center-r1]=router
    for e in m1 m2 m3 m4 p1; do
      n=$((n + 1))
      ip[$center-$e]=$net.$n kind[$center-$e]=model
      [ "$e" != p1 ] || kind[$center-$e]=plain
    done
  done
}

start_fleet () { # LAG_MS NAME...: all hosts but those named
  local lag=$1 name absent
  shift
  absent=" $* "
  dir=$(mktemp -d)
  start platform standin-platform --listen "$platform" --list-lag-ms "$lag"
  wait_for curl -fsS "http://$platform/hosts?since=0"
  present=()
  for name in "${!kind[@]}"; do [[ $absent == *" $name "* ]] || present+=("$name"); done
  list live "${present[@]}"
  for name in "${present[@]}"; do start_host "$name"; done
  $ctl manifest publish "examples/$deployment.json" --by bench --allow-missing-engines --hosts-check no >/dev/null 2>&1
  wait_for ready "${present[@]}"
}

accounts () { # NAME[:WEIGHT]...
  local a
  for a in "$@"; do
    local name=${a%%:*} weight=1
    [[ $a != *:* ]] || weight=${a#*:}
    echo "--account $name:demo-$name:$weight"
  done
}

load () { # FILE ARGS...: in the background
  local file=$1
  shift
  "$out/bench-load" "${targets[@]}" --time-s "$run_s" --requests 10000000 --tsv "$@" >"$dir/$file.tsv" 2>"$dir/$file.err" &
  loads+=($!)
}

start_loads () { # FAULT
  local center name watch=()
  targets=() loads=()
  for center in "${centers[@]}"; do targets+=(--target "${ip[$center-r1]}:7080"); done
  for name in "${!kind[@]}"; do
    case ${kind[$name]} in
      router) watch+=(--daemon "router,$name,${ip[$name]}:7080") ;;
      model) watch+=(--daemon "$pool,$name,${ip[$name]}:7080") ;;
      plain) watch+=(--daemon "$plain,$name,${ip[$name]}:7080") ;;
    esac
  done
  start watch bench-watch "${watch[@]}" --bound "${bounds[0]}" --bound "${bounds[1]}"
  # shellcheck disable=SC2046
  {
    load chats $(accounts "${quiet[@]}") "${chat[@]}" --rate "$chats_s" --chats "$chats" --zipf 0.9 --pause-ms 300 \
      --history-limit-bytes 40000 --stream 0.5 --seed 1
    load reads $(accounts "${quiet[@]}") --plain-share 1 --plain-path "$read_path" --plain-method GET \
      --rate "$reads_s" --seed 2
    load calls $(accounts "${quiet[@]}") --plain-share 1 --plain-path "$call_path" --plain-method POST \
      --rate "$calls_s" --seed 3
    if [ "$1" = surge ]; then
      load surge $(accounts "$loud") "${chat[@]}" --rate "$surge_s" --chats 4000 --concurrency 4000 --seed 4
    fi
  }
}

replace () { # NAME: as planned: drain, stop, start anew under the same name
  $ctl drain "$1" >/dev/null || bad_stops=$((bad_stops + 1))
  stop "$1" TERM
  stop "engine-$1" TERM
  start_host "$1"
  wait_for ready "$1"
}

apply () { # FAULT: while the load runs
  local name first=${centers[0]} host
  case $1 in
    join)
      sleep $((run_s / 4))
      list live "$first-m4"
      start_host "$first-m4"
      wait_for ready "$first-m4" ;;
    roll)
      sleep 1
      for name in "${!kind[@]}"; do [ "${kind[$name]}" = router ] || replace "$name"; done ;;
    flap)
      sleep 2
      for _ in 1 2 3 4; do
        stop "$first-m2" KILL
        stop "engine-$first-m2" KILL
        sleep 1
        start_host "$first-m2"
        sleep 2
      done ;;
    data_center)
      sleep $((run_s / 4))
      for host in m1 m2 m3 m4 p1 r1; do stop "$first-$host" KILL; done
      for host in m1 m2 m3 m4 p1; do stop "engine-$first-$host" KILL; done
      sleep $((run_s / 4))
      for host in m1 m2 m3 m4 p1 r1; do start_host "$first-$host"; done ;;
    list)
      curl -fsS -X POST -d "{\"view\":{\"$first-r1\":\"stale\"}}" "http://$platform/admin/fault" >/dev/null
      sleep $((run_s / 4))
      list leaving "$first-m1"
      list live "$first-m4"
      start_host "$first-m4"
      stop "$first-m1" TERM
      stop "engine-$first-m1" TERM
      sleep $((run_s / 4))
      start_host "$first-m1"
      list live "$first-m1" ;;
  esac
}

value () { # FILE NAME [DEFAULT]
  awk -F'\t' -v n="$2" -v d="${3:-0}" '$1==n{print $2; f=1} END{if(!f)print d}' "$dir/$1.tsv"
}

total () { # PATTERN FILE...: sum over the names that match
  local pattern=$1 files=() f
  shift
  for f in "$@"; do [ ! -e "$dir/$f.tsv" ] || files+=("$dir/$f.tsv"); done
  awk -F'\t' -v p="$pattern" '$1~p{s+=$2} END{printf "%d", s}' "${files[@]}"
}

at_dispatch () { # requests passed to engines, and those that took a load above the bound of that moment
  local name logs=()
  for name in "${!kind[@]}"; do [ "${kind[$name]}" = router ] || logs+=("$dir/$name.log"); done
  awk '/ place .* action=dispatch /{
      n++
      match($0, / load=[0-9]+/); load = substr($0, RSTART + 6, RLENGTH - 6)
      match($0, / bound_milli=[0-9]+/); bound = substr($0, RSTART + 13, RLENGTH - 13)
      if (load * 1000 > bound + 0) over++
    } END{printf "%d %d", n, over}' "${logs[@]}"
}

columns="deployment fault requests reuse pool_ratio_avg pool_ratio_p99 plain_ratio_avg pool_mean_load dispatched over_at_dispatch \
samples over_own over_mean hops_per_request control_bytes_s control_bytes_s_max short_p50_ms short_p99_ms chats_p50_ms chats_p99_ms \
reads_p50_ms reads_p99_ms calls_p50_ms calls_p99_ms refused surge_refused failed no_router not_own bad_stops"

row () { # FAULT: one line of values in the order of $columns
  local requests refused failed no_router ended f
  ended=$(total '^medlarplank_requests_total' watch)
  requests=$(($(total '^fleet/(answered|failed)$' chats reads calls)))
  refused=$(total '^fleet/failures/5.. not_run|^fleet/failures/4.. not_run' chats reads calls)
  no_router=$(total '^fleet/failures/connect$' chats reads calls surge)
  failed=$(($(total '^fleet/failed$' chats reads calls surge) - $(total '^fleet/failures/[45].. not_run' chats reads calls surge) - no_router))
  echo "$deployment $1 $requests $(value chats fleet/cache/reuse) $(value watch "$pool/ratio_average") \
$(value watch "$pool/ratio_p99") $(value watch "$plain/ratio_average") $(value watch "$pool/mean_load") \
$(at_dispatch) \
$(total '/samples$' watch) $(total '/over_own$' watch) $(total '/over_mean$' watch) \
$(awk -v h="$(value watch medlarplank_hops_total)" -v r="$ended" 'BEGIN{printf "%.3f", r ? h / r : 0}') \
$(value watch control_bytes_s/mean) $(value watch control_bytes_s/max) \
$(value chats "fleet/classes/$short/latency/p50_ms") $(value chats "fleet/classes/$short/latency/p99_ms") \
$(value chats fleet/latency/p50_ms) $(value chats fleet/latency/p99_ms) \
$(value reads fleet/latency/p50_ms) $(value reads fleet/latency/p99_ms) \
$(value calls fleet/latency/p50_ms) $(value calls fleet/latency/p99_ms) \
$refused $(total '^fleet/failures/[45].. not_run' surge) $failed $no_router \
$(total '^fleet/not_own$' chats reads calls surge) $bad_stops"
}

details () { # what was refused or failed, and where
  local f
  for f in chats reads calls surge; do
    [ ! -e "$dir/$f.tsv" ] || awk -F'\t' -v f="$f" '/^fleet\/failures\//{sub(/^fleet\/failures\//,"",$1); print "   " f ": " $1 " x " $2}' "$dir/$f.tsv"
  done
  awk -F'\t' '/^medlarplank_refusals_total/{gsub(/.*reason="|".*/,"",$1); printf "   sidecars: %s x %s\n", $1, $2}
    /^medlarplank_hop_failures_total/{gsub(/.*reason="|".*/,"",$1); printf "   routers heard: %s x %s\n", $1, $2}' "$dir/watch.tsv"
}

run () { # FAULT
  local fault=$1 absent=() lag=200 p
  bad_stops=0
  [ "$fault" != join ] && [ "$fault" != list ] || absent=("${centers[0]}-m4")
  [ "$fault" != list ] || lag=5000
  surge_s=${SURGE_S:-$((chats_s * 100 / ${#quiet[@]}))}
  start_fleet "$lag" "${absent[@]}"
  start_loads "$fault"
  apply "$fault"
  for p in "${loads[@]}"; do wait "$p" || true; done
  kill -TERM "${pid[watch]}"
  wait "${pid[watch]}" || true
  unset 'pid[watch]'
  cp "$dir/watch.log" "$dir/watch.tsv"
  row "$fault" | tr -s ' ' '\t' >>"$tsv"
  echo "-- $deployment, $fault:"
  details
  stop_all
  [ -n "${KEEP:-}" ] && echo "   logs in $dir" || rm -rf "$dir"
}

for deployment in "${deployments[@]}"; do
  case_of "$deployment"
  name_hosts
  tsv=$out_dir/fleet-$deployment.tsv
  echo "$columns" | tr -s ' ' '\t' >"$tsv"
  for fault in $faults; do run "$fault"; done
  echo "== $deployment: $run_s s each; a second: $chats_s chats, $reads_s reads, $calls_s keyed calls; surge $surge_s"
  column -t -s "$(printf '\t')" "$tsv"
done
