# Shared functions of the measurement scripts. Each script prints rows "name
# value unit limit ok|FAIL" and exits 1 if one failed. A row with limit '-' is
# recorded without a check.
set -uo pipefail
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
. "$ROOT/scripts/fleet.sh"
MEASURE_FAILED=0

# Whether the value was measured: a number other than -1.
is_measured() { # VALUE
	[[ $1 =~ ^-?[0-9]+(\.[0-9]+)?$ ]] && [ "$1" != -1 ]
}

# Prints a row. The limit is <=, >= or == and a number. A value that was not
# measured fails its row, also one without a limit. "none" is a valid result that
# is no number; it passes only without a limit.
row() { # NAME VALUE UNIT [LIMIT]
	local verdict=ok limit=${4:--}
	is_measured "$2" || [ "$2" = none ] || verdict=FAIL
	[ "$2" = none ] && [ "$limit" != - ] && verdict=FAIL
	if [ "$limit" != - ] && [ "$verdict" = ok ]; then
		jq -en --arg v "$2" --arg l "$limit" '
			($l | capture("^(?<op>[<>=]=)(?<n>.*)$")) as $c |
			($v | tonumber) as $x | ($c.n | tonumber) as $n |
			if $c.op == "<=" then $x <= $n
			elif $c.op == ">=" then $x >= $n
			else $x == $n end' >/dev/null 2>&1 || verdict=FAIL
	fi
	[ "$verdict" = FAIL ] && MEASURE_FAILED=1
	printf '%-44s %12s %-10s %-8s %s\n' "$1" "$2" "$3" "$limit" "$verdict"
}

report_of() { jq -r "$2" "$FLEET_DIR/$1.json"; }

# Counts of broken guarantees in the report of one load; each must be 0.
guarantee_rows() { # LOAD
	row "$1_doubled" "$(report_of "$1" .doubled)" count '==0'
	row "$1_not_run_lies" "$(report_of "$1" .not_run_lies)" count '==0'
	row "$1_misdelivered" "$(report_of "$1" .misdelivered)" count '==0'
	row "$1_cut_as_whole" "$(report_of "$1" .cut_as_whole)" count '==0'
}

control_mark() { all_status >"$FLEET_DIR/mark.json"; }

# Prints the highest control traffic and processor use of any VM since control_mark,
# and the highest memory of any VM.
control_cost() { # PREFIX
	all_status >"$FLEET_DIR/now.json"
	jq -rn --slurpfile a "$FLEET_DIR/mark.json" --slurpfile b "$FLEET_DIR/now.json" '
		($a[0] | map({key: .vm, value: .}) | from_entries) as $was |
		[$b[0][] | select($was[.vm]) | (.uptime_s - $was[.vm].uptime_s) as $t |
		 select($t > 0) |
		 {bytes: ((.link.sent_bytes - $was[.vm].link.sent_bytes) / $t),
		  msgs: ((.link.sent - $was[.vm].link.sent) / $t),
		  cpu: ((.process.cpu_s - $was[.vm].process.cpu_s) / $t * 100),
		  mb: (.process.max_rss_kb / 1024)}] |
		"\(map(.bytes) | max | round) \(map(.msgs) | max | . * 10 | round / 10) \(map(.cpu) | max | . * 10 | round / 10) \(map(.mb) | max | round)"' >"$FLEET_DIR/cost"
	read -r bytes msgs cpu mb <"$FLEET_DIR/cost"
	row "$1_control_bytes_a_vm" "$bytes" B/s '<=7168'
	row "$1_control_messages_a_vm" "$msgs" 1/s
	row "$1_processor_a_vm_with_requests" "$cpu" percent
	row "$1_memory_a_vm" "$mb" MB '<=256'
}

publish_document() { # SERVICE-INDEX SED-SCRIPT
	sed -e "$2" "$ROOT/examples/$DEPLOYMENT/${SERVICES[$1]}.yaml" |
		publish "services/${SERVICES[$1]}/document"
}

# Prints the milliseconds from a fault until the target's requests stay below a
# tenth of its share in each second. If they were never above that, prints the
# time of its last request in the first 500 ms. -1 if the target had less than a
# quarter of its share in the second before the fault. Trickle requests, which
# let an ejected target prove itself, are not counted.
detection_ms() { # SERVICE-INDEX NUMBER FAULT-AT-US UNTIL-US SHARE-A-SECOND
	curl -sf -m 5 "http://$TARGET_NET.$(($1 + 1)).$2:7100/_ledger" |
		jq --argjson at "$3" --argjson until "$4" --argjson share "$5" '
		([.ledger[] | select(.wall >= $at - 1000000 and .wall < $at)] | length) as $before |
		[.ledger[] | select(.wall >= $at and .wall < $until and (.trickle | not)) | ((.wall - $at) / 1000)] as $t |
		($share / 10) as $threshold |
		[range(0; ($until - $at) / 1000; 100)] |
		map(. as $from | select(([$t[] | select(. >= $from and . < $from + 1000)] | length) > $threshold)) |
		if $before < $share / 4 then -1 elif length == 0 then ([$t[] | select(. < 500)] | max // 0 | round) else (last + 1000) as $edge | [$t[] | select(. < $edge)] | max | round end'
}

measure_end() { exit $MEASURE_FAILED; }
