#!/usr/bin/env bash
# Regenerates entry/mesh_xdr.[ch] from entry/mesh.x.
set -euo pipefail
cd "$(dirname "$0")/../entry"
rm -f mesh_xdr.h
rpcgen -h -o mesh_xdr.h mesh.x
rpcgen -c mesh.x | sed 's/#include "mesh.h"/#include "mesh_xdr.h"/' >mesh_xdr.c
