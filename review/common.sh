# Functions of the scripts: the stand-in platform and daemons as separate processes on loopback
# addresses. A script sources this file from its own folder. KEEP=DIR keeps the daemons' logs.

root=$(cd "$here/../.." && pwd)
standin=$root/review/bin/standin
trouble=${TROUBLE:-1}
work=$(mktemp -d)
started=()

# cannot_run ends a script whose case could not run.
cannot_run() {
	echo "cannot run: $*" >&2
	exit 2
}

# end_all ends all processes that the script has started.
end_all() {
	for pid in "${started[@]}"; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait "${started[@]}" 2>/dev/null
	[ -n "${KEEP:-}" ] && cp "$work"/daemon-*.log "$KEEP"/
	rm -rf "$work"
}
trap end_all EXIT
trap 'exit 2' INT TERM

# run_case ARGS runs the clients of a case, and returns their exit code.
run_case() {
	"$standin" "$@" &
	started+=($!)
	wait $!
}

# await FILE SECONDS waits until a file exists.
await() {
	for _ in $(seq $(($2 * 20))); do
		[ -e "$1" ] && return 0
		sleep 0.05
	done
	return 1
}

# start_platform [SERVERS] starts the store and three servers, or the given number, and sets store and
# runs to their addresses.
start_platform() {
	[ -x "$standin" ] && [ -x "$root/target/spanrilld" ] || cannot_run "the programs are not built"
	"$standin" platform "$work" "${1:-3}" &
	started+=($!)
	await "$work/platform.json" 10 || cannot_run "the platform did not start"
	store=$(sed 's/.*"store":"\([^"]*\)".*/\1/' "$work/platform.json")
	runs=$(sed 's/.*"runs":"\([^"]*\)".*/\1/' "$work/platform.json")
}

# start_daemons N starts N daemons with the settings of deploy/settings.json.tmpl on a small
# deployment, and sets the arrays pids, and daemons to FRONT=READY of each.
start_daemons() {
	local ports i fronts=() readies=()
	mapfile -t ports < <("$standin" ports $(($1 * 5)))
	[ ${#ports[@]} -eq $(($1 * 5)) ] || cannot_run "no free ports"
	pids=() daemons=()
	for i in $(seq 0 $(($1 - 1))); do
		fronts+=("127.0.0.1:${ports[i * 5]}")
		readies+=("127.0.0.1:${ports[i * 5 + 1]}")
		daemons+=("${fronts[i]}=${readies[i]}")
		cat >"$work/settings-$i.json" <<-END
			{
			  "name": "front-hall-un-$i", "availability_zone": "hall-un",
			  "listen": "${fronts[i]}", "ready_listen": "${readies[i]}",
			  "peer_listen": "127.0.0.1:${ports[i * 5 + 2]}", "metrics_listen": "127.0.0.1:${ports[i * 5 + 3]}",
			  "tunnel_listen": "127.0.0.1:${ports[i * 5 + 4]}",
			  "peers": ["127.0.0.1:${ports[2]}"], "platform": "$store", "fleet_secret": "one private network",
			  "memory_mb": 284, "descriptors": 4100, "cpu_share": 0.4, "cores": 1,
			  "bounds": {
			    "apply_ms": 2000, "revoke_ms": 5000, "grace_ms": 8000, "drain_ms": 2000,
			    "retry_ratio": 0.2, "retry_slack": 200, "retry_window_ms": 10000
			  }
			}
		END
		(cd "$root" && SPANRILL_BOOT=$work/settings-$i.json exec target/spanrilld gateway >"$work/daemon-$i.log" 2>&1) &
		pids+=($!)
		started+=($!)
	done
}

# start_engines N starts N model engines and sets the array engines to ID=PID of each.
start_engines() {
	local ports i
	mapfile -t ports < <("$standin" ports "$1")
	engines=()
	for i in $(seq 0 $(($1 - 1))); do
		"$standin" engine "$store" "i-0000000$i" "127.0.0.1:${ports[i]}" "$work/runs.txt" &
		started+=($!)
		engines+=("i-0000000$i=$!")
	done
}

# start_servers N starts N servers of the plain service as processes of their own, and sets the array
# servers to ID=PID of each.
start_servers() {
	local ports i
	mapfile -t ports < <("$standin" ports "$1")
	servers=()
	for i in $(seq 0 $(($1 - 1))); do
		"$standin" server "$store" "i-0000001$i" "127.0.0.1:${ports[i]}" &
		started+=($!)
		servers+=("i-0000001$i=$!")
	done
}
