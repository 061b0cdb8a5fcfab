# Runs a deployment as processes on 127.0.0.0/8, for ./dev demo and measure.
# Sourced. FLEET_DIR holds its files; its processes are killed by process id.
# The VMs run the real daemon; platform, targets, load and relay are simulated.

FLEET_BIN=${FLEET_BIN:-$ROOT/build}
PLATFORM=127.0.9.1:8500

declare -A PID_OF=()

# fleet_start NAME PROGRAM ARG...
fleet_start() {
	local name=$1
	shift
	"$@" >"$FLEET_DIR/$name.log" 2>&1 &
	PID_OF[$name]=$!
}

fleet_signal() { # SIGNAL NAME
	local pid=${PID_OF[$2]:-}
	[ -n "$pid" ] && kill "-$1" "$pid" 2>/dev/null
	return 0
}

fleet_kill() { # NAME: kills the process, as when a VM is lost
	fleet_signal KILL "$1"
	wait "${PID_OF[$1]}" 2>/dev/null
	unset "PID_OF[$1]"
}

fleet_end() {
	local name
	for name in "${!PID_OF[@]}"; do
		fleet_signal CONT "$name"
		fleet_signal KILL "$name"
	done
	wait 2>/dev/null
	PID_OF=()
}

fleet_describe() { # DEPLOYMENT
	DEPLOYMENT=$1
	case $DEPLOYMENT in
	imigabane)
		CENTRES=(kgl-1 kgl-2 kgl-3 kgl-4)
		VM_NET=127.1 TARGET_NET=127.2
		SERVICES=(ledger-view order-desk document-intake)
		TARGETS=(10 15 10) WORK=(8 12 15)
		;;
	altiplano)
		CENTRES=(alt-1 alt-2 alt-3 alt-4)
		VM_NET=127.3 TARGET_NET=127.4
		SERVICES=(schedule-feed route-change-ledger package-intake)
		TARGETS=(10 20 10) WORK=(8 12 15)
		;;
	*)
		echo "no deployment '$DEPLOYMENT': expected imigabane or altiplano" >&2
		return 2
		;;
	esac
	VMS_PER_CENTRE=${VMS_PER_CENTRE:-8}
	[ -n "${WORK_ALL:-}" ] && WORK=("$WORK_ALL" "$WORK_ALL" "$WORK_ALL")
	return 0
}

vm_row() { # CENTRE-INDEX NUMBER STATE
	local ip=$VM_NET.$(($1 + 1)).$2
	printf '{"name":"vm-%s-%d","data_centre":"%s","address":"%s","port":7000,"peer_port":%s,"operator_port":7002,"state":"%s"%s}' \
		"${CENTRES[$1]}" "$2" "${CENTRES[$1]}" "$ip" \
		"${RELAY_PORT[$ip]:-7001}" "$3" \
		"${RELAY_IP:+,\"peer_address\":\"$RELAY_IP\"}"
}

vm_list() { # prints the published list; STATE_OF[vm]=leaving|gone sets a state
	local c n name state sep=
	printf '['
	for c in "${!CENTRES[@]}"; do
		for ((n = 1; n <= VMS_PER_CENTRE; n++)); do
			name=vm-${CENTRES[$c]}-$n
			state=${STATE_OF[$name]:-live}
			[ "$state" = gone ] && continue
			printf '%s' "$sep"
			sep=$',\n'
			vm_row "$c" "$n" "$state"
		done
	done
	printf ']\n'
}

target_list() { # SERVICE-INDEX
	local s=$1 n sep= name
	printf '['
	for ((n = 1; n <= TARGETS[s]; n++)); do
		name=${SERVICES[$s]}-$n
		[ "${STATE_OF[$name]:-live}" = gone ] && continue
		printf '%s{"name":"%s","address":"%s.%d.%d:7100","data_centre":"%s","state":"%s"}' \
			"$sep" "$name" "$TARGET_NET" $((s + 1)) "$n" \
			"${CENTRES[$(((n - 1) % ${#CENTRES[@]}))]}" \
			"${STATE_OF[$name]:-live}"
		sep=$',\n'
	done
	printf ']\n'
}

declare -A STATE_OF=() RELAY_PORT=()

publish() { # KEY < TEXT
	curl -sf -m 5 -X PUT --data-binary @- \
		"http://$PLATFORM/_publish/toucanreel/$1" >/dev/null
}

publish_vms() { vm_list | publish vms; }
publish_targets() { target_list "$1" | publish "services/${SERVICES[$1]}/targets"; }

vm_settings() { # CENTRE-INDEX NUMBER
	local ip=$VM_NET.$(($1 + 1)).$2
	cat <<-TXT
	name: vm-${CENTRES[$1]}-$2
	address: $ip
	data_centre: ${CENTRES[$1]}
	port: 7000
	peer_port: 7001
	operator_port: 7002
	platform: http://$PLATFORM
	seeds: [$VM_NET.1.1:7002, $VM_NET.2.1:7002, $VM_NET.3.1:7002]
	fleet_key: $FLEET_DIR/fleet.key
	log_level: info
	log_format: json
	stop_after_s: ${STOP_AFTER_S:-30}
	TXT
}

start_vm() { # CENTRE-INDEX NUMBER
	local name=vm-${CENTRES[$1]}-$2
	vm_settings "$1" "$2" >"$FLEET_DIR/$name.yaml"
	fleet_start "$name" "$FLEET_BIN/toucanreeld" \
		--settings "$FLEET_DIR/$name.yaml"
}

start_target() { # SERVICE-INDEX NUMBER
	fleet_start "${SERVICES[$1]}-$2" "$FLEET_BIN/toucanreel-target" \
		--listen "$TARGET_NET.$(($1 + 1)).$2:7100" \
		--name "${SERVICES[$1]}-$2" --work-ms "${WORK[$1]}"
}

# Routes all datagrams between VMs through the relay, with one port per VM.
start_relay() {
	local c n port=30000
	RELAY_IP=127.0.9.2
	for c in "${!CENTRES[@]}"; do
		for ((n = 1; n <= VMS_PER_CENTRE; n++)); do
			port=$((port + 1))
			RELAY_PORT[$VM_NET.$((c + 1)).$n]=$port
			echo "$port $VM_NET.$((c + 1)).$n:7001"
		done
	done >"$FLEET_DIR/routes"
	fleet_start relay "$FLEET_BIN/toucanreel-relay" \
		--control "$RELAY_IP:8600" --routes "$FLEET_DIR/routes"
}

relay_rule() { curl -sf -m 3 -X POST "http://127.0.9.2:8600/_rule?$1" >/dev/null; }

wait_for() { # URL SECONDS
	local i
	for ((i = 0; i < $2 * 20; i++)); do
		curl -sf -m 1 -o /dev/null "$1" && return 0
		sleep 0.05
	done
	echo "no answer from $1" >&2
	return 1
}

fleet_begin() { # DEPLOYMENT DIR
	local s c n values
	fleet_describe "$1" || return
	if curl -sf -m 1 -o /dev/null "http://$PLATFORM/_calls"; then
		echo "another fleet is running on this machine" >&2
		return 1
	fi
	FLEET_DIR=$2
	rm -rf "$FLEET_DIR"
	mkdir -p "$FLEET_DIR"
	trap fleet_end EXIT
	trap 'exit 130' INT TERM
	od -An -tx1 -N32 /dev/urandom | tr -d ' \n' >"$FLEET_DIR/fleet.key"
	[ -n "${USE_RELAY:-}" ] && start_relay
	values=$FLEET_DIR/values/toucanreel
	mkdir -p "$values/services"
	vm_list >"$values/vms"
	for s in "${!SERVICES[@]}"; do
		mkdir -p "$values/services/${SERVICES[$s]}"
		sed -e "${DOCUMENT_EDIT:-}" \
			"$ROOT/examples/$DEPLOYMENT/${SERVICES[$s]}.yaml" \
			>"$values/services/${SERVICES[$s]}/document"
		target_list "$s" >"$values/services/${SERVICES[$s]}/targets"
		for ((n = 1; n <= TARGETS[s]; n++)); do
			echo "$TARGET_NET.$((s + 1)).$n:7100"
			start_target "$s" "$n"
		done >"$FLEET_DIR/${SERVICES[$s]}.targets"
	done
	fleet_start platform "$FLEET_BIN/toucanreel-platform" \
		--listen "$PLATFORM" --values "$FLEET_DIR/values"
	wait_for "http://$PLATFORM/_calls" 5 || return
	for c in "${!CENTRES[@]}"; do
		for ((n = 1; n <= VMS_PER_CENTRE; n++)); do
			echo "$VM_NET.$((c + 1)).$n:7000" >>"$FLEET_DIR/entries"
			start_vm "$c" "$n"
		done
	done
	wait_for "http://$VM_NET.1.1:7002/status" 10
}

# Sends a lookup for each service to every VM, so that the cells are active before
# anything is measured.
fleet_warm() {
	local s entry
	for s in "${SERVICES[@]}"; do
		while read -r entry; do
			curl -sf -m 2 -o /dev/null \
				"http://$entry/v1/lookup?service=$s"
		done <"$FLEET_DIR/entries"
	done
	sleep "${1:-2}"
}

target_fault() { # SERVICE-INDEX NUMBER QUERY
	curl -sf -m 3 -X POST \
		"http://$TARGET_NET.$(($1 + 1)).$2:7100/_fault?$3"
}

platform_fault() { curl -sf -m 3 -X POST "http://$PLATFORM/_fault?$1" >/dev/null; }

all_status() { # prints a JSON array with the status of each VM that replies
	local entry
	while read -r entry; do
		curl -sf -m 2 "http://${entry%:7000}:7002/status"
	done <"$FLEET_DIR/entries" | jq -s .
}

all_events() { # prints the events of all VMs, merged by time
	local entry
	while read -r entry; do
		curl -sf -m 2 "http://${entry%:7000}:7002/v1/events"
	done <"$FLEET_DIR/entries" | jq -s '[.[] | .process as $p | .events[] | . + {process: $p}] | sort_by(.wall, .count)'
}

start_load() { # NAME SERVICE-INDEX ARG...
	local name=$1 s=$2
	shift 2
	fleet_start "load-$name" "$FLEET_BIN/toucanreel-load" \
		--service "${SERVICES[$s]}" --entries "$FLEET_DIR/entries" \
		--targets "$FLEET_DIR/${SERVICES[$s]}.targets" \
		--prefix "$name" --report "$FLEET_DIR/$name.json" \
		--series "$FLEET_DIR/$name.series" "$@"
}

wait_load() { # NAME
	wait "${PID_OF[load-$1]}"
	unset "PID_OF[load-$1]"
}
