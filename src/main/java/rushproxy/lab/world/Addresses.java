package rushproxy.lab.world;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;

/**
 * The loopback addresses of one laboratory: a block {@code 127.B.0.0/16} of its own, so that two may run at once on one
 * machine. The block is held by a listening socket in it until {@link #close}, or until the process ends in any way.
 */
public final class Addresses implements AutoCloseable {
    private static final int FIRST_BLOCK = 200;
    private static final int BLOCKS = 50;
    private static final int LOCK_PORT = 7999;
    /** Rows of 256 addresses, eight for each side of a node: 2,047 nodes. Servers and peers there are told apart by their ports. */
    private static final int NODE_ROW = 0;

    private static final int UPSTREAM_ROW = 8;
    private static final int DISCOVERY_ROW = 16;
    private static final int PEER_ROW = 24;
    private static final int FIRST_SERVER_PORT = 10_000;
    private static final int FIRST_PEER_PORT = 20_000;

    private final int block;
    private final ServerSocket lock;

    private Addresses(int block, ServerSocket lock) {
        this.block = block;
        this.lock = lock;
    }

    /** The first block that nobody holds. */
    public static Addresses claim() throws IOException {
        for (int b = FIRST_BLOCK; b < FIRST_BLOCK + BLOCKS; b++) {
            try {
                return new Addresses(b, new ServerSocket(LOCK_PORT, 1, InetAddress.getByName("127." + b + ".255.1")));
            } catch (IOException e) {
                // Another laboratory's.
            }
        }
        throw new IOException("all " + BLOCKS + " blocks of addresses from 127." + FIRST_BLOCK
                + ".0.0 on are held by other laboratories");
    }

    /** The node's address in one of its rows; .0.0 is nobody's. */
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

    /** Where a node's clients connect. */
    public InetSocketAddress listen(int node) {
        return addressInRow(NODE_ROW, node, 8081);
    }

    /** Where a node's operators connect; the process beside it in a replacement has the other one. */
    public InetSocketAddress admin(int node, int process) {
        return addressInRow(NODE_ROW, node, 9901 + process % 2);
    }

    public InetSocketAddress peerListen(int node) {
        return addressInRow(NODE_ROW, node, 7946);
    }

    /** The upstream as this node reaches it: each pair has its own address, and with it its own link. */
    public InetSocketAddress upstream(int node, int server) {
        return addressInRow(UPSTREAM_ROW, node, FIRST_SERVER_PORT + server);
    }

    /** The agent of discovery on the node's machine; {@code moves} counts its changes of address. */
    public InetSocketAddress discovery(int node, int moves) {
        return addressInRow(DISCOVERY_ROW, node, 8500 + moves);
    }

    /** Where {@code from} sends what is meant for {@code to}; what comes from {@code to} comes from here too. */
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
