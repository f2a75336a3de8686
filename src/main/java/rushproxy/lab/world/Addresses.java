package rushproxy.lab.world;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;

/**
 * The loopback addresses of one laboratory run: a block {@code 127.B.0.0/16} of its own, so that several runs can share a machine. A
 * listening socket in the block reserves it until {@link #close} or the end of the process.
 */
public final class Addresses implements AutoCloseable {
    private static final int FIRST_BLOCK = 200;
    private static final int BLOCKS = 50;
    private static final int LOCK_PORT = 7999;
    /** First rows of 256 addresses; eight rows for each purpose allow 2,047 nodes. Servers and peers of a node differ by port. */
    private static final int NODE_ROW = 0;

    private static final int UPSTREAM_ROW = 8;
    private static final int DISCOVERY_ROW = 16;
    private static final int PEER_ROW = 24;
    private static final int FIRST_SERVER_PORT = 10_000;
    private static final int FIRST_PEER_PORT = 20_000;
    private static final int LISTEN_PORT = 8081;
    private static final int FIRST_ADMIN_PORT = 9901;
    private static final int GOSSIP_PORT = 7946;
    private static final int FIRST_DISCOVERY_PORT = 8500;

    private final int block;
    private final ServerSocket lock;

    private Addresses(int block, ServerSocket lock) {
        this.block = block;
        this.lock = lock;
    }

    /** Reserves the first free block. */
    public static Addresses claim() throws IOException {
        for (int b = FIRST_BLOCK; b < FIRST_BLOCK + BLOCKS; b++) {
            try {
                return new Addresses(b, new ServerSocket(LOCK_PORT, 1, InetAddress.getByName("127." + b + ".255.1")));
            } catch (IOException e) {
                // Reserved by another run: try the next block.
            }
        }
        throw new IOException("all " + BLOCKS + " loopback address blocks from 127." + FIRST_BLOCK
                + ".0.0 on are in use by other laboratory runs");
    }

    /** The node's address in the row; the address that ends in .0.0 is not used. */
    private InetSocketAddress addressInRow(int row, int node, int port) {
        try {
            return new InetSocketAddress(
                    InetAddress.getByAddress(
                            new byte[] {127, (byte) block, (byte) (row + (node + 1 >> 8)), (byte) (node + 1)}),
                    port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The address at which the node accepts clients. */
    public InetSocketAddress listen(int node) {
        return addressInRow(NODE_ROW, node, LISTEN_PORT);
    }

    /** The admin address of a node's process; two processes that run side by side during a replacement have different ports. */
    public InetSocketAddress admin(int node, int process) {
        return addressInRow(NODE_ROW, node, FIRST_ADMIN_PORT + process % 2);
    }

    public InetSocketAddress peerListen(int node) {
        return addressInRow(NODE_ROW, node, GOSSIP_PORT);
    }

    /** The upstream's address for this node: each pair has its own address and therefore its own simulated link. */
    public InetSocketAddress upstream(int node, int server) {
        return addressInRow(UPSTREAM_ROW, node, FIRST_SERVER_PORT + server);
    }

    /** The discovery agent on the node's machine after {@code moves} changes of its address. */
    public InetSocketAddress discovery(int node, int moves) {
        return addressInRow(DISCOVERY_ROW, node, FIRST_DISCOVERY_PORT + moves);
    }

    /** The relay's address by which {@code from} exchanges datagrams with {@code to}, in both directions. */
    public InetSocketAddress peer(int from, int to) {
        return addressInRow(PEER_ROW, from, FIRST_PEER_PORT + to);
    }

    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    @Override
    public void close() throws IOException {
        lock.close();
    }
}
