#!/usr/bin/env bash
# Generates src/wire/frames.pb.{h,cc} from frames.proto. The result is committed: a build needs no protoc.
set -euo pipefail
cd "$(dirname "$0")/../src"
protoc --cpp_out=. wire/frames.proto
# Compiler and linter treat what is generated as a system header: its warnings are not ours to mend.
sed -i '0,/^#ifndef/s//#pragma GCC system_header\n#ifndef/' wire/frames.pb.h
