package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection so that a slow client loses nothing: shuts down the output behind the last response, waits until
 * the client has closed its side, and then closes the socket. A plain close resets the connection if bytes are unread
 * or arrive later, and the client loses what it has not read of its response (RFC 9112, section 9.6). Input that
 * arrives meanwhile is discarded: it came after the end of the output, and its client sends it again on another
 * connection.
 */
final class LingeringClose extends ChannelInboundHandlerAdapter {
    /** Longest wait for the client to close its side. By then all responses fit into the kernel's buffers. */
    static final long MAX_LINGER_US = 1_000_000;
    /** Maximum input that is discarded: the rest of the longest body that a client may be sending. */
    private static final long MAX_DISCARDED_BYTES = Headers.MAX_BODY_BYTES;

    private long discardedBytes;

    private LingeringClose() {}

    /** Starts the close. No write may be pending. The socket is closed after {@code maxWaitUs} at the latest. */
    static void start(TcpConnection channel, long maxWaitUs) {
        if (!channel.isActive() || maxWaitUs <= 0) {
            channel.close();
            return;
        }
        channel.pipeline().addFirst(new LingeringClose());
        channel.shutdownOutput().addListener(shutdown -> {
            if (!shutdown.isSuccess()) {
                channel.shutdownOutputWithRetry();
            }
        });
        channel.config().setAutoRead(true);
        var timeout = channel.eventLoop()
                .schedule(
                        () -> {
                            RequestLog.recordClose(channel, CloseReason.LINGERED);
                            channel.close();
                        },
                        maxWaitUs,
                        TimeUnit.MICROSECONDS);
        channel.closeFuture().addListener(f -> timeout.cancel(false));
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        discardedBytes += ((ByteBuf) message).readableBytes();
        ReferenceCountUtil.release(message);
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            RequestLog.recordClose(ctx.channel(), CloseReason.SENT_TOO_MUCH);
            ctx.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
