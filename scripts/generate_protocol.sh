#!/usr/bin/env bash
# Generates the committed protobuf and gRPC code again from hyssopledge/protocol/*.proto.
set -euo pipefail
cd "$(dirname "$0")/../hyssopledge/protocol"
protoc --cpp_out=generated ./*.proto
# etcd_kv.proto has no service; the plugin would write empty files for it.
protoc --grpc_out=generated --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" ./control.proto ./etcd.proto
