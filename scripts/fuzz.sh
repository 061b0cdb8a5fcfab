#!/usr/bin/env bash
# Fuzzes the document parser, the datagram decoder and the parsers of store
# responses and HTTP messages. The number of runs and the seed are fixed, so that
# CI gives the same result each time.
set -euo pipefail
ROOT=$(cd "$(dirname "$0")/.." && pwd)
RUNS=${1:-200000}
DIR=$ROOT/build-fuzz
mkdir -p "$DIR/corpus"
cp "$ROOT"/examples/*/*.yaml "$DIR/corpus/"
[ -f "$DIR/build.ninja" ] ||
	CC=clang CXX=clang++ cmake -S "$ROOT" -B "$DIR" -G Ninja \
		-DTR_FUZZ=ON -DBUILD_TESTING=OFF -DCMAKE_BUILD_TYPE=Debug >/dev/null
cmake --build "$DIR" --target fuzz_document fuzz_datagram \
	fuzz_store >/dev/null
for f in fuzz_document fuzz_datagram fuzz_store; do
	echo "$f: $RUNS runs"
	"$DIR/$f" -seed=1 -runs="$RUNS" -max_len=4096 -verbosity=0 \
		-artifact_prefix="$DIR/" "$DIR/corpus"
done
echo "fuzz: no failures"
