#!/usr/bin/env bash
# Tests the daemon as a process: invalid settings, a port in use, a platform
# that is down at the start, and a stop by SIGTERM. Usage: daemon_test.sh BIN-DIR
set -uo pipefail
BIN=$1
DIR=$(mktemp -d)
PID=
trap '[ -n "$PID" ] && kill -9 "$PID" 2>/dev/null; rm -rf "$DIR"' EXIT
FAILED=0

expect() { # NAME EXPECTED TEXT: passes if TEXT contains EXPECTED
	case $3 in
	*"$2"*) echo "ok: $1" ;;
	*)
		echo "FAILED: $1: expected '$2' in: $3"
		FAILED=1
		;;
	esac
}

settings() { # PORT: prints settings in YAML
	cat <<-TXT
	name: vm-test
	address: 127.9.8.7
	data_centre: here
	port: $1
	peer_port: 17001
	operator_port: 17002
	platform: http://127.9.8.7:17999
	fleet_key: $DIR/key
	TXT
}

printf '%064d' 7 >"$DIR/key"

settings 99999 >"$DIR/a.yaml"
expect "port out of range" "a.yaml:4: port: '" "$("$BIN/toucanreeld" -s "$DIR/a.yaml" 2>&1)"
(settings 17000; echo "prot: 1") >"$DIR/a.yaml"
expect "unknown field" "a.yaml:9: prot:" "$("$BIN/toucanreeld" -s "$DIR/a.yaml" 2>&1)"
settings 17000 | grep -v '^address' >"$DIR/a.yaml"
expect "missing field" "address: (code 406): expected it to be given" "$("$BIN/toucanreeld" -s "$DIR/a.yaml" 2>&1)"
settings 17000 | sed 's/127.9.8.7$/somewhere/' >"$DIR/a.yaml"
expect "host name instead of an IPv4 address" "expected an IPv4 number" "$("$BIN/toucanreeld" -s "$DIR/a.yaml" 2>&1)"
(settings 17000; echo "log_format: xml") >"$DIR/a.yaml"
expect "unknown log format" "expected text or json" "$("$BIN/toucanreeld" -s "$DIR/a.yaml" 2>&1)"
expect "settings file does not exist" "code 401" "$("$BIN/toucanreeld" -s "$DIR/none.yaml" 2>&1)"
expect "no --settings option" "expected --settings FILE" "$("$BIN/toucanreeld" 2>&1)"
settings 17000 >"$DIR/a.yaml"
echo abc >"$DIR/key"
expect "fleet key too short" "expected a key of 32 bytes" "$("$BIN/toucanreeld" -s "$DIR/a.yaml" 2>&1)"
printf '%064d' 7 >"$DIR/key"
"$BIN/toucanreeld" -s "$DIR/a.yaml" --check
expect "--check exits with 0 for valid settings" 0 $?

"$BIN/toucanreeld" -s "$DIR/a.yaml" 2>"$DIR/log" &
PID=$!
for i in $(seq 100); do
	status=$(curl -s -m 2 http://127.9.8.7:17002/status) && break
	sleep 0.1
done
expect "/status reports that the platform is not reachable yet" "waiting for the platform" "$status"
answer=$(curl -si -m 5 http://127.9.8.7:17000/s/order-desk/orders)
expect "requests get 503 until the platform is reachable" "HTTP/1.1 503" "$answer"
expect "the outcome of the 503 is not-run" "Toucanreel-Outcome: not-run" "$answer"
expect "a second daemon reports that the port is in use" "127.9.8.7:17000" "$("$BIN/toucanreeld" -s "$DIR/a.yaml" 2>&1)"
expect "metrics are in Prometheus text format" "# TYPE toucanreel_requests_total counter" "$(curl -s -m 2 http://127.9.8.7:17002/metrics)"
kill -TERM "$PID"
wait "$PID"
expect "exits with 0 after SIGTERM" 0 $?
PID=
exit $FAILED
