#!/usr/bin/env bash
# Generates src/wire/*.pb.{h,cc} from the .proto files. The result is committed: a build needs no protoc.
set -euo pipefail
cd "$(dirname "$0")/../src"
protoc --cpp_out=. wire/frames.proto wire/usage.proto wire/evidence.proto
# Compiler and linter treat what is generated as a system header: its warnings are not ours to mend.
sed -i "0,/^#ifndef/s//#pragma GCC system_header\n#ifndef/" wire/frames.pb.h wire/usage.pb.h \
    wire/evidence.pb.h
