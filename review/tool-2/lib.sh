# What the scripts of the cases share. Sourced in the repository with $case set: the case's folder.
# TROUBLE=0 leaves the disruption out. Ends all processes that it started, by their ids.
trouble=${TROUBLE:-1}
here=$PWD
dir=$(mktemp -d)
record=$here/$case/record.txt
part=$(($$ % 250 + 1))
net=127.$((160 + $$ / 250 % 90)).$part
store=$net.1:7000
pids=()
gateways=()
export MEDLARPLANK_FLEET_KEY=review-fleet-key-0123456789
export MEDLARPLANK_REGIONS=hall-a=ulaanbaatar,hall-b=ulaanbaatar,hall-c=ulaanbaatar
export MEDLARPLANK_CENTER_DRAIN_MS=
: >"$record"

end_all () { # the ids of those that have ended may be others' by now
  local pid left
  left=" $(jobs -p | tr '\n' ' ')"
  for pid in "${pids[@]}"; do
    [[ $left == *" $pid "* ]] && kill -KILL "$pid" 2>/dev/null
  done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ -n "${KEEP:-}" ]; then echo "logs in $dir"; else rm -rf "$dir"; fi
}
trap end_all EXIT

cannot_run () {
  echo "the case could not run: $1" >&2
  exit 2
}

for program in target/medlarplankd target/standin-platform target/review-2/{engine,client,put}; do
  [ -x "$program" ] || cannot_run "$program is not built"
done

note () { # WORDS...: into the record, in the time of the programs
  echo "$(awk '{ printf "%d", $1 * 1000 }' /proc/uptime) $*" >>"$record"
}

start () { # NAME PROGRAM ARGS...: leaves its id in $pid
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pid=$!
  pids+=("$pid")
}

wait_for () { # WHAT COMMAND...
  local what=$1 n
  shift
  for n in $(seq 1 200); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.05
  done
  cannot_run "$what did not come up"
}

start_store () {
  start store target/standin-platform --listen "$store" --entry-ttl-ms 3600
  store_pid=$pid
  wait_for "the store" target/review-2/put "$store" keyed.review started 1
}

route () { # NAME KIND SERVICE ATTEMPTS TIMEOUT_MS [MORE]
  printf '{"name":"%s","host":"claims.example","path_prefix":"/%s/","kind":"%s","timeout_ms":%s,"aim_ms":400,"priority":1,"service":"%s","attempts":%s,"public":false%s}' \
    "$1" "$1" "$2" "$5" "$3" "$4" "${6:-}"
}

publish () { # VERSION ROUTES [SERVICES]
  target/review-2/put "$store" keyed.op config "{\"version\":$1,\"routes\":[$2],\"services\":[${3:-}],\"limits\":{\"max_header_bytes\":65536,\"max_body_bytes\":4194304,\"header_timeout_ms\":10000,\"idle_timeout_ms\":30000},\"tenants\":[{\"name\":\"appeals\",\"api_keys\":[\"key-of-appeals\"]}]}" ||
    cannot_run "the configuration was not written"
}

# The command of the deploy file, with the fields of a small deployment.
start_gateway () { # NUMBER
  local ip=$net.1$1 zone=hall-$(echo abc | cut -c$(($1 % 3 + 1))) line
  line=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml |
    sed -e "s/{{node}}/edge-$1/" -e "s/{{zone}}/$zone/" -e 's/{{region}}/ulaanbaatar/' -e "s/{{ip}}/$ip/" \
      -e "s/{{listen.front}}/$ip:8227/" -e "s/{{listen.ready}}/$ip:8220/" -e "s/{{listen.control}}/$ip:8229/" \
      -e 's/{{port_range.0}}/7340/' -e "s/{{provider.addr}}/$store/" -e "s/{{seeds}}/$net.11:8229,$net.12:8229,$net.13:8229/" \
      -e "s/{{bootstrap}}/${first_start:-true}/" -e 's/{{bounds.retry_ratio}}/0.2/' -e 's/{{bounds.retry_slack}}/54/' \
      -e 's/{{bounds.retry_window_s}}/10/' -e 's/{{bounds.grace_s}}/8/' -e 's/{{bounds.config_ms}}/2000/' \
      -e 's/{{heartbeat_ms}}/1200/' -e 's/{{bounds.drain_ms}}/2000/' -e 's/{{limits.max_fds}}/4100/' \
      -e 's/{{limits.memory_mb}}/260/')
  case "$line" in *"{{"*) cannot_run "the deploy file has a field that is not known here" ;; esac
  # shellcheck disable=SC2086
  start "gateway-$1" $line
  gateways+=("$ip:8227")
  gateway_pids[$1]=$pid
}

wait_ready () { # NUMBERS...
  local n
  for n in "$@"; do wait_for "gateway $n" target/review-2/put --get "$net.1$n:8220" /readyz; done
}

start_engine () { # NUMBER ID ARGS...: leaves its id in $pid
  local n=$1 id=$2
  shift 2
  start "engine-$n" target/review-2/engine --listen "$net.5$n:8080" --store "$store" --id "$id" --record "$record" "$@"
  engine_pids[$n]=$pid
}

declare -A gateway_pids engine_pids
