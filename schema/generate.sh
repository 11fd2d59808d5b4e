#!/usr/bin/env bash
# Makes the Go code of the schema anew. Needs protoc and the three generators
# at the versions that docs/DESIGN.md names.
set -euo pipefail
cd "$(dirname "$0")/.."
go=(--go_out=. --go_opt=paths=source_relative)
protoc "${go[@]}" schema/config.proto
protoc "${go[@]}" schema/journal.proto
protoc "${go[@]}" schema/usage.proto
protoc "${go[@]}" schema/snapshot.proto
protoc "${go[@]}" --go-drpc_out=. --go-drpc_opt=paths=source_relative schema/peer.proto
protoc "${go[@]}" --connect-go_out=. --connect-go_opt=paths=source_relative schema/api.proto
