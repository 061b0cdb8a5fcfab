#!/bin/sh
# Builds the stand-ins of the cases into their folders.
set -eu
cd "$(dirname "$0")"
for source in */*.cc; do
	g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "${source%.cc}" "$source"
done
