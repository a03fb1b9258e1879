#!/usr/bin/env bash
# Installs the Debian packages that are missing, builds, and runs the demo.
set -euo pipefail
cd "$(dirname "$0")/.."
packages=(
  build-essential ccache cmake curl ninja-build protobuf-compiler
  libbenchmark-dev libboost-program-options-dev libcpprest-dev libcurl4-openssl-dev libgmock-dev
  libgtest-dev libjsoncpp-dev libjsonrpccpp-dev liblog4cxx-dev libmicrohttpd-dev libprotobuf-dev
  libssl-dev libtomlplusplus-dev libxxhash-dev prometheus-cpp-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${db:Status-Status}' "$package" 2>/dev/null | grep -qx installed || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  as_root=()
  [ "$(id -u)" -eq 0 ] || as_root=(sudo)
  "${as_root[@]}" apt-get update
  "${as_root[@]}" apt-get install -y --no-install-recommends "${missing[@]}"
fi
cmake -S . -B build -G Ninja >build-configure.log 2>&1 || { cat build-configure.log; exit 1; }
rm -f build-configure.log
ninja -C build
exec tools/demo.sh build
