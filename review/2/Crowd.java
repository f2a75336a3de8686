import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** A crowd stops half way in its heads and stays; meanwhile the application sends requests. */
final class Crowd {
    private static final int CROWD = 400;
    private static final int REMAINING_MS = 1_250;
    /** After its time a request has half a second, and every limit 50 ms more on sockets. */
    private static final int LOST_AFTER_MS = REMAINING_MS + 500 + 50;

    private static final AtomicInteger sent = new AtomicInteger();
    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger served = new AtomicInteger();
    private static final AtomicInteger shut = new AtomicInteger();
    private static final AtomicInteger outside = new AtomicInteger();
    private static final AtomicInteger lost = new AtomicInteger();

    public static void main(String[] args) {
        Rig.play(args[0], Crowd::play);
    }

    private static void play() throws Exception {
        Discovery discovery = new Discovery();
        for (int i = 0; i < 4; i++) {
            Upstream u = new Upstream("s-" + i, 40, 80).start();
            discovery.set(u.name, u.address(), i / 2, "Ready");
        }
        InetSocketAddress listen = Rig.freeAddress();
        Process sidecar = Rig.startSidecar("n0", listen, discovery.start().address(), null, discovery.whole(), 96, 512);
        Rig.awaitReady(listen, sidecar);
        Rig.sleep(1_000);
        List<Rig.Conn> crowd = new ArrayList<>();
        if (Rig.TROUBLE) {
            for (int i = 0; i < CROWD; i++) {
                Rig.Conn c = new Rig.Conn(listen, 2_000);
                c.send("POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Txn: half" + i + "\r\nX-La");
                crowd.add(c);
                long at = System.nanoTime();
                int number = i;
                Rig.spawn(() -> {
                    String end;
                    try {
                        c.socket.setSoTimeout(20_000);
                        Rig.Message m = c.read();
                        end = m == null ? "closed" : "status " + m.status;
                    } catch (IOException e) {
                        end = e.getMessage();
                    }
                    Rig.say("the half head " + number + " got after " + (System.nanoTime() - at) / 1_000_000 + " ms: "
                            + end);
                    c.close();
                });
            }
            Rig.say(CROWD + " clients have stopped within their heads");
        }
        int requests = 200;
        CountDownLatch done = new CountDownLatch(requests);
        for (int i = 0; i < requests; i++) {
            Rig.spawn(() -> {
                request(listen);
                done.countDown();
            });
            Rig.sleep(50);
        }
        done.await();
        String sum = sent + " sent, " + answered + " answered (" + served + " served), " + shut
                + " shut without an answer, " + outside + " not let in, " + lost + " without an answer " + LOST_AFTER_MS
                + " ms after their last byte";
        Rig.say(Rig.log("n0"));
        if (!sidecar.isAlive()) {
            Rig.finish(Rig.VOID, "the sidecar ended; " + sum);
        }
        Rig.finish(lost.get() > 0 ? Rig.BROKEN : Rig.HELD, sum);
    }

    private static void request(InetSocketAddress listen) {
        String id = Requests.newId();
        Rig.Conn c;
        try {
            c = new Rig.Conn(listen, 1_000);
        } catch (IOException e) {
            outside.incrementAndGet();
            Rig.say("client " + id + " was not let in: " + e.getMessage());
            return;
        }
        try (c) {
            c.socket.setSoTimeout(LOST_AFTER_MS);
            c.send(Requests.unsafe(id, REMAINING_MS));
            sent.incrementAndGet();
            Rig.say("client sent " + id);
            Rig.Message m = c.read();
            if (m == null) {
                shut.incrementAndGet();
                Rig.say("client " + id + ": closed without an answer");
                return;
            }
            answered.incrementAndGet();
            served.addAndGet(m.status == 200 ? 1 : 0);
            Rig.say("client " + id + ": " + m.status + " " + m.body);
        } catch (SocketTimeoutException e) {
            lost.incrementAndGet();
            Rig.say("client " + id + ": LOST, nothing within " + LOST_AFTER_MS + " ms of its last byte");
        } catch (IOException e) {
            shut.incrementAndGet();
            Rig.say("client " + id + ": " + e.getMessage());
        }
    }
}
