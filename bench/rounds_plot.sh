#!/usr/bin/env bash
# Draws the mean worth by round, of entries of journal/ whose reason (--why) begins alike.
# Usage: bench/rounds_plot.sh SITE OUT.svg "REASON=LABEL"...   (plain SVG, so that no package is needed)
set -eu
cd "$(dirname "$0")/.."
command -v jq >/dev/null || { echo "jq is needed" >&2; exit 2; }
[ $# -ge 3 ] || { echo "usage: $0 SITE OUT.svg REASON=LABEL..." >&2; exit 2; }
site=$1
out=$2
shift 2
width=760
height=$((60 + 34 * $#))
rows=""
line=0
for pair in "$@"; do
  reason=${pair%%=*}
  label=${pair#*=}
  figures=$(grep -lF "\"$reason" journal/*.json | xargs jq -r --arg site "$site" --arg why "$reason" \
    'select(.cmd == "run" and .site == $site and (.why | startswith($why))) | .days[] | select(.slot != "quiet") | .G')
  [ -n "$figures" ] || { echo "no entry for $site: $reason" >&2; exit 2; }
  mean=$(printf '%s\n' "$figures" | awk '{ sum += $1 } END { printf "%.4f", sum / NR }')
  count=$(printf '%s\n' "$figures" | wc -l)
  bar=$(awk -v mean="$mean" 'BEGIN { printf "%d", (mean - 0.6) * 2400 }')
  y=$((40 + 34 * line))
  rows="$rows<text x=\"10\" y=\"$((y + 15))\">$label</text><rect x=\"330\" y=\"$y\" width=\"$bar\" height=\"22\" fill=\"#5b8\"/>"
  rows="$rows<text x=\"$((336 + bar))\" y=\"$((y + 15))\">$mean ($count days)</text>"
  line=$((line + 1))
done
printf '<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="13">' "$width" "$height" >"$out"
printf '<text x="10" y="20">%s: mean worth of days of trouble, bars from 0.6</text>%s</svg>\n' "$site" "$rows" >>"$out"
