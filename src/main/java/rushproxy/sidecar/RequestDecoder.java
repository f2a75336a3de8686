package rushproxy.sidecar;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes requests, and rejects those whose end is ambiguous: the next hop must not see another end than this one.
 * Netty accepts them and takes the more likely reading.
 */
final class RequestDecoder extends HttpRequestDecoder {
    /** Rejects anything between a header's name and its colon, which other parsers might ignore. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("header name is not followed by a colon");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Content-Length and Transfer-Encoding");
    }

    /** Whether the end of the body is given by exactly one length or by chunks. */
    static boolean hasUnambiguousFraming(HttpMessage message) {
        HttpHeaders headers = message.headers();
        List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return encodings.isEmpty()
                || encodings.size() == 1
                        && encodings.get(0).equalsIgnoreCase("chunked")
                        && message.protocolVersion().equals(HttpVersion.HTTP_1_1);
    }
}
