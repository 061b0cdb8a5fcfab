#!/usr/bin/env bash
# The daemon as a process: bad settings, a port in use, a platform that is
# absent at the start, and a stop by signal. Usage: daemon_test.sh BIN-DIR
set -uo pipefail
BIN=$1
DIR=$(mktemp -d)
PID=
trap '[ -n "$PID" ] && kill -9 "$PID" 2>/dev/null; rm -rf "$DIR"' EXIT
FAILED=0

expect() { # WHAT WANTED TEXT
	case $3 in
	*"$2"*) echo "ok: $1" ;;
	*)
		echo "FAILED: $1: wanted '$2' in: $3"
		FAILED=1
		;;
	esac
}

settings() { # PORT
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
expect "a port out of range" "a.yaml:4: port: '" "$("$BIN/toucanreeld" -s "$DIR/a.yaml" 2>&1)"
(settings 17000; echo "prot: 1") >"$DIR/a.yaml"
expect "an unknown field" "a.yaml:9: prot:" "$("$BIN/toucanreeld" -s "$DIR/a.yaml" 2>&1)"
settings 17000 | grep -v '^address' >"$DIR/a.yaml"
expect "a missing field" "address: (code 406): expected it to be given" "$("$BIN/toucanreeld" -s "$DIR/a.yaml" 2>&1)"
settings 17000 | sed 's/127.9.8.7$/somewhere/' >"$DIR/a.yaml"
expect "a name for a number" "expected an IPv4 number" "$("$BIN/toucanreeld" -s "$DIR/a.yaml" 2>&1)"
(settings 17000; echo "log_format: xml") >"$DIR/a.yaml"
expect "a format that does not exist" "expected text or json" "$("$BIN/toucanreeld" -s "$DIR/a.yaml" 2>&1)"
expect "no such file" "code 401" "$("$BIN/toucanreeld" -s "$DIR/none.yaml" 2>&1)"
expect "no settings at all" "expected --settings FILE" "$("$BIN/toucanreeld" 2>&1)"
settings 17000 >"$DIR/a.yaml"
echo abc >"$DIR/key"
expect "a short fleet key" "expected a key of 32 bytes" "$("$BIN/toucanreeld" -s "$DIR/a.yaml" 2>&1)"
printf '%064d' 7 >"$DIR/key"
"$BIN/toucanreeld" -s "$DIR/a.yaml" --check
expect "good settings" 0 $?

"$BIN/toucanreeld" -s "$DIR/a.yaml" 2>"$DIR/log" &
PID=$!
for i in $(seq 100); do
	status=$(curl -s -m 2 http://127.9.8.7:17002/status) && break
	sleep 0.1
done
expect "it waits for the platform, and says so" "waiting for the platform" "$status"
answer=$(curl -si -m 5 http://127.9.8.7:17000/s/order-desk/orders)
expect "503 meanwhile" "HTTP/1.1 503" "$answer"
expect "which is not-run" "Toucanreel-Outcome: not-run" "$answer"
expect "a second one finds the port in use" "127.9.8.7:17000" "$("$BIN/toucanreeld" -s "$DIR/a.yaml" 2>&1)"
expect "metrics are Prometheus text" "# TYPE toucanreel_requests_total counter" "$(curl -s -m 2 http://127.9.8.7:17002/metrics)"
kill -TERM "$PID"
wait "$PID"
expect "it ends in order" 0 $?
PID=
exit $FAILED
