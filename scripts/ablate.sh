#!/usr/bin/env bash
# Ablation: simulates the standard days of deployments with one mechanism switched
# off at a time, with the same days and seeds, and prints the difference to the run
# with all mechanisms on. PLAYER is the program that simulates a day:
#   PLAYER run SITE DAY --seed N --jobs 1 --no-cpu --why TEXT
# SEEDS, JOBS and ONLY (names of mechanisms) may be set. The journal entries of
# the runs are copied into this repository.
set -euo pipefail
ROOT=$(cd "$(dirname "$0")/.." && pwd)
: "${PLAYER:?program that simulates a day of a deployment}"
PLAYER=$(realpath "$PLAYER")
SEEDS=${SEEDS:-5 6}
JOBS=${JOBS:-$(($(nproc) - 1))}
[ $# -gt 0 ] || { echo "usage: PLAYER=PROGRAM ./dev ablate SITE..." >&2; exit 2; }
WORK=$(mktemp -d "$ROOT/../ablate.XXXXXX")
trap 'rm -rf "$WORK"' EXIT

names=${ONLY:-$(sed -n 's/.*\] = "\(.*\)",/\1/p' "$ROOT/lib/mechanism.c")}
for name in none $names; do
	git clone -q "$ROOT" "$WORK/$name"
	[ "$name" = none ] ||
		echo "switched_off: [\"$name\"]" >>"$WORK/$name/deploy/entry.yaml.template"
	(cd "$WORK/$name" && "$PLAYER" build >/dev/null)
done

run_one() { # NAME SITE DAY SEED
	cd "$WORK/$1"
	"$PLAYER" run "$2" "$3" --seed "$4" --jobs 1 --no-cpu \
		--why "ablation: without $1" 2>/dev/null |
		awk -v id="$1 $(basename "$2" .toml) $3" \
			'/^[a-z]+-[0-9]+ +[0-9]+\/[0-9]+ / {
				print id, $4, $7, /BROKEN/ ? "BROKEN" : "-" }'
}
export -f run_one
export WORK PLAYER

for name in none $names; do
	for site in "$@"; do
		site=$(realpath "$site")
		for day in $(sed -n '/^\[\[day\]\]/{n;s/name = "\(.*\)"/\1/p}' "$site"); do
			for seed in $SEEDS; do
				echo "$name $site $day $seed"
			done
		done
	done
done | xargs -P "$JOBS" -L 1 bash -c 'run_one "$@"' _ >"$WORK/results"

for name in none $names; do
	for f in $(cd "$WORK/$name" && git ls-files -o journal; cd "$WORK/$name" && git diff --cached --name-only journal); do
		mkdir -p "$ROOT/$(dirname "$f")"
		cp -n "$WORK/$name/$f" "$ROOT/$f"
	done
done

awk '{ k = $1 " " $2; n[k]++; w[k] += $4; f[k] += $5; b[k] += $6 == "BROKEN"
	if (!($1 in seen)) order[++m] = $1; seen[$1] = 1; site[$2] = 1 }
	END { for (s in site) {
		printf "%s\n%-20s %4s %8s %8s %8s %s\n", s, "without", "n",
			"worth", "change", "failed", "broken"
		for (i = 1; i <= m; i++) { k = order[i] " " s; z = "none " s
			if (n[k]) printf "%-20s %4d %8.4f %+8.4f %8.4f %d\n",
				order[i], n[k], w[k] / n[k],
				w[k] / n[k] - w[z] / n[z], f[k] / n[k], b[k] }
	} }' <(sort -k1,1 -s "$WORK/results")
