#!/usr/bin/env bash
# Runs the soak with each seed and closes with "N passed, N failed". The output of a seed that fails is
# printed whole. Usage: soak/run.sh BUILD-DIR SECONDS SEED...
set -u
out=$1
seconds=$2
shift 2
passed=0
failed=0
for seed in "$@"; do
  if "$out/soak-run" --build "$out" --seed "$seed" --seconds "$seconds" >"$out/soak-$seed.log" 2>&1; then
    passed=$((passed + 1))
    tail -n 1 "$out/soak-$seed.log"
  else
    failed=$((failed + 1))
    cat "$out/soak-$seed.log"
  fi
done
echo "soak: $passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
