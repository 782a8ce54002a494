#!/usr/bin/env bash
# Plots the measured convergence time and control bytes against the number of
# nodes as PNG files. Arguments: data file (default:
# docs/measurements/convergence.tsv) and output folder (default: docs/plots).
#
# The data file has tab-separated columns; lines that start with # are comments.
# Columns: nodes, convergence_median_ms, convergence_worst_ms,
# bytes_per_s_idle, bytes_per_s_busy, baseline_link_bytes_per_s,
# link_bytes_per_s.
set -euo pipefail
Root=$(cd "$(dirname "$0")/.." && pwd)
Data=${1:-$Root/docs/measurements/convergence.tsv}
Out=${2:-$Root/docs/plots}
Columns=7

if [ ! -r "$Data" ]; then
  echo "plot: $Data cannot be read" >&2
  exit 1
fi
# Checks the data first, because gnuplot draws an incomplete line without an
# error.
awk -F'\t' -v columns=$Columns -v file="$Data" '
  /^#/ || /^[ \t]*$/ { next }
  { rows++ }
  NF != columns {
    printf "plot: %s:%d: %d columns, expected %d\n", file, NR, NF, columns
    bad = 1
    next
  }
  {
    for (i = 1; i <= NF; i++)
      if ($i !~ /^[0-9]+([.][0-9]+)?$/) {
        printf "plot: %s:%d: \"%s\" is no number\n", file, NR, $i
        bad = 1
      }
  }
  END {
    if (!rows) printf "plot: %s has no lines of data\n", file
    exit bad || !rows
  }' "$Data" >&2

mkdir -p "$Out"
Work=$(mktemp -d)
trap 'rm -rf "$Work"' EXIT
cat >"$Work/plot.gp" <<GNUPLOT
set terminal pngcairo size 900,540 font "sans,11"
set datafile separator "\t"
set datafile commentschars "#"
set grid
set key top left
set xlabel "nodes"
set yrange [0:*]
set offsets graph 0.05, graph 0.05, graph 0.1, 0

set output "$Work/convergence.png"
set title "Convergence time of a configuration change"
set ylabel "ms"
plot "$Data" using 1:2 with linespoints lw 2 pt 7 title "median", \\
     "$Data" using 1:3 with linespoints lw 2 pt 5 title "worst"

set output "$Work/control-bytes.png"
set title "Control bytes of a node"
set ylabel "bytes/s"
plot "$Data" using 1:4 with linespoints lw 2 pt 7 title "idle", \\
     "$Data" using 1:5 with linespoints lw 2 pt 5 title "busy"

set output "$Work/link-bytes.png"
set title "Control bytes on the link between regions"
set ylabel "bytes/s"
plot "$Data" using 1:6 with linespoints lw 2 pt 5 title "baseline", \\
     "$Data" using 1:7 with linespoints lw 2 pt 7 title "lycheethread"
GNUPLOT
gnuplot "$Work/plot.gp"
for Plot in convergence control-bytes link-bytes; do
  mv "$Work/$Plot.png" "$Out/$Plot.png"
  echo "plot: wrote $Out/$Plot.png"
done
