#!/usr/bin/env bash
# Detection time of a faulty target under Altiplano's document, for the default
# detector and three baselines in the same run.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/lib-faults.sh"

altiplano() {
	local d n=1 ms best=-1 ours=-1
	fleet_begin altiplano "$ROOT/out/detection-altiplano" || return 1
	fleet_warm 14
	start_load feed 0 --rate 400 --seconds 62 --read-path /schedules
	control_mark
	sleep 2
	for d in "${DETECTORS[@]}"; do
		[ "$d" = cusum ] || set_detector 0 "$d"
		ms=$(measure_fault 0 $n mode=gray 7 40)
		ms=$(detected_or_none "$d" "$ms" 1000)
		row "altiplano_dead_but_healthy_$d" "$ms" ms \
			"$([ "$d" = cusum ] && echo '<=1000')"
		if [ "$d" = cusum ]; then ours=$ms; else best=$(smaller_of "$best" "$ms"); fi
		n=$((n + 1))
	done
	row altiplano_times_sooner_than_best_baseline \
		"$(speedup "$ours" "$best")" times '>=5'
	set_detector 0 cusum
	row altiplano_slow_tenfold "$(measure_fault 0 6 'mode=slow&factor=10' 5 40)" ms
	row altiplano_truncating "$(measure_fault 0 7 mode=truncate 5 40)" ms
	row altiplano_failing "$(measure_fault 0 8 mode=error 5 40)" ms
	wait_load feed
	all_events >"$FLEET_DIR/events.json"
	row altiplano_answered_share "$(report_of feed '.reads.answered / .reads.sent * 10000 | round / 100')" percent '>=99'
	guarantee_rows feed
	control_cost altiplano
	fleet_end
}

altiplano
measure_end
