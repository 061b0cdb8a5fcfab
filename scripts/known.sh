#!/usr/bin/env bash
# Runs each entry of KNOWN-RED.txt the given number of times and prints a row per
# entry: line, runs, failures, violated rules. Tests of this repository are run
# from build/. Simulated days need PLAYER, the program that simulates a day of a
# deployment, and SITES, the directory that contains the site files:
#   PLAYER run|replay SITE DAY [OPTION...] --why TEXT
# The list is not modified. Exit status 1: an entry that is marked as mended
# failed; 2: the list or the arguments are invalid.
set -euo pipefail
ROOT=$(cd "$(dirname "$0")/.." && pwd)
LIST=${LIST:-$ROOT/KNOWN-RED.txt}
BUILD=${BUILD:-$ROOT/build}
times=${1:-1}
bad=0

fail() { # LINE TEXT
	echo "$(basename "$LIST"):$1: $2" >&2
	exit 2
}

[[ $times =~ ^[1-9][0-9]*$ ]] ||
	{ echo "known: $times: expected the number of runs for each entry" >&2; exit 2; }
[ -r "$LIST" ] || { echo "known: $LIST: no such list" >&2; exit 2; }

report() { # LINE NAME BROKEN RULES TEXT
	printf '%3d  %-52s %3d plays %3d broken  %s\n' "$1" "$2" "$times" "$3" "$4"
	if [ "$3" -gt 0 ] && [[ $5 == *mended* ]]; then
		echo "     said to be mended, and broke"
		bad=1
	fi
}

run_test() { # LINE NAME TEXT
	local broken=0 i
	ctest --test-dir "$BUILD" -N -R "^${2//./\\.}\$" | grep -q "Test *#" ||
		fail "$1" "$2: no such test in $BUILD"
	for ((i = 0; i < times; i++)); do
		ctest --test-dir "$BUILD" -R "^${2//./\\.}\$" >/dev/null 2>&1 ||
			broken=$((broken + 1))
	done
	report "$1" "$2" "$broken" "" "$3"
}

play() { # LINE VERB SITE TEXT ARG...
	local line=$1 verb=$2 site=$3 text=$4 broken=0 rules="" out file i
	shift 4
	file=$(find "$SITES" -name "$site.toml" | head -1)
	[ -n "$file" ] || fail "$line" "$site: no such site below $SITES"
	for ((i = 0; i < times; i++)); do
		out=$(cd "$ROOT" && "$PLAYER" "$verb" "$file" "$@" \
			--why "known red, line $line" 2>&1) || true
		grep -q "BROKEN" <<<"$out" || continue
		broken=$((broken + 1))
		rules+=$(sed -n 's/.*BROKEN: \([^(]*\).*/\1;/p' <<<"$out" | head -1)
	done
	report "$line" "$site $*" "$broken" "$rules" "$text"
}

line=0
while IFS= read -r text; do
	line=$((line + 1))
	[[ -z $text || $text == "#"* ]] && continue
	if [[ $text =~ ^([A-Za-z]+\.[A-Za-z0-9]+): ]]; then
		run_test "$line" "${BASH_REMATCH[1]}" "$text"
	elif [[ $text =~ \([a-z]+\ (run|replay)\ ([a-z-]+)\ ([^,\)]+)[,\)] ]]; then
		verb=${BASH_REMATCH[1]} site=${BASH_REMATCH[2]}
		read -ra args <<<"${BASH_REMATCH[3]}"
		if [ -z "${PLAYER:-}" ] || [ -z "${SITES:-}" ]; then
			echo "$line  left out, no PLAYER and SITES: $site ${args[*]}"
		else
			play "$line" "$verb" "$site" "$text" "${args[@]}"
		fi
	elif [[ $text =~ (^|\ |\()[a-z./]+\ (measure|sweep|run|replay)(\ |,) ]]; then
		echo "$line  left out, played by hand: ${text%%:*}"
	else
		fail "$line" "no command: expected TEST:, or RULE on SITE (PROGRAM run SITE DAY): "
	fi
done <"$LIST"
exit $bad
