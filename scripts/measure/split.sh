#!/usr/bin/env bash
# The floor under a network partition between two pairs of data centres: messages
# are dropped in one direction, then in both, then delayed, then duplicated. Two
# targets fail at the start and two more during the partition; the floor is eight
# of ten.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/lib-floor.sh"
USE_RELAY=1
DOCUMENT_EDIT='s/^floor: .*/floor: 8/'
fleet_begin altiplano "$ROOT/out/split" || exit 1
fleet_warm 15
select_cell
control_mark
start_load feed 0 --rate 300 --seconds 60 --read-path /schedules
row cell_has_an_owner "$(all_status | jq '[.[].services[] | select(.name == "schedule-feed" and .owner)] | length')" count '==1'

cut() { # MODE FROM-CENTRES TO-CENTRES
	local a b
	for a in $2; do for b in $3; do relay_rule "mode=$1&from=$VM_NET.$a.&to=$VM_NET.$b."; done; done
}
for t in 1 2; do target_fault 0 $t mode=error >/dev/null; done
cut drop "1 2" "3 4"
sample 9
cut drop "3 4" "1 2"
for t in 3 4; do target_fault 0 $t mode=error >/dev/null; done
sample 14
row owners_while_split "$(all_status | jq '[.[].services[] | select(.name == "schedule-feed" and .owner)] | length')" count '<=1'
row targets_out_while_split "$(tail -5 "$FLEET_DIR/samples" | jq -s 'map(.out) | max')" targets '<=2'
relay_rule mode=ok
relay_rule "mode=delay&ms=300&from=$VM_NET."
sample 8
relay_rule mode=ok
relay_rule "mode=double&from=$VM_NET."
sample 8
row breaches_over_the_fleet "$(jq -s 'map(select(10 - .out < .floor)) | length' "$FLEET_DIR/samples")" samples '==0'
row breaches_at_one_vm "$(jq -s 'map(.own) | add' "$FLEET_DIR/samples")" samples '==0'
row most_targets_out "$(jq -s 'map(.out) | max' "$FLEET_DIR/samples")" targets '<=2'
row samples_taken "$samples" samples '>=20'
row datagrams_lost_by_the_relay "$(curl -s http://127.0.9.2:8600/ | jq .lost)" count '>=1'
wait_load feed
row answered_share "$(report_of feed '.reads.answered / .reads.sent * 10000 | round / 100')" percent
guarantee_rows feed
measure_end
