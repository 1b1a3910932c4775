#!/bin/sh
# Runs the case once, in about 50 seconds; TROUBLE=0 leaves the disruption out. Exit code: 1 the rule was broken, 0 it held,
# 2 the case could not run. What happened is in record.txt beside this file. The stand-in gives up by itself after 112 s.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
# All processes of the case are in one process group, which is ended with this script, also when it is interrupted.
setsid target/review/gone_host "$here/record.txt" &
group=$!
end_group() {
    kill -KILL -"$group" 2>/dev/null
    rm -rf "${TMPDIR:-/tmp}/ar-$group" "/tmp/ar-$group"
}
trap 'end_group; exit 2' HUP INT TERM
wait "$group"
code=$?
end_group
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
