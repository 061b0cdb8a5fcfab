#!/usr/bin/env bash
# Configuration rollout: the time until a document is in force at all VMs, and
# that no VM returns to an older one, while the platform is up, stale for all VMs
# but one, and down. Also counts platform calls.
. "$(dirname "$0")/lib.sh"
fleet_begin imigabane "$ROOT/out/config" || exit 1
fleet_warm 8
control_mark
calls_before=$(curl -s "http://$PLATFORM/_calls" | jq '.reads + .watches')
since=$SECONDS

cell_status() { all_status | jq '[.[] | {vm, s: (.services[]? | select(.name == "order-desk" and .in_cell))}]'; }

# Waits until all VMs of the cell have the floor; prints milliseconds, or 20000 on
# a timeout.
in_force() { # FLOOR FROM-US
	local i
	for ((i = 0; i < 100; i++)); do
		if [ "$(cell_status | jq --argjson f "$1" 'length >= 8 and all(.[]; .s.floor == $f)')" = true ]; then
			all_events | jq --argjson from "$2" '[.[] | select(.kind == "document-in-force" and .service == "order-desk" and .wall > $from) | (.wall - $from) / 1000] | max | round'
			return
		fi
		sleep 0.2
	done
	echo 20000
}

at=$(date +%s%6N)
publish_document 1 's/^floor: .*/floor: 12/'
row in_force_platform_up "$(in_force 12 "$at")" ms '<=18000'

platform_fault "mode=stale&from=$VM_NET."
one=$(cell_status | jq -r '.[-1].vm')
one_ip=$(sed -n 's/^address: //p' "$FLEET_DIR/$one.yaml")
platform_fault "mode=ok&from=$one_ip"
at=$(date +%s%6N)
publish_document 1 's/^floor: .*/floor: 13/'
row in_force_stale_for_all_but_one "$(in_force 13 "$at")" ms '<=18000'

victim=$(cell_status | jq -r --arg one "$one" '[.[] | select(.vm != $one)][0].vm')
for c in "${!CENTRES[@]}"; do [[ $victim == vm-${CENTRES[$c]}-* ]] && centre=$c; done
fleet_kill "$victim"
start_vm "$centre" "${victim##*-}"
wait_for "http://$(sed -n 's/^address: //p' "$FLEET_DIR/$victim.yaml"):7002/status" 5
sleep 1
address=$(sed -n 's/^address: //p' "$FLEET_DIR/$victim.yaml")
curl -s -o /dev/null -m 8 "http://$address:7000/s/order-desk/orders"
sleep 1
row floor_at_a_vm_replaced_while_stale "$(curl -s "http://$address:7002/status" | jq '.services[] | select(.name == "order-desk") | .floor')" floor '==13'

platform_fault 'mode=down'
sleep 3
row answers_while_the_platform_is_down "$(curl -s -m 5 -o /dev/null -w '%{http_code}' "http://$one_ip:7000/s/order-desk/orders")" status '==200'
fleet_kill "$victim"
start_vm "$centre" "${victim##*-}"
sleep 4
curl -s -o /dev/null -m 8 "http://$address:7000/s/order-desk/orders"
sleep 2
row floor_at_a_vm_replaced_while_down "$(curl -s "http://$address:7002/status" | jq '[.services[] | select(.name == "order-desk") | .floor][0] // 0')" floor '==13'
platform_fault 'mode=ok'
row old_revisions_refused "$(all_status | jq 'map(.platform.old_revisions) | add')" count
row vms_that_went_back "$(all_events | jq '[.[] | select(.kind == "document-in-force" and .service == "order-desk")] | group_by(.process) | map([.[].detail | capture("floor (?<f>[0-9]+)").f | tonumber] | select(. != sort)) | length')" VMs '==0'
# VMs read the platform again within 12 s after it is back.
publish_document 1 's/^floor: .*/floor: two/'
sleep 13
row vms_that_refuse_a_bad_document "$(cell_status | jq '[.[] | select(.s.config.refused_reason | test("floor"))] | length')" VMs '>=8'
row platform_calls "$(jq -n "($(curl -s "http://$PLATFORM/_calls" | jq '.reads + .watches') - $calls_before) / ($SECONDS - $since) * 10 | round / 10")" 1/s '<=2000'
row platform_calls_most_in_a_second "$(curl -s "http://$PLATFORM/_calls" | jq .most_a_second)" 1/s '<=2000'
control_cost config
measure_end
