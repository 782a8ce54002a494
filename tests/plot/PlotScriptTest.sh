#!/usr/bin/env bash
# Guards against a plot script that draws nothing or half a file without
# saying so. Arguments: the script and the example data.
set -euo pipefail
Script=$1
Example=$2
Work=$(mktemp -d)
trap 'rm -rf "$Work"' EXIT

fail() {
  echo "PlotScriptTest: $1" >&2
  exit 1
}

"$Script" "$Example" "$Work/plots" || fail "the example was refused"
for Plot in convergence control-bytes link-bytes; do
  [ "$(head -c 4 "$Work/plots/$Plot.png" | tail -c 3)" = PNG ] ||
    fail "$Plot.png is no PNG"
done

# refused TEXT NAME: the script must fail, say TEXT and draw nothing.
refused() {
  "$Script" "$Work/$2" "$Work/none" 2>"$Work/errors" &&
    fail "$2 was accepted"
  grep -q "$1" "$Work/errors" || fail "$2: no message \"$1\""
  [ ! -e "$Work/none" ] || fail "$2: something was drawn"
}

sed 's/\t[^\t]*$//' "$Example" >"$Work/short.tsv"
refused "3: 6 columns, expected 7" short.tsv
sed 's/^2\t2/2\tabout 2/' "$Example" >"$Work/text.tsv"
refused '4: "about 2" is no number' text.tsv
grep '^#' "$Example" >"$Work/empty.tsv"
refused "has no lines of data" empty.tsv
refused "cannot be read" missing.tsv
