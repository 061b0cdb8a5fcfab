#!/usr/bin/env bash
# VM replacement under load: the VMs of a cell one after another, then a quarter
# of all VMs killed at once.
. "$(dirname "$0")/lib.sh"
STOP_AFTER_S=4
DOCUMENT_EDIT='s/^keep_s: .*/keep_s: 3/'
fleet_begin imigabane "$ROOT/out/churn" || exit 1
fleet_warm 8
control_mark
start_load orders 1 --rate 150 --seconds 70 --never 0.5 --never-path /subscriptions --read-path /orders --retries 3
sleep 2
replace() { # VM SIGNAL
	local c centre=0
	for c in "${!CENTRES[@]}"; do [[ $1 == vm-${CENTRES[$c]}-* ]] && centre=$c; done
	if [ "$2" = TERM ]; then
		STATE_OF[$1]=leaving
		publish_vms
		fleet_signal TERM "$1"
		wait "${PID_OF[$1]}" 2>/dev/null
		unset "PID_OF[$1]"
	else
		fleet_kill "$1"
	fi
	STATE_OF[$1]=live
	start_vm "$centre" "${1##*-}"
}
cell=($(all_status | jq -r '.[] | select(.services[]? | select(.name == "order-desk" and .in_cell)) | .vm'))
for vm in "${cell[@]}"; do
	replace "$vm" TERM
	publish_vms
	sleep 0.5
done
row vms_of_the_cell_replaced "${#cell[@]}" VMs '==8'
sleep 8
for c in 0 1 2 3; do for n in 2 5; do replace "vm-${CENTRES[$c]}-$n" KILL; done; done
row vms_lost_at_once 8 VMs
killed_at=$(date +%s%6N)
gone=vm-${CENTRES[0]}-7
fleet_kill "$gone"
gone_ip=$(sed -n 's/^address: //p' "$FLEET_DIR/$gone.yaml")
named=0
for i in $(seq 60); do
	for e in 1.1 2.1 3.1 4.1 2.3; do
		curl -s -m 1 "http://$VM_NET.$e:7000/v1/lookup?service=order-desk&caller=$i" | grep -q "\"$gone_ip\"" &&
			named=$((($(date +%s%6N) - killed_at) / 1000))
	done
	sleep 0.1
done
row lookups_named_a_lost_vm_for "$named" ms '<=10000'
wait_load orders
row orders_sent "$(report_of orders .sent)" count
row answered_share "$(report_of orders '(.never.answered + .reads.answered) / .sent * 10000 | round / 100')" percent '>=98'
row unknown_share "$(report_of orders '(.never.unknown + .never.no_answer) / .never.sent * 10000 | round / 100')" percent
guarantee_rows orders
control_cost churn
measure_end
