package rushproxy.sidecar;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntFunction;

/** Many clients that each send the same kind of bytes as fast as they are taken, and then wait for an answer or a close. */
final class ClientCrowd implements AutoCloseable {
    private static final int READ_BYTES = 3_000;
    private static final long READ_INTERVAL_NANOS = 100_000_000;
    private static final int POLL_MS = 20;
    /** Between the requests of slow readers, so that their upstreams take them all. */
    private static final long CONNECT_INTERVAL_NANOS = 10_000_000;

    private static final class Member {
        final SocketChannel channel;
        final ByteBuffer output;
        final long connectedNanos = System.nanoTime();
        long lastReadNanos;

        Member(SocketChannel channel, byte[] message) {
            this.channel = channel;
            output = ByteBuffer.wrap(message);
        }
    }

    private final Selector selector = Selector.open();
    private final List<Member> members = new ArrayList<>();
    private final boolean readsSlowly;
    private final Thread thread = new Thread(this::run);
    private volatile boolean closed;
    private volatile int open;
    private volatile long longestMs;

    /** {@code readsSlowly}: reads 30 kB a second of its answer, to the end. */
    ClientCrowd(InetSocketAddress address, int count, boolean readsSlowly, IntFunction<byte[]> message)
            throws IOException {
        this.readsSlowly = readsSlowly;
        for (int i = 0; i < count; i++) {
            if (readsSlowly) {
                LockSupport.parkNanos(CONNECT_INTERVAL_NANOS);
            }
            SocketChannel channel = SocketChannel.open(address);
            channel.configureBlocking(false);
            Member member = new Member(channel, message.apply(i));
            members.add(member);
            channel.register(selector, SelectionKey.OP_WRITE | (readsSlowly ? 0 : SelectionKey.OP_READ), member);
        }
        open = count;
        thread.setDaemon(true);
        thread.start();
    }

    /** How many have neither an answer nor a close. */
    int open() {
        return open;
    }

    /** The longest time until an answer or a close. */
    long longestMs() {
        return longestMs;
    }

    private void run() {
        try {
            while (!closed) {
                selector.select(POLL_MS);
                for (SelectionKey key : selector.selectedKeys()) {
                    serve(key);
                }
                selector.selectedKeys().clear();
                if (readsSlowly) {
                    members.forEach(this::readSlowly);
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void serve(SelectionKey key) {
        Member member = (Member) key.attachment();
        try {
            if (key.isWritable()) {
                member.channel.write(member.output);
                if (!member.output.hasRemaining()) {
                    key.interestOpsAnd(~SelectionKey.OP_WRITE);
                }
            }
            if (key.isReadable()) {
                read(member, READ_BYTES);
            }
        } catch (IOException e) {
            end(member);
        }
    }

    private void readSlowly(Member member) {
        long now = System.nanoTime();
        if (member.channel.isOpen() && now - member.lastReadNanos >= READ_INTERVAL_NANOS) {
            member.lastReadNanos = now;
            try {
                read(member, READ_BYTES);
            } catch (IOException e) {
                end(member);
            }
        }
    }

    private void read(Member member, int bytes) throws IOException {
        int count = member.channel.read(ByteBuffer.allocate(bytes));
        if (count < 0 || count > 0 && !readsSlowly) {
            end(member);
        }
    }

    private void end(Member member) {
        if (member.channel.isOpen()) {
            open--;
            longestMs = Math.max(longestMs, (System.nanoTime() - member.connectedNanos) / 1_000_000);
            close(member);
        }
    }

    private static void close(Member member) {
        try {
            member.channel.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() throws Exception {
        closed = true;
        thread.join();
        members.forEach(ClientCrowd::close);
        selector.close();
    }
}
