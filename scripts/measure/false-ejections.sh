#!/usr/bin/env bash
# False ejections of healthy but noisy targets under Imigabane's document, and the
# detection time of a faulty one, for the default detector and three baselines in
# the same run. Noise: each target stalls for 500 ms every 8 s on
# average, and fails one request in a hundred.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/lib-faults.sh"

imigabane() {
	local d n=1 ms best=-1 ours=-1 t since mark
	fleet_begin imigabane "$ROOT/out/detection-imigabane" || return 1
	fleet_warm 14
	start_load view 0 --rate 1200 --seconds 56 --read-path /holdings --deadline-ms 250
	sleep 2
	for t in 1 2 3 4 5 6 7 8 9 10; do
		target_fault 0 "$t" mode=noise >/dev/null
	done
	for d in "${DETECTORS[@]}"; do
		[ "$d" = cusum ] || set_detector 0 "$d"
		mark=$(date +%s%6N)
		sleep 6
		ms=$(measure_fault 0 $n mode=gray 5 120)
		ms=$(detected_or_none "$d" "$ms" 250)
		row "imigabane_dead_but_healthy_$d" "$ms" ms
		if [ "$d" = cusum ]; then ours=$ms; else best=$(smaller_of "$best" "$ms"); fi
		target_fault 0 "$n" mode=noise >/dev/null
		all_events | jq --argjson m "$mark" '[.[] | select(.wall >= $m)]' >"$FLEET_DIR/events-$d.json"
		row "imigabane_false_ejections_$d" \
			"$(ejected_except "$FLEET_DIR/events-$d.json" ledger-view ledger-view-$n)" targets \
			"$([ "$d" = cusum ] && echo '==0')"
		n=$((n + 1))
	done
	row imigabane_times_sooner_than_best_baseline \
		"$(speedup "$ours" "$best")" times '>=1'
	wait_load view
	guarantee_rows view
	fleet_end
}

imigabane
measure_end
