package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes the responses of upstreams and tells whether there are surplus bytes after the last one. Rejects some heads that are invalid
 * in HTTP/1.1 but that Netty accepts.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {
    private static final int STATUS_DIGITS = 3;

    private boolean isInResponse;

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        isInResponse = true;
        if (!initialLine[0].startsWith("HTTP/1.") || !isStatus(initialLine[1])) {
            throw new IllegalArgumentException("invalid HTTP/1.1 status line");
        }
        return super.createMessage(initialLine);
    }

    private static boolean isStatus(String text) {
        return text.length() == STATUS_DIGITS && text.charAt(0) != '0' && NumberSyntax.isDecimal(text, STATUS_DIGITS);
    }

    /** Requires a colon right after the name: a line with whitespace or nothing in its place must not set the content length. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("header name without a colon");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        super.decode(ctx, in, out);
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            isInResponse = false;
        }
    }

    /** Whether the last response is complete and no further bytes are buffered. */
    boolean isBetweenResponses() {
        return !isInResponse && actualReadableBytes() == 0;
    }
}
