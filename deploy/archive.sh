#!/usr/bin/env bash
# Makes the class archive that `run` starts from: a sidecar whose upstreams, discovery and fleet are itself is given a
# few requests and a reload, so that what serving needs is loaded, and is stopped. Then the laboratory plays a fleet that
# meets each kind of fault once: what is loaded first when a server is lost would be loaded by all sidecars of a fleet in
# the same second. Of the classes that they have loaded an archive is made that holds the runtime's as well: it costs a
# start less than one on top of the runtime's own archive.
# Without an archive `run` only starts slower, so nothing here fails the build.
cd "$(dirname "$0")/.." || exit 1
# The sidecar may be gone while it is written to: that is no reason for this shell to go too.
trap '' PIPE
# The native library, of which one call is used, lies beside the jar: no sidecar has a folder to unpack it to.
rm -rf target/native
mkdir -p target/native
(cd target/native && jar xf ../rushproxy.jar META-INF/native && mv META-INF/native/*.so . && rm -r META-INF) 2>/dev/null
archive=target/sidecar.jsa
classes=target/sidecar.classes
rm -f "$archive" "$classes"
# As `run` says it, but for the archive: other properties would have other classes loaded.
options=$(sed -n 's/^run = "exec java \(.*\) -jar .*/\1/p' deploy/balancer.toml | sed 's/-XX:SharedArchiveFile=[^ ]* -Xshare:auto//')
# An address of this build's own: two may run at once on one machine.
host=127.83.$((RANDOM % 250 + 1)).$((RANDOM % 250 + 1))
sed "s/127\.83\.41\.7/$host/g" deploy/rehearsal.json > target/rehearsal.json
# shellcheck disable=SC2086
BALANCER_CONFIG=target/rehearsal.json java $options \
    -XX:DumpLoadedClassList="$classes" -jar target/rushproxy.jar serve 2>target/rehearsal.log &
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
    # A reload counts only for a process that serves: it has answered.
    kill -HUP "$sidecar" 2>/dev/null
    sleep 1
fi
kill -TERM "$sidecar" 2>/dev/null
wait "$sidecar"
# A checkout of its own, whose sidecars write down what they load.
fleet=target/rehearsal
rm -rf "$fleet"
mkdir -p "$fleet/deploy"
ln -s ../../target "$fleet/target"
echo "run = \"exec java $options -XX:DumpLoadedClassList=fleet-%p.classes -jar target/rushproxy.jar serve\"" > "$fleet/deploy/balancer.toml"
# It lasts 12 s, and ends its sidecars when it is ended itself.
(cd "$fleet" && timeout -k 30 120 java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar target/rushproxy.jar \
    lab run --quiet --out played ../../deploy/rehearsal.toml) > target/rehearsal-fleet.log 2>&1
lists=()
for list in "$classes" "$fleet"/fleet-*.classes; do
    [ -f "$list" ] && lists+=("$list")
done
[ ${#lists[@]} -gt 1 ] || echo "the rehearsal's fleet loaded nothing: a sidecar's first loss will take longer" >&2
# Numbers of classes are each process's own. Two calls may have the same lambda, and need one each.
awk 'FNR == 1 { split("", here) } { sub(/ id: .*/, "") } ++here[$0] > all[$0] { all[$0]++; print }' \
    "${lists[@]}" < /dev/null > "$classes.all"
# A list that was cut off, as by a kill, may not be readable: then one sidecar's has to do.
for list in "$classes.all" "$classes"; do
    # The heap's bounds are those of a sidecar that serves, too small for all classes at once.
    # shellcheck disable=SC2086
    [ -s "$list" ] && java $(echo "$options" | sed 's/-Xms[^ ]*//; s/-Xmx[^ ]*//; s/-XX:MaxMetaspaceSize=[^ ]*//') \
        -Xshare:dump -XX:SharedClassListFile="$list" -XX:SharedArchiveFile="$archive" \
        -cp target/rushproxy.jar > target/archive.log 2>&1
    [ -f "$archive" ] && break
done
[ -f "$archive" ] || echo "no class archive for the sidecar: it will start slower" >&2
exit 0
