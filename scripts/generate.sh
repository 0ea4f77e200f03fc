#!/usr/bin/env bash
# Regenerates the committed code of packages/schema. The build itself needs no generator.
set -euo pipefail
cd "$(dirname "$0")/../packages/schema"
protoc --cpp_out=generated ./*.proto
jsonrpcstub operator.json \
  --cpp-server=mimosadale::schema::OperatorServer --cpp-server-file=generated/operator_server.h \
  --cpp-client=mimosadale::schema::OperatorClient --cpp-client-file=generated/operator_client.h
# C++17 removed dynamic exception specifications, which the stub generator still writes.
sed -i 's/ throw (jsonrpc::JsonRpcException)//' generated/operator_*.h
