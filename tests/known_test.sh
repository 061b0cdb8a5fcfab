#!/usr/bin/env bash
# Tests scripts/known.sh: failure counts, and errors that name the line of the
# list.
set -u
ROOT=$(cd "$(dirname "$0")/.." && pwd)
W=$(mktemp -d)
trap 'rm -rf "$W"' EXIT
bad=0

check() { # NAME EXPECTED-EXIT PATTERN
	LIST=$W/list SITES=$W PLAYER=$W/player "$ROOT/scripts/known.sh" 3 \
		>"$W/out" 2>&1
	local rc=$?
	if [ "$rc" = "$2" ] && grep -qE "$3" "$W/out"; then
		echo "ok: $1"
		return
	fi
	echo "failed: $1: exit $rc for $2, no line matches: $3"
	cat "$W/out"
	bad=1
}

cat >"$W/player" <<'X'
#!/usr/bin/env bash
echo "$@" >>"$(dirname "$0")/calls"
n=$(wc -l <"$(dirname "$0")/calls")
[ $((n % 3)) = 1 ] && echo "day 1/1 0.00 BROKEN: FLOOR 2 (else 0.5)"
exit 0
X
chmod +x "$W/player"
touch "$W/site-a.toml"

echo 'FLOOR on site-a (player run site-a days/x.toml --vary --seed 7, once): seen; issue 1' >"$W/list"
check "a failing entry is counted and does not fail the run" 0 \
	'3 plays +1 broken  FLOOR 2'
grep -q "^run $W/site-a.toml days/x.toml --vary --seed 7 --why" "$W/calls" ||
	{ echo "failed: arguments"; cat "$W/calls"; bad=1; }

echo 'DRAIN on site-a (player replay site-a hunt-1): mended in abc; issue 1' >"$W/list"
check "a failing entry that is marked as mended fails the run" 1 'said to be mended'

printf '\nFLOOR on site-b (player run site-b day-1): seen; issue 1\n' >"$W/list"
check "an unknown site is reported with its line" 2 '^list:2: site-b: no such site'

echo 'FLOOR somewhere: seen once; issue 1' >"$W/list"
check "an entry without a command is reported with its line" 2 '^list:1: no command'

exit $bad
