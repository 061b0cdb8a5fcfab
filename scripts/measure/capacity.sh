#!/usr/bin/env bash
# Overload: three times the capacity of the targets with a share of requests
# that must get through, a retry storm, a restart of all targets, and a target
# that leaves.
. "$(dirname "$0")/lib.sh"
WORK_ALL=40
# 10 targets of 3 slots at 40 ms: 750 requests a second.
fleet_begin imigabane "$ROOT/out/capacity" || exit 1
fleet_warm 8
control_mark

useful() { report_of "$1" '(.reads.answered + .must.answered) / .seconds | round'; }

start_load full 2 --rate 700 --seconds 8 --must 0.1 --must-path /identity --read-path /status --callers 64 --organisations 50
wait_load full
peak=$(useful full)
row useful_at_full_load "$peak" 1/s
start_load over 2 --rate 2250 --seconds 10 --must 0.1 --must-path /identity --read-path /status --callers 64 --organisations 50
wait_load over
row useful_at_three_times_the_load "$(useful over)" 1/s
row useful_share_of_the_peak "$(jq -n "$(useful over) / $peak * 1000 | round / 10")" percent '>=90'
row must_get_through_answered "$(report_of over '.must.answered / .must.sent * 10000 | round / 100')" percent '>=99'
row answered_within_p99 "$(report_of over .latency_ms.p99)" ms
start_load storm 2 --rate 1500 --seconds 8 --must 0.1 --must-path /identity --read-path /status --callers 64 --retries 5 --impatient
wait_load storm
row useful_in_a_retry_storm_share "$(jq -n "$(useful storm) / $peak * 1000 | round / 10")" percent '>=90'
row must_in_a_retry_storm "$(report_of storm '.must.answered / .must.sent * 10000 | round / 100')" percent
start_load restart 2 --rate 300 --seconds 14 --must 0.3 --must-path /identity --read-path /status
sleep 3
for t in 1 2 3 4 5 6 7 8 9 10; do target_fault 2 $t mode=restart >/dev/null; done
sleep 5
STATE_OF[document-intake-4]=leaving
at=$(date +%s%6N)
publish_targets 2
wait_load restart
row answered_with_all_targets_restarted "$(report_of restart '(.reads.answered + .must.answered) / .sent * 10000 | round / 100')" percent
row healthy_ejected_after_a_restart_of_all "$(all_events | jq --argjson f "$((at - 5000000))" '[.[] | select(.kind == "target-ejected" and .wall > $f) | .subject] | unique | length')" targets
row leaving_target_got_work_for "$(curl -s "http://$TARGET_NET.3.4:7100/_ledger" | jq --argjson at "$at" '[.ledger[] | .wall | select(. > $at) | (. - $at) / 1000] | max // 0 | round')" ms '<=2000'
for l in full over storm restart; do guarantee_rows $l; done
control_cost capacity
measure_end
