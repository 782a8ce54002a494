#!/usr/bin/env bash
# Guards against a plot script that writes no plot or an incomplete one without
# reporting an error. Arguments: the script and the example data.
set -euo pipefail
Script=$1
Example=$2
Work=$(mktemp -d)
trap 'rm -rf "$Work"' EXIT

fail() {
  echo "PlotScriptTest: $1" >&2
  exit 1
}

"$Script" "$Example" "$Work/plots" || fail "the example was rejected"
for Plot in convergence control-bytes link-bytes; do
  [ "$(head -c 4 "$Work/plots/$Plot.png" | tail -c 3)" = PNG ] ||
    fail "$Plot.png is not a PNG file"
done

# expect_rejected TEXT NAME: the script must fail, report TEXT and write no
# plot.
expect_rejected() {
  "$Script" "$Work/$2" "$Work/none" 2>"$Work/errors" &&
    fail "$2 was accepted"
  grep -q "$1" "$Work/errors" || fail "$2: no message \"$1\""
  [ ! -e "$Work/none" ] || fail "$2: a plot was written"
}

sed 's/\t[^\t]*$//' "$Example" >"$Work/short.tsv"
expect_rejected "3: 6 columns, expected 7" short.tsv
sed 's/^2\t2/2\tabout 2/' "$Example" >"$Work/text.tsv"
expect_rejected '4: "about 2" is no number' text.tsv
grep '^#' "$Example" >"$Work/empty.tsv"
expect_rejected "has no lines of data" empty.tsv
expect_rejected "cannot be read" missing.tsv
