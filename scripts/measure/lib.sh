# What the measures share. Each prints lines "name value unit limit ok|FAIL"
# and exits 1 if one of them failed. A limit of '-' is a figure for the record.
set -uo pipefail
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
. "$ROOT/scripts/fleet.sh"
MEASURE_FAILED=0

# A figure that was not taken is -1, or no number at all.
is_taken() { # VALUE
	[[ $1 =~ ^-?[0-9]+(\.[0-9]+)?$ ]] && [ "$1" != -1 ]
}

# NAME VALUE UNIT [LIMIT]; a limit is a number with <=, >= or == before. A figure
# that was not taken fails its row, also one without a limit; "none" is no figure.
row() {
	local verdict=ok limit=${4:--}
	is_taken "$2" || [ "$2" = none ] || verdict=FAIL
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

# Counts that must be 0, of one load's report.
promises() { # LOAD
	row "$1_doubled" "$(report_of "$1" .doubled)" count '==0'
	row "$1_not_run_lies" "$(report_of "$1" .not_run_lies)" count '==0'
	row "$1_misdelivered" "$(report_of "$1" .misdelivered)" count '==0'
	row "$1_cut_as_whole" "$(report_of "$1" .cut_as_whole)" count '==0'
}

control_mark() { all_status >"$FLEET_DIR/mark.json"; }

# What control cost each VM since control_mark, busiest VM first.
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

# Trickles, by which a target can prove itself, are not counted.
# Milliseconds from a fault until the target got less than a tenth of its
# share in a second, for good (if it never got that much, until its last
# request of the first half second); -1 if it had no work before the fault.
detection_ms() { # SERVICE-INDEX NUMBER FAULT-AT-US UNTIL-US SHARE-A-SECOND
	curl -sf -m 5 "http://$TARGET_NET.$(($1 + 1)).$2:7100/_ledger" |
		jq --argjson at "$3" --argjson until "$4" --argjson share "$5" '
		([.ledger[] | select(.wall >= $at - 1000000 and .wall < $at)] | length) as $before |
		[.ledger[] | select(.wall >= $at and .wall < $until and (.trickle | not)) | ((.wall - $at) / 1000)] as $t |
		($share / 10) as $least |
		[range(0; ($until - $at) / 1000; 100)] |
		map(. as $from | select(([$t[] | select(. >= $from and . < $from + 1000)] | length) > $least)) |
		if $before < $share / 4 then -1 elif length == 0 then ([$t[] | select(. < 500)] | max // 0 | round) else (last + 1000) as $edge | [$t[] | select(. < $edge)] | max | round end'
}

measure_end() { exit $MEASURE_FAILED; }
