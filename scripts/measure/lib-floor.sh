# Samples which targets the VMs of a cell have ejected. Sourced after lib.sh.
samples=0
sample() { # SECONDS: polls all VMs of the cell repeatedly
	local end=$((SECONDS + $1)) entry
	while [ $SECONDS -lt "$end" ]; do
		rm -f "$FLEET_DIR"/look.*
		curl -sf -Z -m 1 "${LOOK[@]}" 2>/dev/null
		cat "$FLEET_DIR"/look.* 2>/dev/null | jq -c '{vm, s: [.services[] | select(.name == "schedule-feed") | {floor, owner, out: [.targets[] | select(.honoured) | .name], serving: ([.targets[] | select(.state != "leaving" and .state != "cold" and .state != "gone")] | length), in_use}]}' |
			jq -sc '[.[].s[]] | {floor: (map(.floor) | min), most: (map(.floor) | max), out: (map(.out[]) | unique | length), own: (map(select(.in_use < .floor and .in_use < .serving)) | length)}' >>"$FLEET_DIR/samples"
		samples=$((samples + 1))
	done
}
select_cell() {
	local entry
	CELL=($(all_status | jq -r '.[] | select(.services[]? | select(.name == "schedule-feed" and .in_cell)) | .vm' |
	while read -r v; do sed -n 's/^address: //p' "$FLEET_DIR/$v.yaml"; done | sed 's/$/:7002/'))
	LOOK=()
	for entry in "${CELL[@]}"; do LOOK+=("http://$entry/status" -o "$FLEET_DIR/look.$entry"); done
}
