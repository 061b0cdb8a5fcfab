# Faults of targets under each detector. Sourced after lib.sh.
DETECTORS=(cusum health consecutive success-rate)

set_detector() { # SERVICE-INDEX NAME
	publish_document "$1" "s/^ejection:/&\n  detector: $2/"
	sleep 1.5
}

# A fault of one target for some seconds; prints its detection time.
try_fault() { # SERVICE-INDEX NUMBER QUERY SECONDS SHARE
	local at
	at=$(target_fault "$1" "$2" "$3" | jq .at_us)
	sleep "$4"
	detection_ms "$1" "$2" "$at" "$((at + ${4%.*} * 1000000))" "$5"
	target_fault "$1" "$2" mode=ok >/dev/null
}

# A baseline hears of a hanging request when its deadline passes. A target that
# was left alone sooner was ejected for something else, wrongly: none.
as_baseline() { # DETECTOR MS DEADLINE-MS
	if [ "$1" != cusum ] && [ "$2" -ge 0 ] && [ "$2" -lt "$3" ]; then
		echo none
	else
		echo "$2"
	fi
}

sooner_of() { # BEST MS: the smaller, where one was taken
	if ! is_taken "$2"; then
		echo "$1"
	elif ! is_taken "$1" || [ "$2" -lt "$1" ]; then
		echo "$2"
	else
		echo "$1"
	fi
}

# How many times sooner than the best baseline; -1 unless both were taken.
times_sooner() { # OURS BEST
	if is_taken "$1" && is_taken "$2"; then
		jq -n "$2 / ([$1, 1] | max) * 10 | round / 10"
	else
		echo -1
	fi
}

ejected_but() { # FILE SERVICE NAME...: distinct targets ejected that are not named
	local file=$1 service=$2
	shift 2
	jq --arg s "$service" '[.[] | select(.kind == "target-ejected" and .service == $s) | .subject] | unique - $ARGS.positional | length' --args "$@" <"$file"
}

