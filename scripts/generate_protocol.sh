#!/usr/bin/env bash
# Regenerates the committed protobuf and gRPC code from hyssopledge/protocol/*.proto.
set -euo pipefail
cd "$(dirname "$0")/../hyssopledge/protocol"
protoc --cpp_out=generated ./*.proto
# etcd_kv.proto is left out: it has no service, and the plugin would write empty files for it.
protoc --grpc_out=generated --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" ./control.proto ./etcd.proto
