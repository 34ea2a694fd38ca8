#!/usr/bin/env bash
# Installs what the build, the checks and the tests need on Debian 12.
set -euo pipefail
packages=(g++ cmake ninja-build ccache pkg-config clang-format clang-tidy python3 curl spin
    libh2o-evloop-dev libh2o-dev-common libssl-dev zlib1g-dev libzmq3-dev cppzmq-dev
    libprotobuf-dev libspdlog-dev libcli11-dev nlohmann-json3-dev prometheus-cpp-dev
    libvalijson-dev libcurl4-openssl-dev catch2 librapidcheck-dev libpcg-cpp-dev libxxhash-dev)
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
    exit 0
fi
sudo=()
[ "$(id -u)" = 0 ] || sudo=(sudo)
"${sudo[@]}" apt-get update -q
"${sudo[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${packages[@]}"
