#!/usr/bin/env bash
# Demo at the size of a deployment: a gray target, a VM that is lost and replaced,
# and a new document, followed by a report. Exits 1 if a check failed.
set -uo pipefail
ROOT=$(cd "$(dirname "$0")/.." && pwd)
. "$ROOT/scripts/measure/lib.sh"
DEPLOY=${1:-imigabane}
OUT=$ROOT/out/demo-$DEPLOY
SECONDS_OF_LOAD=22

echo "toucanreel demo: $DEPLOY"
fleet_begin "$DEPLOY" "$OUT" || exit 1
echo "started: ${#CENTRES[@]} data centres, $((${#CENTRES[@]} * VMS_PER_CENTRE)) entry VMs, $((TARGETS[0] + TARGETS[1] + TARGETS[2])) targets, as ${#PID_OF[@]} processes"
fleet_warm 13

case $DEPLOY in
imigabane)
	start_load a 0 --rate 300 --seconds $SECONDS_OF_LOAD --read-path /holdings --organisations 40
	start_load b 1 --rate 150 --seconds $SECONDS_OF_LOAD --never 0.6 --never-path /subscriptions --read-path /orders --organisations 40
	start_load c 2 --rate 60 --seconds $SECONDS_OF_LOAD --must 0.8 --must-path /identity --body 20000 --read-path /status --organisations 40
	;;
altiplano)
	start_load a 0 --rate 400 --seconds $SECONDS_OF_LOAD --read-path /schedules --organisations 40
	start_load b 1 --rate 150 --seconds $SECONDS_OF_LOAD --never 0.6 --never-path /changes --read-path /changes --organisations 40
	start_load c 2 --rate 30 --seconds $SECONDS_OF_LOAD --must 0.8 --must-path /packages --body 200000 --read-path /packages --organisations 40
	;;
esac
"$FLEET_BIN/toucanreel-load" --direct --service x --prefix direct --rate 40 \
	--seconds 4 --targets "$OUT/${SERVICES[0]}.targets" \
	--report "$OUT/direct.json" &
DIRECT=$!
wait $DIRECT
echo "+4 s   ${SERVICES[0]}-3 turns gray: it answers health checks, requests hang"
GRAY_AT=$(target_fault 0 3 mode=gray | jq .at_us)
sleep 5
echo "+9 s   vm-${CENTRES[1]}-1 is lost, and replaced a second later"
fleet_kill "vm-${CENTRES[1]}-1"
sleep 1
start_vm 1 1
sleep 2
echo "+12 s  the team of ${SERVICES[0]} raises its floor by one"
FLOOR=$(sed -n 's/^floor: \([0-9]*\).*/\1/p' "$ROOT/examples/$DEPLOY/${SERVICES[0]}.yaml")
FORCE_FROM=$(date +%s%6N)
publish_document 0 "s/^floor: .*/floor: $((FLOOR + 1))/"
sleep 3
for l in a b c; do wait_load $l; done
all_status >"$OUT/status.json"
OTHERS=()
while read -r t; do OTHERS+=(--also "$t"); done <"$OUT/${SERVICES[0]}.targets"
for f in svg json text; do
	"$FLEET_BIN/toucanreel" timeline --vm "$VM_NET.1.1:7002" \
		--also "$PLATFORM" "${OTHERS[@]}" --format $f >"$OUT/timeline.$f"
done

echo
echo "service                    rate/s   sent answered not-run unknown no-answer   p50 ms   p99 ms"
for l in a b c; do
	jq -r '[.service, .rate, .sent] + (reduce (.reads, .never, .must) as $e ([0,0,0,0]; [.[0] + $e.answered, .[1] + $e.not_run, .[2] + $e.unknown, .[3] + $e.no_answer])) + [.latency_ms.p50, .latency_ms.p99] | @tsv' "$OUT/$l.json" |
		awk -F'\t' '{printf "%-26s %6d %6d %8d %7d %7d %9d %8.1f %8.1f\n",$1,$2,$3,$4,$5,$6,$7,$8,$9}'
done
jq -r '"direct to the targets: p50 \(.latency_ms.p50) ms, p99 \(.latency_ms.p99) ms (work itself included)"' "$OUT/direct.json"
echo
row gray_target_detected "$(detection_ms 0 3 "$GRAY_AT" $((GRAY_AT + 8000000)) "$(jq -n "$(report_of a .rate) / ${TARGETS[0]}")")" ms \
	"<=$(sed -n 's/^  detect_ms: \([0-9]*\).*/\1/p' "$ROOT/examples/$DEPLOY/${SERVICES[0]}.yaml")"
row healthy_targets_ejected "$(jq --arg s "${SERVICES[0]}-3" '[.[] | select(.kind == "target-ejected" and .subject != $s) | .subject] | unique | length' "$OUT/timeline.json")" targets '==0'
row document_in_force_after "$(jq --arg s "${SERVICES[0]}" --argjson f "$FORCE_FROM" '[.[] | select(.kind == "document-in-force" and .service == $s and .wall > $f and (.process | startswith("vm-"))) | (.wall - $f) / 1000] | max // 99999 | round' "$OUT/timeline.json")" ms '<=18000'
row vms_with_the_new_document "$(jq --arg s "${SERVICES[0]}" '[.[].services[] | select(.name == $s and .in_cell)] | [.[].config.document_revision] | (max) as $m | map(select(. == $m)) | length' "$OUT/status.json")" VMs '==8'
for l in a b c; do guarantee_rows $l; done
row lost_answers "$(jq -s 'map(.reads.no_answer + .never.no_answer + .must.no_answer) | add' "$OUT"/{a,b,c}.json)" requests
row answered_share "$(jq -s '(map(.reads.answered + .never.answered + .must.answered) | add) / (map(.sent) | add) * 10000 | round / 100' "$OUT"/{a,b,c}.json)" percent '>=99'
echo
echo "time line: ${OUT#"$ROOT"/}/timeline.svg (open in a browser), timeline.text, timeline.json"
measure_end
