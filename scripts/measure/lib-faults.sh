# Injects target faults under each detector. Sourced after lib.sh.
DETECTORS=(cusum health consecutive success-rate)

set_detector() { # SERVICE-INDEX NAME
	publish_document "$1" "s/^ejection:/&\n  detector: $2/"
	sleep 1.5
}

# Injects a fault into one target for some seconds; prints the detection time.
measure_fault() { # SERVICE-INDEX NUMBER QUERY SECONDS SHARE
	local at
	at=$(target_fault "$1" "$2" "$3" | jq .at_us)
	sleep "$4"
	detection_ms "$1" "$2" "$at" "$((at + ${4%.*} * 1000000))" "$5"
	target_fault "$1" "$2" mode=ok >/dev/null
}

# A baseline detects a hanging request only at its deadline. If it ejected the
# target earlier, that was a false ejection for another reason: prints none.
detected_or_none() { # DETECTOR MS DEADLINE-MS
	if [ "$1" != cusum ] && [ "$2" -ge 0 ] && [ "$2" -lt "$3" ]; then
		echo none
	else
		echo "$2"
	fi
}

smaller_of() { # BEST MS: prints the smaller of the measured values
	if ! is_measured "$2"; then
		echo "$1"
	elif ! is_measured "$1" || [ "$2" -lt "$1" ]; then
		echo "$2"
	else
		echo "$1"
	fi
}

# Prints BEST / OURS, with OURS at least 1 ms; -1 unless both were measured.
speedup() { # OURS BEST
	if is_measured "$1" && is_measured "$2"; then
		jq -n "$2 / ([$1, 1] | max) * 10 | round / 10"
	else
		echo -1
	fi
}

ejected_except() { # FILE SERVICE NAME...: counts ejected targets other than the named ones
	local file=$1 service=$2
	shift 2
	jq --arg s "$service" '[.[] | select(.kind == "target-ejected" and .service == $s) | .subject] | unique - $ARGS.positional | length' --args "$@" <"$file"
}

