#!/usr/bin/env bash
# A table of whole days from entries of journal/: what callers got, what was lost where, and the largest prices.
# Usage: bench/days_table.sh ENTRY...   (ENTRY: an id, such as 112ac8bd)
set -eu
cd "$(dirname "$0")/.."
command -v jq >/dev/null || { echo "jq is needed" >&2; exit 2; }
[ $# -gt 0 ] || { echo "name one entry of journal/ or more" >&2; exit 2; }
echo "| site | day | worth | served | refused | failed | lost: whole day | worst windows | worst kind | worst zone | nines | prices | the largest three |"
echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
for id in "$@"; do
  file=$(ls journal/*-"$id".json 2>/dev/null) || { echo "no entry $id in journal/" >&2; exit 2; }
  jq -r '
    def round3: . * 1000 | round / 1000;
    def lost($name): [.parts[] | select(.[0] == $name) | .[1] * (1 - .[2])] | add // 0 | round3;
    .site as $site | .days[] | select(.parts) |
    [$site, .name, (.G | round3), (.served | round3), (.refused | round3), (.failed | round3),
     lost("whole day"), lost("worst windows"), lost("worst class"), lost("worst zone"), lost("nines"),
     ([.prices[][2]] | add | round3),
     ([.prices | sort_by(-.[2]) | .[:3][] | "\(.[0]) \(.[2] | round3)"] | join(", "))]
    | "| " + (map(tostring) | join(" | ")) + " |"' "$file"
done
