#!/usr/bin/env bash
# At-most-once execution under killed and paused VMs, connection resets and retries
# at other VMs, checked against the targets' records of executed requests.
. "$(dirname "$0")/lib.sh"
fleet_begin imigabane "$ROOT/out/once" || exit 1
fleet_warm 8
control_mark
start_load orders 1 --rate 200 --seconds 24 --never 1 --never-path /subscriptions --retries 3
sleep 3
cell=$(all_status | jq -r '.[] | select(.services[]? | select(.name == "order-desk" and .in_cell)) | .vm')
set -- $cell
fleet_kill "$1"
sleep 2
fleet_signal STOP "$2"
sleep 5
fleet_signal CONT "$2"
sleep 1
target_fault 1 3 mode=reset >/dev/null
sleep 2
target_fault 1 3 mode=ok >/dev/null
target_fault 1 5 mode=gray >/dev/null
sleep 2
fleet_kill "$3"
n=${1##*-}
start_vm "$(for c in "${!CENTRES[@]}"; do [[ $1 == vm-${CENTRES[$c]}-* ]] && echo "$c"; done)" "$n"
# Sends each of forty keys to two VMs at once.
two=($(curl -s "http://$VM_NET.1.1:7000/v1/lookup?service=order-desk" | jq -r '.addresses[] | "\(.address):\(.port)"'))
for i in $(seq 40); do
	key=$(curl -s -m 2 "http://${two[0]}/v1/keys?service=order-desk" | jq -r '.keys[0]')
	for v in 0 1; do
		curl -s -m 5 -o /dev/null -X POST -d "order $i" -H "Toucanreel-Key: $key" \
			-H "X-Request-Id: two-$i" "http://${two[$v]}/s/order-desk/subscriptions" &
		PAIR[v]=$!
	done
	wait "${PAIR[0]}" "${PAIR[1]}"
done
wait_load orders
row two_vms_at_once_doubled "$(while read -r t; do curl -s "http://$t/_ledger"; done <"$FLEET_DIR/order-desk.targets" |
	jq -s '[.[].ledger | to_entries[] | select(.key | startswith("two-"))] | group_by(.key) | map(select((map(.value.runs) | add) > 1)) | length')" count '==0'
row two_vms_at_once_ran "$(while read -r t; do curl -s "http://$t/_ledger"; done <"$FLEET_DIR/order-desk.targets" |
	jq -s '[.[].ledger | to_entries[] | select(.key | startswith("two-"))] | length')" of_40
row orders_sent "$(report_of orders .sent)" count
row orders_answered "$(report_of orders '.never.answered / .never.sent * 10000 | round / 100')" percent
row orders_unknown "$(report_of orders '(.never.unknown + .never.no_answer) / .never.sent * 10000 | round / 100')" percent
row orders_unknown_that_ran "$(report_of orders .unknown_ran)" count
guarantee_rows orders
control_cost once
measure_end
