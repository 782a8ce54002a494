#!/usr/bin/env bash
# Installs the missing packages that the build, the checks and the tests need
# (Debian 12).
set -euo pipefail
Packages=(g++ cmake ninja-build ccache clang-format clang-tidy
  libpoco-dev libthrift-dev libcxxopts-dev libboost-dev libboost-log-dev
  libboost-test-dev rapidjson-dev python3 curl gnuplot-nox)
Missing=()
for Package in "${Packages[@]}"; do
  dpkg-query -W -f='${Status}' "$Package" 2>/dev/null |
    grep -q 'install ok installed' || Missing+=("$Package")
done
if [ "${#Missing[@]}" -gt 0 ]; then
  Sudo=
  [ "$(id -u)" = 0 ] || Sudo=sudo
  $Sudo apt-get update -qq
  $Sudo env DEBIAN_FRONTEND=noninteractive \
    apt-get install -y -qq --no-install-recommends "${Missing[@]}" >/dev/null
fi
