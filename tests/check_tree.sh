#!/usr/bin/env bash
# What the sources as a whole must keep: names of the platform's wire stand in platform/ alone, and each
# event that is logged stands on the operators' page.
set -u
cd "$(dirname "$0")/.."
status=0
names='X-Expect-Instance|X-Tenant|X-Prompt-Prefix|X-Response-Stamp|X-Not-Run|X-Token-Count|X-Engine-Load|Kv-Fetch|log-(newest|append|read|join)|keyed\.|api_keys|"backends"|cold_left_ms|cold_per_s"|allowed_regions|evacuate/'
if grep -rnE "$names" src ctl --include='*.[ch]'; then
  echo "names of the platform's wire stand outside platform/"
  status=1
fi
if grep -rn '"platform/' src ctl --include='*.[ch]' | grep -v '^src/process/main\.c:'; then
  echo "platform/ is included by more than src/process/main.c"
  status=1
fi
events=$(grep -rhoE 'log_event \([^,]+,[[:space:]]*"[a-z_]+"|gateway_call_log \(call, "[a-z_]+"|log_dependency \([^,]+, [^,]+, "[a-z_]+"' src |
  grep -oE '"[a-z_]+"' | tr -d '"' | sort -u)
[ -n "$events" ] || { echo "no event found"; status=1; }
for event in $events; do
  grep -q "\`$event\`" docs/OPERATIONS.md || { echo "docs/OPERATIONS.md does not tell of the event $event"; status=1; }
done
# Arrows point one way: a folder may include only those that are named for it.
layers='
base:
proto:
request/policy: base
version: base request/policy
connection: base proto request/policy version
request: base connection request/policy version
request/gateway: base connection request request/policy version
request/router: base connection request request/policy version
request/sidecar: base connection request request/policy version
process: base connection request request/policy request/gateway request/router request/sidecar version
'
checked=0
while IFS=: read -r folder allowed; do
  [ -n "$folder" ] || continue
  [ -d "src/$folder" ] || { echo "the folder src/$folder is not there"; status=1; }
  files=(src/"$folder"/*.[ch])
  [ "$folder" != request/policy ] || files=(src/request/policy/*/*.[ch])
  for file in "${files[@]}"; do
    [ "$file" != src/process/main.c ] || continue
    checked=$((checked + 1))
    for included in $(grep -hoE '^#include "[a-z/_]+/[a-z_]+\.h"' "$file" | sed -E 's/#include "(.*)\/[^/]+"/\1/; s/^(request\/policy)\/.*/\1/' | sort -u); do
      case " $folder $allowed " in
        *" $included "*) ;;
        *) echo "$file includes $included/, which is above $folder/"; status=1 ;;
      esac
    done
  done
done <<< "$layers"
[ "$checked" -ge "$(find src -name '*.[ch]' ! -path src/process/main.c | wc -l)" ] || { echo "a file of src/ lies in no layer"; status=1; }
if grep -nE '#include .*(event2/|sys/socket|base/log\.h|base/mailbox\.h)' src/request/policy/*/*.[ch]; then
  echo "src/request/policy/ holds decisions: no sockets, events or logs"
  status=1
fi
exit $status
