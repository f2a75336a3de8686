package rushproxy.sidecar;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetricProvider;

/** What the process uses of the heap and of the memory for network buffers outside it. */
final class MemoryUsage {
    private static final int BYTES_PER_MB = 1 << 20;

    private MemoryUsage() {}

    static String describe() {
        Runtime runtime = Runtime.getRuntime();
        long usedBytes = runtime.totalMemory() - runtime.freeMemory();
        return "heap " + usedBytes / BYTES_PER_MB + " of " + runtime.maxMemory() / BYTES_PER_MB + " MB, direct "
                + directBytes() / BYTES_PER_MB + " MB";
    }

    private static long directBytes() {
        return ByteBufAllocator.DEFAULT instanceof ByteBufAllocatorMetricProvider provider
                ? provider.metric().usedDirectMemory()
                : 0;
    }
}
