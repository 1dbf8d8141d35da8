#!/usr/bin/env bash
# Runs each test program given, prints the output of those that fail, and closes with
# "N passed, N failed", counted in test cases. Tests listed in KNOWN-RED.txt are printed
# and passed over. Usage: tests/run.sh BUILD-DIR PROGRAM...
set -u
out=$1
shift
top=$(cd "$(dirname "$0")/.." && pwd)
export MEDLARPLANK_BUILD="$top/$out" MEDLARPLANK_SOURCE="$top"
passed=0
failed=0
for program in "$@"; do
  name=$(basename "$program")
  log="$out/$name.log"
  if "./$program" >"$log" 2>&1; then rc=0; else rc=$?; fi
  # CUnit's summary line: "tests TOTAL RAN PASSED FAILED INACTIVE"
  read -r ran ok bad <<<"$(awk '$1=="tests"{print $3, $4, $5}' "$log" | tail -n 1)"
  if [ -z "${ran:-}" ] || { [ "$rc" -ne 0 ] && [ "${bad:-0}" -eq 0 ]; }; then
    echo "$name: ended with status $rc and no result"
    tail -n 60 "$log"
    failed=$((failed + 1))
    continue
  fi
  passed=$((passed + ok))
  if [ "$bad" -gt 0 ]; then
    if [ -f "$top/KNOWN-RED.txt" ] && grep -q "^$name:" "$top/KNOWN-RED.txt"; then
      echo "known red: $(grep "^$name:" "$top/KNOWN-RED.txt")"
    else
      failed=$((failed + bad))
      cat "$log"
    fi
  fi
  echo "$name: $ok of $ran passed"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
