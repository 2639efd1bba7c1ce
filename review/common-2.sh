# Common parts of the scripts in review/4 and later. Source it with SCENARIO set, from the root of the
# repository or from the folder of a case.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case_dir/../.." && pwd)
cd "$root" || exit 2
[ -x target/spanrilld ] && [ -x review/bin/world2 ] || { echo "build first: deploy/system.toml and review/build-2.sh" >&2; exit 2; }
work=$(mktemp -d) || exit 2
pids=()
cleanup() {
	for pid in "${pids[@]}"; do
		disown "$pid" 2>/dev/null
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
review/bin/world2 -scenario "$SCENARIO" -dir "$work" -record "$case_dir/record.txt" -trouble="$trouble" &
world=$!
pids+=("$world")
for _ in $(seq 100); do
	[ -e "$work/settings-written" ] && break
	sleep 0.1
done
[ -e "$work/settings-written" ] || exit 2
for settings in "$work"/front-*.json; do
	SPANRILL_BOOT=$settings target/spanrilld gateway >"${LOGS:-$work}/$(basename "$settings" .json).log" 2>&1 &
	pids+=("$!")
done
wait "$world"
code=$?
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
