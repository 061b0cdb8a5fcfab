#!/usr/bin/env bash
# Fuzz the document check, the datagram decoder, and what a store and a
# connection may bring: a bounded number of runs
# from a fixed seed, so that CI gives the same verdict each time.
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
echo "fuzz: nothing found"
