/*
 * Faults of the system for one process, loaded by LD_PRELOAD. What fails and how often is read at each call from a small file
 * that the laboratory maps too (FAULTS_CONTROL), so that faults begin and end while the process runs.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <poll.h>
#include <pthread.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* Chances are of a million. The order is that of the laboratory's class Faults. */
struct control {
    int64_t wall_offset_ns;
    int64_t seed;
    int32_t accept_fails;
    int32_t socket_fails;
    int32_t connect_fails;
    int32_t wait_interrupted;
    int32_t read_interrupted;
    int32_t read_short;
    int32_t write_short;
    int32_t write_fails; /* of files */
    int32_t sync_fails;
    int32_t rename_fails;
    int32_t established_fails; /* a connection that was dialled breaks: its read gives ETIMEDOUT or EHOSTUNREACH */
    int32_t kill_in_write; /* of files: a part is written, and the process is killed */
    int32_t option_fails; /* setsockopt */
    int32_t name_fails; /* getsockname */
    int32_t register_fails; /* epoll_ctl that adds or changes */
    int32_t read_fails; /* of sockets, for want of memory */
    int32_t send_fails; /* a write to a socket, for want of buffers or memory */
    int32_t shutdown_fails; /* of one side of a connection */
};

static volatile struct control *control;
static struct control none;
static __thread uint64_t state;

__attribute__((constructor)) static void begin(void) {
    const char *path = getenv("FAULTS_CONTROL");
    control = &none;
    if (path == NULL) return;
    int fd = open(path, O_RDONLY | O_CLOEXEC);
    if (fd < 0) return;
    void *p = mmap(NULL, sizeof(struct control), PROT_READ, MAP_SHARED, fd, 0);
    close(fd);
    if (p != MAP_FAILED) control = p;
}

static uint64_t next(void) {
    if (state == 0) state = ((uint64_t) control->seed * 0x9e3779b97f4a7c15ull ^ (uint64_t) syscall(SYS_gettid) << 20) | 1;
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return state;
}

static int chance(int32_t of_a_million) {
    return of_a_million > 0 && (int32_t) (next() % 1000000) < of_a_million;
}

static int fail(const int *errors, int n) {
    errno = errors[next() % n];
    return -1;
}

#define REAL(name) static __typeof__(&name) real; if (!real) real = (__typeof__(&name)) dlsym(RTLD_NEXT, #name)

static int is_socket(int fd) {
    struct stat s;
    return fstat(fd, &s) == 0 && S_ISSOCK(s.st_mode);
}

static int is_file(int fd) {
    struct stat s;
    return fd > 2 && fstat(fd, &s) == 0 && S_ISREG(s.st_mode);
}

int clock_gettime(clockid_t id, struct timespec *t) {
    REAL(clock_gettime);
    int r = real(id, t);
    if (r == 0 && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE) && control->wall_offset_ns != 0) {
        int64_t ns = t->tv_sec * 1000000000ll + t->tv_nsec + control->wall_offset_ns;
        t->tv_sec = ns / 1000000000ll;
        t->tv_nsec = ns % 1000000000ll;
    }
    return r;
}

int gettimeofday(struct timeval *t, void *zone) {
    struct timespec now;
    (void) zone;
    clock_gettime(CLOCK_REALTIME, &now);
    t->tv_sec = now.tv_sec;
    t->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *t) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (t) *t = now.tv_sec;
    return now.tv_sec;
}

static const int accept_errors[] = {ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EPERM, EPROTO, EINTR};
#define ACCEPT_ERRORS (int) (sizeof accept_errors / sizeof *accept_errors)

int accept(int fd, struct sockaddr *a, socklen_t *n) {
    REAL(accept);
    return chance(control->accept_fails) ? fail(accept_errors, ACCEPT_ERRORS) : real(fd, a, n);
}

int accept4(int fd, struct sockaddr *a, socklen_t *n, int flags) {
    REAL(accept4);
    return chance(control->accept_fails) ? fail(accept_errors, ACCEPT_ERRORS) : real(fd, a, n, flags);
}

int socket(int domain, int type, int protocol) {
    static const int errors[] = {ENFILE, EMFILE, ENOBUFS, ENOMEM};
    REAL(socket);
    return chance(control->socket_fails) ? fail(errors, 4) : real(domain, type, protocol);
}

/* Which descriptors were dialled: only those break, so that no client is left with a connection that it holds for whole. */
#define MOST_DESCRIPTORS 65536
static volatile unsigned char dialled[MOST_DESCRIPTORS];

static void mark_dialled(int fd, int is) {
    if (fd >= 0 && fd < MOST_DESCRIPTORS) dialled[fd] = is;
}

static int breaks(int fd) {
    return fd >= 0 && fd < MOST_DESCRIPTORS && dialled[fd] && chance(control->established_fails);
}

int connect(int fd, const struct sockaddr *a, socklen_t n) {
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH};
    REAL(connect);
    mark_dialled(fd, 1);
    return chance(control->connect_fails) ? fail(errors, 2) : real(fd, a, n);
}

int epoll_wait(int fd, struct epoll_event *e, int n, int timeout) {
    REAL(epoll_wait);
    if (chance(control->wait_interrupted)) { errno = EINTR; return -1; }
    return real(fd, e, n, timeout);
}

int poll(struct pollfd *p, nfds_t n, int timeout) {
    REAL(poll);
    if (chance(control->wait_interrupted)) { errno = EINTR; return -1; }
    return real(p, n, timeout);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t n) {
    static const int errors[] = {ENOBUFS, ENOMEM};
    REAL(setsockopt);
    return chance(control->option_fails) ? fail(errors, 2) : real(fd, level, name, value, n);
}

int shutdown(int fd, int how) {
    static const int errors[] = {ENOBUFS, ENOMEM};
    REAL(shutdown);
    return chance(control->shutdown_fails) ? fail(errors, 2) : real(fd, how);
}

int getsockname(int fd, struct sockaddr *a, socklen_t *n) {
    static const int errors[] = {ENOBUFS};
    REAL(getsockname);
    return chance(control->name_fails) ? fail(errors, 1) : real(fd, a, n);
}

int epoll_ctl(int set, int op, int fd, struct epoll_event *e) {
    static const int errors[] = {ENOMEM, ENOSPC};
    REAL(epoll_ctl);
    return op != EPOLL_CTL_DEL && chance(control->register_fails) ? fail(errors, 2) : real(set, op, fd, e);
}

static int read_fails(int fd) {
    static const int errors[] = {ETIMEDOUT, EHOSTUNREACH};
    static const int momentary[] = {ENOMEM};
    if ((control->read_interrupted | control->established_fails | control->read_fails) == 0 || !is_socket(fd)) return 0;
    if (chance(control->read_interrupted)) { errno = EINTR; return -1; }
    if (chance(control->read_fails)) return fail(momentary, 1);
    if (!breaks(fd)) return 0;
    REAL(shutdown);
    real(fd, SHUT_RDWR);
    return fail(errors, 2);
}

static int send_fails(int fd) {
    static const int errors[] = {ENOBUFS, ENOMEM};
    return control->send_fails > 0 && is_socket(fd) && chance(control->send_fails) ? fail(errors, 2) : 0;
}

int close(int fd) {
    REAL(close);
    mark_dialled(fd, 0);
    return real(fd);
}

static size_t shorter(int fd, size_t n, int32_t of_a_million) {
    return n > 1 && chance(of_a_million) && is_socket(fd) ? 1 + next() % (n - 1) : n;
}

ssize_t read(int fd, void *b, size_t n) {
    REAL(read);
    return read_fails(fd) ? -1 : real(fd, b, shorter(fd, n, control->read_short));
}

ssize_t recv(int fd, void *b, size_t n, int flags) {
    REAL(recv);
    return read_fails(fd) ? -1 : real(fd, b, shorter(fd, n, control->read_short), flags);
}

static int file_fails(int fd, int32_t of_a_million) {
    static const int errors[] = {ENOSPC, EIO};
    return of_a_million > 0 && is_file(fd) && chance(of_a_million) ? fail(errors, 2) : 0;
}

ssize_t write(int fd, const void *b, size_t n) {
    REAL(write);
    if (control->kill_in_write > 0 && is_file(fd) && chance(control->kill_in_write)) {
        real(fd, b, n / 2);
        kill(getpid(), 9);
    }
    if (file_fails(fd, control->write_fails) || send_fails(fd)) return -1;
    return real(fd, b, shorter(fd, n, control->write_short));
}

ssize_t writev(int fd, const struct iovec *v, int n) {
    REAL(writev);
    if (send_fails(fd)) return -1;
    if (n > 0 && v[0].iov_len > 1 && chance(control->write_short) && is_socket(fd)) return write(fd, v[0].iov_base, v[0].iov_len / 2);
    return real(fd, v, n);
}

int fsync(int fd) {
    REAL(fsync);
    return file_fails(fd, control->sync_fails) ? -1 : real(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    return file_fails(fd, control->sync_fails) ? -1 : real(fd);
}

int rename(const char *from, const char *to) {
    static const int errors[] = {ENOSPC, EIO};
    REAL(rename);
    return chance(control->rename_fails) ? fail(errors, 2) : real(from, to);
}
