#!/usr/bin/env bash
# Added latency of a request, compared with direct requests in the same run, and
# the memory and processor time of a VM.
. "$(dirname "$0")/lib.sh"
fleet_begin altiplano "$ROOT/out/path" || exit 1
fleet_warm 4
all_status >"$FLEET_DIR/idle.json"
row memory_of_an_idle_vm "$(jq '[.[].process.max_rss_kb] | max / 1024 | round' "$FLEET_DIR/idle.json")" MB '<=256'
sleep 10
control_mark
"$FLEET_BIN/toucanreel-load" --direct --service x --prefix direct --rate 400 --seconds 10 \
	--targets "$FLEET_DIR/schedule-feed.targets" --report "$FLEET_DIR/direct.json"
start_load feed 0 --rate 400 --seconds 10 --read-path /schedules
wait_load feed
all_status >"$FLEET_DIR/loaded.json"
for q in p50 p99; do
	row "direct_$q" "$(report_of direct ".latency_ms.$q")" ms
	row "through_the_system_$q" "$(report_of feed ".latency_ms.$q")" ms
done
row added_p50 "$(jq -n "$(report_of feed .latency_ms.p50) - $(report_of direct .latency_ms.p50)")" ms '<=5.5'
row added_p99 "$(jq -n "$(report_of feed .latency_ms.p99) - $(report_of direct .latency_ms.p99)")" ms '<=5.5'
row requests_a_second_of_a_core "$(jq -n --slurpfile a "$FLEET_DIR/mark.json" --slurpfile b "$FLEET_DIR/loaded.json" '
	($a[0] | map({key: .vm, value: .}) | from_entries) as $was |
	[$b[0][] | {r: (.proxy.requests - $was[.vm].proxy.requests), c: (.process.cpu_s - $was[.vm].process.cpu_s), t: (.uptime_s - $was[.vm].uptime_s)}] |
	([.[] | select(.r == 0) | .c / .t] | if length > 0 then add / length else 0 end) as $idle |
	(map(select(.r > 100)) | (map(.r) | add) / (map(.c - $idle * .t) | add)) | round')" 1/s
row processor_of_an_idle_vm "$(jq -n --slurpfile a "$FLEET_DIR/mark.json" --slurpfile b "$FLEET_DIR/loaded.json" '
	($a[0] | map({key: .vm, value: .}) | from_entries) as $was |
	[$b[0][] | select(.proxy.requests - $was[.vm].proxy.requests == 0) | (.process.cpu_s - $was[.vm].process.cpu_s) / (.uptime_s - $was[.vm].uptime_s) * 100] | if length > 0 then max * 100 | round / 100 else 0 end')" percent '<=2.2'
guarantee_rows feed
head -c 200000000 /dev/zero >"$FLEET_DIR/package"
entry=$(curl -s "http://$VM_NET.1.1:7000/v1/lookup?service=package-intake" | jq -r '.addresses[0] | "\(.address):\(.port)"')
before=$(curl -s "http://${entry%:*}:7002/status" | jq .process.max_rss_kb)
got=$(curl -s -m 60 -T "$FLEET_DIR/package" -H 'Expect:' -w '\n%{time_total}' "http://$entry/s/package-intake/packages")
after=$(curl -s "http://${entry%:*}:7002/status" | jq .process.max_rss_kb)
row upload_of_200_mb_arrived "$(echo "$got" | jq -R 'fromjson? | .body_bytes? // empty' | head -1)" bytes '==200000000'
row upload_of_200_mb_took "$(echo "$got" | tail -1)" s
row upload_memory_added "$(jq -n "($after - $before) / 1024 * 10 | round / 10")" MB '<=8'
rm -f "$FLEET_DIR/package"
measure_end
