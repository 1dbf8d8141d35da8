#!/usr/bin/env bash
# What the sources as a whole must keep: names of the platform's wire stand in platform/ alone, and each
# event that is logged stands on the operators' page.
set -u
cd "$(dirname "$0")/.."
status=0
names='X-Expect-Instance|X-Tenant|X-Prompt-Prefix|X-Response-Stamp|X-Not-Run|X-Token-Count|X-Engine-Load|Kv-Fetch|log-(newest|append|read|join)|keyed\.|api_keys|"backends"|cold_left_ms'
if grep -rnE "$names" src ctl --include='*.[ch]'; then
  echo "names of the platform's wire stand outside platform/"
  status=1
fi
if grep -rn '"platform/' src ctl --include='*.[ch]' | grep -v '^src/process/main\.c:'; then
  echo "platform/ is included by more than src/process/main.c"
  status=1
fi
events=$(grep -rhoE 'log_event \([^,]+,[[:space:]]*"[a-z_]+"|gwy_call_log \(call, "[a-z_]+"|log_dependency \([^,]+, [^,]+, "[a-z_]+"' src |
  grep -oE '"[a-z_]+"' | tr -d '"' | sort -u)
[ -n "$events" ] || { echo "no event found"; status=1; }
for event in $events; do
  grep -q "\`$event\`" docs/OPERATIONS.md || { echo "docs/OPERATIONS.md does not tell of the event $event"; status=1; }
done
exit $status
