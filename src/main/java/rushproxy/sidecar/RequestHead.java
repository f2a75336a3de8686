package rushproxy.sidecar;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.cookie.Cookie;
import io.netty.handler.codec.http.cookie.ServerCookieDecoder;
import java.util.Optional;

/** The parsed head of a client's request. */
record RequestHead(
        String id,
        String requestClass,
        long remainingUs,
        long estimateUs,
        long key,
        String tenant,
        boolean resent,
        String idempotencyKey) {
    private static final int MAX_DIGITS = 9;
    private static final int MAX_KEY_DIGITS = 16;
    private static final int KEY_BITS = 53;
    private static final long NO_KEY = -1;

    /** Parses a head; empty if it is not a valid request of the protocol. */
    static Optional<RequestHead> parse(HttpRequest message) {
        HttpHeaders headers = message.headers();
        String id = headers.get(Headers.REQUEST_ID);
        String requestClass = headers.get(Headers.CLASS);
        long remainingMs = parseDecimal(headers.get(Headers.REMAINING_MS));
        boolean methodAllowed =
                message.method().equals(HttpMethod.GET) || message.method().equals(HttpMethod.POST);
        if (id == null || id.isEmpty() || requestClass == null || remainingMs <= 0 || !methodAllowed) {
            return Optional.empty();
        }
        return Optional.of(new RequestHead(
                id,
                requestClass,
                remainingMs * 1000,
                Math.max(0, parseDecimal(headers.get(Headers.ESTIMATE))),
                parseKey(headers.get(HttpHeaderNames.COOKIE)),
                headers.get(Headers.TENANT),
                "1".equals(headers.get(Headers.RESENT)),
                headers.get(Headers.IDEMPOTENCY_KEY)));
    }

    /** How many characters its texts have. */
    int textBytes() {
        return id.length() + requestClass.length() + lengthOf(tenant) + lengthOf(idempotencyKey);
    }

    private static int lengthOf(String text) {
        return text == null ? 0 : text.length();
    }

    /** Parses a non-negative integer of at most nine digits; -1 if there is none. */
    private static long parseDecimal(String text) {
        return text != null && NumberSyntax.isDecimal(text, MAX_DIGITS) ? Long.parseLong(text) : -1;
    }

    private static long parseKey(String cookies) {
        if (cookies == null) {
            return NO_KEY;
        }
        for (Cookie cookie : ServerCookieDecoder.LAX.decode(cookies)) {
            if (cookie.name().equals(Headers.KEY_COOKIE)) {
                return parseHexadecimal(cookie.value()) & (1L << KEY_BITS) - 1;
            }
        }
        return NO_KEY;
    }

    private static long parseHexadecimal(String text) {
        return NumberSyntax.isHexadecimal(text, MAX_KEY_DIGITS) ? Long.parseUnsignedLong(text, 16) : text.hashCode();
    }
}
