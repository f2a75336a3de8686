package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;

/**
 * Ends a connection in the order in which a slow client loses nothing: first the output, whose end follows the last
 * answer, then, once the client has ended its side as well, the socket. A plain close resets the connection if bytes lie
 * unread or come later, and what the client has not fetched of its answer goes with it (RFC 9112, section 9.6). What is
 * read meanwhile is discarded: it came after the end, and its client sends it again elsewhere.
 */
final class LingeringClose extends ChannelInboundHandlerAdapter {
    /** The client's end is waited for so long; the answers of this program fit into the kernel's buffers by then. */
    static final long MOST_US = 1_000_000;
    /** No more than this is read and discarded: the rest of the longest body that a client may be sending. */
    private static final long MOST_BYTES = Headers.MAX_BODY;

    private long discarded;

    private LingeringClose() {}

    /** Nothing may be waiting to be written. The socket is closed after {@code mostUs} at the latest. */
    static void begin(TcpConnection channel, long mostUs) {
        if (!channel.isActive() || mostUs <= 0) {
            channel.close();
            return;
        }
        channel.pipeline().addFirst(new LingeringClose());
        channel.shutdownOutput().addListener(ended -> {
            if (!ended.isSuccess()) {
                channel.shutdownOutputWithRetry();
            }
        });
        channel.config().setAutoRead(true);
        var end = channel.eventLoop()
                .schedule(
                        () -> {
                            RequestLog.closes(channel, CloseReason.LINGERED);
                            channel.close();
                        },
                        mostUs,
                        TimeUnit.MICROSECONDS);
        channel.closeFuture().addListener(f -> end.cancel(false));
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        discarded += ((ByteBuf) message).readableBytes();
        ReferenceCountUtil.release(message);
        if (discarded > MOST_BYTES) {
            RequestLog.closes(ctx.channel(), CloseReason.SENT_TOO_MUCH);
            ctx.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
