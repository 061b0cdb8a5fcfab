#!/usr/bin/env bash
# Verifies each model exhaustively within its bounds, and checks that Spin finds
# an error in each broken variant, which shows that the assertions can fail.
set -uo pipefail
HERE=$(cd "$(dirname "$0")" && pwd)
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
FAILED=0
# Depth-first search allows partial order reduction over several processes.
# floor.pml is one process with many short steps, whose search depth has no
# useful bound, so it is searched breadth-first.
declare -A ENGINE=([once]=-DCOLLAPSE [config]=-DCOLLAPSE [floor]=-DBFS
	[news]=-DCOLLAPSE [proof]=-DCOLLAPSE)

# check MODEL good|broken [DEFINE]
check() {
	local dir=$WORK/$1-${3:-good} errors states verdict=ok
	mkdir -p "$dir"
	(cd "$dir" && spin ${3:+-D$3} -a "$HERE/$1.pml" >spin.log 2>&1 &&
		gcc -O2 -DSAFETY ${ENGINE[$1]} -DVECTORSZ=1024 -DMEMLIM=6000 \
			-w -o pan pan.c && ./pan -m4000000 -w26 >pan.log 2>&1)
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$dir/pan.log" 2>/dev/null)
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$dir/pan.log" 2>/dev/null)
	if grep -qE 'out of memory|search depth too small|not completed' "$dir/pan.log" 2>/dev/null && [ "$2" = good ]; then
		verdict=FAIL
	fi
	case $2 in
	good) [ "${errors:-x}" = 0 ] || verdict=FAIL ;;
	broken) [ "${errors:-0}" = 1 ] || verdict=FAIL ;;
	esac
	[ $verdict = ok ] || FAILED=1
	printf '%-8s %-20s %-28s %10s states  %s\n' "$1" "${3:-as designed}" \
		"$([ "$2" = good ] && echo "no error, exhaustive" || echo "error found, as expected")" \
		"${states:-?}" $verdict
}

check once good &
check config good &
check floor good &
check news good &
check proof good &
wait
check once broken NO_BOOT_CHECK
check once broken NO_EXPIRY_CHECK
check once broken UNKNOWN_IS_NOT_RUN
check config broken TAKE_ANY
check config broken NO_CONFIRM
check config broken NO_ECHO
check news broken TAKE_ANY
check news broken DROP_NEWER
check news broken NO_TOMBSTONE
check proof broken ONE_WAY
check proof broken FROM_THE_ANSWER
check proof broken ANY_REVISION
check floor broken NO_WAIT &
check floor broken VOTES_AT_ONCE &
check floor broken FRESH_ON_ARRIVAL &
wait
exit $FAILED
