#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. To be run in
# the repository's root, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/common-2/*.cc; do
	name=$(basename "$source" .cc)
	c++ -std=c++17 -O1 -Wall -Wextra -pthread "$source" \
		-o "target/review-2/$name"
done
