# What the cases share. Sourced in the folder of a case. Starts programs of target/ and review/build/ on loopback addresses.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
case_dir=$(pwd)
dir=$(mktemp -d)
# This run's own addresses: the second and third byte come from the id of the shell.
net=127.$((130 + $$ / 250 % 120)).$(($$ % 250 + 1))
store=$net.1:8223
trouble=${TROUBLE:-1}
pids=()

stop_all () {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  rm -rf "$dir"
}
trap stop_all EXIT
trap 'exit 2' INT TERM

start () { # NAME PROGRAM ARGS...: in the background, its output in $dir/NAME.log; its id in $started
  local name=$1
  shift
  "$@" >>"$dir/$name.log" 2>&1 &
  started=$!
  pids+=("$started")
  disown "$started"
}

give_up () { # TEXT: the case can't run
  echo "the case can't run: $1" | tee -a "$case_dir/record.txt" >&2
  tail -n 3 "$dir"/*.log >&2
  exit 2
}

zones=(hall-bayangol hall-bayangol hall-sukhbaatar hall-khan-uul)

gateway () { # N (1 to 4) [PROGRAM ARGS... that start it]: the command of deploy/system.toml with the settings of the site; its id in $started
  local n=$1 ip=$net.$((10 + $1)) zone=${zones[$(($1 - 1))]}
  shift
  MEDLARPLANK_FLEET_KEY=replace-me-for-each-deployment MEDLARPLANK_CENTER_DRAIN_MS= \
    MEDLARPLANK_REGIONS=hall-bayangol=ulaanbaatar,hall-sukhbaatar=ulaanbaatar,hall-khan-uul=ulaanbaatar \
    start "gateway-$n" "$@" "$root/target/medlarplankd" --role=gateway --name="edge-$zone-$n" --data-center="$zone" --region=ulaanbaatar \
    --listen="$ip:8227" --ready-listen="$ip:8220" --control-listen="$ip:8229" --exchange="$ip:7340" --platform="$store" \
    --seeds="$net.11:8229,$net.12:8229,$net.13:8229" --first-start=true --retry-ratio=0.2 --retry-slack="${retry_slack:-54}" \
    --retry-window=10 --grace=8 --version-ms="${config_ms:-2000}" --renewal-ms=1200 --drain-ms="${drain_ms:-2000}" --connection-limit=1800 \
    --exchange-interval-ms=500 --control-budget-bytes=4000
}

front () { echo "$net.$((10 + $1)):8227"; }
ready () { echo "$net.$((10 + $1)):8220"; }

start_store () {
  start store "$root/target/standin-platform" --listen "$store" --entry-ttl-ms 3600
  for _ in $(seq 100); do
    "$root/review/build/client" publish "$store" "$1" && return
    sleep 0.1
  done
  give_up "the store did not take the configuration"
}

await_gateways () { # N...
  for n in "$@"; do "$root/review/build/client" ready "$(ready "$n")" 15 || give_up "gateway $n is not ready"; done
}
