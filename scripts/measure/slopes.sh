#!/usr/bin/env bash
# What the decisions cost as sizes grow; the figures behind docs/CAPACITY.md.
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
exec "${FLEET_BIN:-$ROOT/build}/bench-slopes"
