#!/usr/bin/env bash
# Installs missing packages that the build needs (Debian 12).
set -euo pipefail
packages=(g++ cmake libboost-dev ninja-build ccache librestinio-dev libasio-dev
    libwebsocketpp-dev libhttp-parser-dev libcxxopts-dev liblog4cplus-dev
    catch2 libtomlplusplus-dev nlohmann-json3-dev
    libxxhash-dev libbenchmark-dev librapidcheck-dev libfmt-dev libssl-dev zlib1g-dev
    clang-format clang-tidy valgrind)
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
    exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq "${packages[@]}" >/dev/null
