#!/usr/bin/env bash
# The floor under faults: four of ten targets fail with a floor of eight, then the
# floor is raised and the owner paused. A breach is a sample in which the union of
# the targets ejected by the VMs of the cell leaves fewer in use than the floor.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/lib-floor.sh"
DOCUMENT_EDIT='s/^floor: .*/floor: 8/'
fleet_begin altiplano "$ROOT/out/floor" || exit 1
fleet_warm 14
control_mark
start_load feed 0 --rate 300 --seconds 50 --read-path /schedules
sleep 2

select_cell
owner=$(all_status | jq -r '.[] | select(.services[]? | select(.name == "schedule-feed" and .owner)) | .vm')
row cell_has_an_owner "$([ -n "$owner" ] && echo 1 || echo 0)" count '==1'
for t in 1 2 3 4; do target_fault 0 $t mode=error >/dev/null; done
sample 10
row most_targets_out_with_four_sick_and_floor_eight "$(jq -s 'map(.out) | max' "$FLEET_DIR/samples")" targets '==2'
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
for t in 1 2 3 4; do target_fault 0 $t mode=ok >/dev/null; done
wait_load feed
row answered_share "$(report_of feed '.reads.answered / .reads.sent * 10000 | round / 100')" percent
guarantee_rows feed
control_cost floor
measure_end
