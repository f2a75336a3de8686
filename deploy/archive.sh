#!/usr/bin/env bash
# Makes the class archive that `run` starts from: a sidecar whose upstreams and discovery are itself is given a
# few requests, so that what serving needs is loaded, and is stopped. Without an archive `run` only starts slower,
# so nothing here fails the build.
cd "$(dirname "$0")/.." || exit 1
# The sidecar may be gone while it is written to: that is no reason for this shell to go too.
trap '' PIPE
archive=target/sidecar.jsa
rm -f "$archive"
# As `run` says it, but for the archive: other properties would have other classes loaded.
options=$(sed -n 's/^run = "exec java \(.*\) -jar .*/\1/p' deploy/balancer.toml | sed 's/-XX:SharedArchiveFile=[^ ]* -Xshare:auto//')
# An address of this build's own: two may run at once on one machine.
host=127.83.$((RANDOM % 250 + 1)).$((RANDOM % 250 + 1))
sed "s/127\.83\.41\.7/$host/g" deploy/rehearsal.json > target/rehearsal.json
# shellcheck disable=SC2086
BALANCER_CONFIG=target/rehearsal.json java $options \
    -XX:ArchiveClassesAtExit="$archive" -jar target/rushproxy.jar serve 2>target/rehearsal.log &
sidecar=$!
for _ in $(seq 100); do
    { exec 3<>"/dev/tcp/$host/18081"; } 2>/dev/null && break
    kill -0 "$sidecar" 2>/dev/null || break
    sleep 0.1
done
if { true >&3; } 2>/dev/null; then
    for i in $(seq 20); do
        printf 'POST /api/%s HTTP/1.1\r\nHost: a\r\nX-Txn: %s\r\nX-Lane: c\r\nX-Org: t\r\nX-Remaining-Ms: 300\r\nContent-Length: 2\r\n\r\nab' "$i" "$i" >&3 2>/dev/null
        IFS= read -r -t 2 _ <&3
        while IFS= read -r -t 2 line <&3 && [ "$line" != $'\r' ]; do :; done
    done
    exec 3>&-
fi
kill -TERM "$sidecar" 2>/dev/null
wait "$sidecar"
[ -f "$archive" ] || echo "no class archive for the sidecar: it will start slower" >&2
exit 0
