#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/toucanreel-entry ] && [ -x "$here/case" ] || exit 2
exec "$here/case" "$here" "$here/server"
