# What the demos share. Sourced with $out (the build's directory) set; sets $dir, $net, $pids and $failed.
dir=$(mktemp -d)
# The first three bytes of the loopback addresses, this run's own: two demos on one machine would take each
# other's ports. The tests stay below 127.129.
net=127.$((129 + $$ / 250 % 120)).$(($$ % 250 + 1))
pids=()
failed=0
export MEDLARPLANK_FLEET_KEY=demo-fleet-key-0123456789

stop_all () {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  [ -n "${KEEP:-}" ] || rm -rf "$dir"
}
trap stop_all EXIT

start () { # NAME PROGRAM ARGS...: a process in the background, its log in $dir/NAME.log
  local name=$1
  shift
  "$out/$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}

wait_for () { # WHAT COMMAND...: until the command succeeds, for 10 seconds at most
  local what=$1
  shift
  local end=$((SECONDS + 10))
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$end" ]; then
      echo "demo: $what did not come up" >&2
      tail -n 5 "$dir"/*.log >&2
      exit 1
    fi
    sleep 0.05
  done
}

expect () { # WHAT CONDITION...: says when an answer is not as it should be
  local what=$1
  shift
  if ! [ "$@" ]; then
    echo "   UNEXPECTED: $what"
    failed=$((failed + 1))
  fi
}

field () { # NAME: the value of an answer's header
  tr -d '\r' <"$dir/head" | awk -F': ' -v name="$1" 'tolower($1)==tolower(name){print $2}'
}

stop_and_judge () { # each process drains and exits 0; the verdict on the demo
  for pid in "${pids[@]}"; do kill -TERM "$pid"; done
  for pid in "${pids[@]}"; do
    rc=0
    wait "$pid" || rc=$?
    expect "exit status of $pid" "$rc" = 0
  done
  pids=()
  [ "$failed" = 0 ] && echo "$1: all as expected" || { echo "$1: $failed not as expected"; exit 1; }
}
