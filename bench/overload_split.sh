#!/usr/bin/env bash
# Of the requests that met an engine over twice the mean of its service and three: what the gateways
# knew of it. Reads the log of all gateways of a day, each line after its time in seconds (as the
# users' bench prints it with --log all), from the files named or standard input.
set -eu
LC_ALL=C grep -hE ': (place|end|hop_lost|gone) ' "$@" | sort -s -n -k1,1 | awk '
function field (name,    at)
{
  at = index ($0, " " name "=")
  return at ? substr ($0, at + length (name) + 2, index (substr ($0, at + length (name) + 2) " ", " ") - 1) : ""
}
function leave (id,    engine)
{
  if (!(id in where))
    return
  engine = where[id]
  delete where[id]
  load[engine]--
  total[service_of[engine]]--
}
{ id = field ("id") }
/: (end|hop_lost|gone) / { leave (id); next }
{
  leave (id)
  service = field ("service")
  engine = field ("engine")
  if (!(engine in service_of)) {
    service_of[engine] = service
    engines[service]++
  }
  sent[service]++
  mean = total[service] / engines[service]
  if (load[engine] > 2 * mean + 3) {
    over[service]++
    age = field ("load_age_ms")
    if (age == "")
      never[service]++
    else if (age + 0 > 500)
      old[service]++
    else
      young[service]++
    missed[service] += load[engine] - field ("load")
    mean_off[service] += field ("mean_milli") / 1000 - mean
    first[service] += field ("rank") == "0" ? 1 : 0
  }
  where[id] = engine
  load[engine]++
  total[service]++
}
END {
  print "service\tsent\tover\tnever_told\ttold_over_500_ms_ago\ttold_later\tload_missed\tmean_too_high\tfirst_in_rank"
  for (service in sent)
    printf "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%d\n", service, sent[service], over[service], never[service],
      old[service], young[service], over[service] ? missed[service] / over[service] : 0,
      over[service] ? mean_off[service] / over[service] : 0, first[service]
}'
