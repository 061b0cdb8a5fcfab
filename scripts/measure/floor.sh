#!/usr/bin/env bash
# The floor: half the targets sick, the floor raised meanwhile, the owner
# paused. A breach is a moment at which the targets that any VM of the cell has
# stopped giving work, taken together, leave fewer in use than the floor.
. "$(dirname "$0")/lib.sh"
fleet_begin altiplano "$ROOT/out/floor" || exit 1
fleet_warm 14
control_mark
start_load feed 0 --rate 300 --seconds 50 --read-path /schedules
sleep 2

samples=0
sample() { # SECONDS: one look at all VMs after the other
	local end=$((SECONDS + $1)) entry
	while [ $SECONDS -lt "$end" ]; do
		rm -f "$FLEET_DIR"/look.*
		curl -sf -Z -m 1 "${LOOK[@]}" 2>/dev/null
		cat "$FLEET_DIR"/look.* 2>/dev/null | jq -c '{vm, s: [.services[] | select(.name == "schedule-feed") | {floor, owner, out: [.targets[] | select(.honoured) | .name], serving: ([.targets[] | select(.state != "leaving" and .state != "cold" and .state != "gone")] | length), in_use}]}' |
			jq -sc '[.[].s[]] | {floor: (map(.floor) | min), most: (map(.floor) | max), out: (map(.out[]) | unique | length), own: (map(select(.in_use < .floor and .in_use < .serving)) | length)}' >>"$FLEET_DIR/samples"
		samples=$((samples + 1))
	done
}
CELL=($(all_status | jq -r '.[] | select(.services[]? | select(.name == "schedule-feed" and .in_cell)) | .vm' |
	while read -r v; do sed -n 's/^address: //p' "$FLEET_DIR/$v.yaml"; done | sed 's/$/:7002/'))
LOOK=()
for entry in "${CELL[@]}"; do LOOK+=("http://$entry/status" -o "$FLEET_DIR/look.$entry"); done
owner=$(all_status | jq -r '.[] | select(.services[]? | select(.name == "schedule-feed" and .owner)) | .vm')
row cell_has_an_owner "$([ -n "$owner" ] && echo 1 || echo 0)" count '==1'
for t in 1 2 3 4 5; do target_fault 0 $t mode=error >/dev/null; done
sample 10
row targets_out_with_five_sick_and_floor_six "$(jq -s 'map(.out) | max' "$FLEET_DIR/samples")" targets '<=4'
publish_document 0 's/^floor: .*/floor: 9/'
sleep 1
cp "$FLEET_DIR/samples" "$FLEET_DIR/samples.before"
: >"$FLEET_DIR/samples"
sample 4
row targets_out_a_second_after_floor_nine "$(jq -s 'map(.out) | max' "$FLEET_DIR/samples")" targets '<=1'
fleet_signal STOP "$owner"
sample 10
fleet_signal CONT "$owner"
sample 8
row breaches_over_the_fleet "$(cat "$FLEET_DIR/samples.before" "$FLEET_DIR/samples" | jq -s 'map(select(10 - .out < .floor)) | length')" samples '==0'
row breaches_at_one_vm "$(cat "$FLEET_DIR/samples.before" "$FLEET_DIR/samples" | jq -s 'map(.own) | add' )" samples '==0'
row samples_taken "$samples" samples '>=20'
for t in 1 2 3 4 5; do target_fault 0 $t mode=ok >/dev/null; done
wait_load feed
row answered_share "$(report_of feed '.reads.answered / .reads.sent * 10000 | round / 100')" percent
promises feed
control_cost floor
measure_end
