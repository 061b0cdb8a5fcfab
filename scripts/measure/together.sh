#!/usr/bin/env bash
# Runs all measurements that involve several VMs, one after another.
HERE=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
FAILED=0
for name in detection false-ejections floor split once config capacity churn; do
	echo "== $name"
	bash "$HERE/$name.sh" || FAILED=1
done
exit $FAILED
