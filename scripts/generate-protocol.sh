#!/usr/bin/env bash
# Regenerates the committed protobuf code; needs protobuf-compiler 3.21 (Debian 12).
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I modules/rattanroad_protocol --cpp_out=modules/rattanroad_protocol/generated modules/rattanroad_protocol/rattanroad.proto
