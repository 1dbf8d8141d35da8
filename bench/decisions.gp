# Draws the TSV of bench-decisions. Usage:
#   gnuplot -e "tsv='decisions.tsv'; dir='.'" bench/decisions.gp
if (!exists("tsv")) tsv = "decisions.tsv"
if (!exists("dir")) dir = "."
set datafile separator "\t"
set terminal pngcairo size 900,420
set style fill solid 0.6
set boxwidth 0.12
set grid ytics
set key outside right
policies = "full bounded rendezvous least oracle random"
faults = "steady surge join rolling flap center dark late"
set xrange [-0.5:7.5]
set xtics ("steady" 0, "surge" 1, "join" 2, "rolling" 3, "flap" 4, "center" 5, "dark" 6, "late" 7)
# The place of a name in a list of names.
place(name, list) = sum [i = 1:words(list)] (word(list, i) eq name ? i - 1 : 0)
x(fault, policy) = place(fault, faults) + 0.13 * (place(policy, policies) - 2.5)
pick(load, policy) = (strcol(1) eq load && strcol(3) eq policy) ? x(strcol(2), policy) : NaN
do for [load in "tuul jogak"] {
  set output sprintf("%s/%s-cached.png", dir, load)
  set title sprintf("%s: prefix tokens of returning chats found cached", load)
  set ylabel "percent"
  set yrange [0:100]
  plot for [p in policies] tsv using (pick(load, p)):(column("cached%")) smooth unique with boxes title p
  set output sprintf("%s/%s-skew.png", dir, load)
  set title sprintf("%s: max / mean load, p99 over dispatches", load)
  set ylabel "max / mean"
  set yrange [1:*]
  plot for [p in policies] tsv using (pick(load, p)):(column("skew99")) smooth unique with boxes title p
  set output sprintf("%s/%s-first.png", dir, load)
  set title sprintf("%s: first token of quiet accounts, p99", load)
  set ylabel "milliseconds"
  set yrange [0:*]
  plot for [p in policies] tsv using (pick(load, p)):(column("quiet_f")) smooth unique with boxes title p
}
