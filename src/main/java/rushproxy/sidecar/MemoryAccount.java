package rushproxy.sidecar;

/** Counts memory that is in use. */
interface MemoryAccount {
    /** Counts bytes that are needed, even beyond the limit. */
    void take(int bytes);

    /** Gives back bytes that were reserved or taken. */
    void release(int bytes);
}
