#!/usr/bin/env bash
# Installs the Debian packages that the build needs.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy libcaf-dev libnng-dev libboost1.81-dev libboost-json1.81-dev
  libcli11-dev liblog4cxx-dev doctest-dev libssl-dev libxxhash-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if ((${#missing[@]})); then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
fi
