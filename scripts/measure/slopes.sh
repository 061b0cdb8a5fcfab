#!/usr/bin/env bash
# Cost of the decisions as sizes grow; source of the figures in docs/CAPACITY.md.
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
exec "${FLEET_BIN:-$ROOT/build}/bench-slopes"
