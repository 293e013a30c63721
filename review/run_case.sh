#!/bin/sh
# Runs the case whose number is given: starts its stand-ins, which start the dispatchers with the deploy file's command.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
root=$(cd "$(dirname "$0")/.." && pwd)
number=$1
program=$root/target/review/case-$number
[ -x "$program" ] || { echo "not built: run review/build.sh"; exit 2; }
[ -x "$root/target/release/ottercroft" ] || { echo "not built: run the deploy file's build"; exit 2; }
CASE_RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
[ -n "$CASE_RUN" ] || { echo "the deploy file has no run command"; exit 2; }
CASE_WORK=$(mktemp -d) || exit 2
CASE_ROOT=$root
CASE_RECORD=$root/review/$number/record.txt
TROUBLE=${TROUBLE:-1}
export CASE_RUN CASE_WORK CASE_ROOT CASE_RECORD TROUBLE

# Ends what is left of the processes that this run started, and removes its folder.
clean_up() {
    for pid in $(cat "$CASE_WORK/pids" 2>/dev/null); do
        case $(readlink "/proc/$pid/exe" 2>/dev/null) in
            */target/release/ottercroft*) kill -9 "$pid" 2>/dev/null ;;
        esac
    done
    [ -n "$KEEP_LOGS" ] || rm -rf "$CASE_WORK"
}
trap 'kill -9 "$driver" 2>/dev/null; clean_up; exit 2' INT TERM HUP

timeout -s KILL 118 "$program" &
driver=$!
wait "$driver"
code=$?
clean_up
[ "$code" = 0 ] || [ "$code" = 1 ] || code=2
exit "$code"
