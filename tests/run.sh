#!/usr/bin/env bash
# Runs each test program given, prints the output of those that fail, and closes with
# "N passed, N failed", counted in test cases. A line "PROGRAM: TEST: cause" in KNOWN-RED.txt
# lets just that test of that program fail; it is printed. Usage: tests/run.sh BUILD-DIR PROGRAM...
set -u
out=$1
shift
top=$(cd "$(dirname "$0")/.." && pwd)
export MEDLARPLANK_BUILD="$top/$out" MEDLARPLANK_SOURCE="$top"
passed=0
failed=0
failures=""
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
    failures+="failed: $name: status $rc"$'\n'
    continue
  fi
  passed=$((passed + ok))
  if [ "$bad" -gt 0 ]; then
    # The daemons' log lines may stand between a test's name and its verdict.
    awk '/^  Test: /{name=$0; sub(/^  Test: /, "", name); sub(/ \.\.\..*/, "", name)} /FAILED$/{print name}' \
      "$log" >"$log.red"
    unknown=$bad
    while read -r test; do
      if [ -f "$top/KNOWN-RED.txt" ] && grep -F "$name: $test: " "$top/KNOWN-RED.txt"; then
        unknown=$((unknown - 1))
      else
        failures+="failed: $name: $test"$'\n'
      fi
    done <"$log.red"
    if [ "$unknown" -gt 0 ]; then
      failed=$((failed + unknown))
      cat "$log"
    fi
  fi
  echo "$name: $ok of $ran passed"
done
printf '%s' "$failures"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
