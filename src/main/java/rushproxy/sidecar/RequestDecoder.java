package rushproxy.sidecar;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes requests, and fails where the end of one could be read in two ways: the next hop must not see another end than
 * this one. Netty takes the more likely of two readings.
 */
final class RequestDecoder extends HttpRequestDecoder {
    /** A name ends at its colon: what else stands there may name a length to somebody else. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("no colon after a header's name");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both a length and chunks");
    }

    /** Whether a body, if there is one, ends where its length or its chunks say. */
    static boolean hasUnambiguousFraming(HttpMessage message) {
        HttpHeaders h = message.headers();
        List<String> coded = h.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return coded.isEmpty()
                || coded.size() == 1
                        && coded.get(0).equalsIgnoreCase("chunked")
                        && message.protocolVersion().equals(HttpVersion.HTTP_1_1);
    }
}
