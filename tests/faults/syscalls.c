/* Makes system calls of one process fail as Linux documents; loaded with LD_PRELOAD.
 *
 * FAULT_FILE names a file with one 64-bit number for each fault: a probability in millionths, or for
 * WALL_CLOCK_STEP the number of nanoseconds by which CLOCK_REALTIME is wrong. The file is mapped, so a test
 * changes the faults of a running process. The order of the numbers is that of Fault in shim.py.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

enum fault {
    ACCEPT, SOCKET, CONNECT, WAIT, SHORT_READ, SHORT_WRITE, BROKEN_CONNECTION,
    FILE_WRITE, FILE_SHORT_WRITE, FILE_OTHER, KILL_IN_FILE_WRITE, WALL_CLOCK_STEP, FAULT_COUNT
};

static volatile int64_t *faults;
static unsigned int seed;

__attribute__((constructor)) static void map_faults(void) {
    const char *path = getenv("FAULT_FILE");
    int fd = path ? open(path, O_RDONLY) : -1;
    if (fd < 0)
        return;
    void *mapped = mmap(NULL, FAULT_COUNT * sizeof(int64_t), PROT_READ, MAP_SHARED, fd, 0);
    close(fd);
    if (mapped != MAP_FAILED)
        faults = mapped;
    seed = (unsigned int)getpid();
}

static int strikes(enum fault fault) {
    return faults && faults[fault] > 0 && rand_r(&seed) % 1000000 < faults[fault];
}

static int fail(const int *errors, int count) {
    errno = errors[rand_r(&seed) % count];
    return -1;
}

#define FAIL(...) fail((const int[]){__VA_ARGS__}, sizeof((const int[]){__VA_ARGS__}) / sizeof(int))
#define NEXT(name) \
    static __typeof__(&name) next; \
    if (!next) next = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

static int is_file(int fd) {
    struct stat status;
    return fd > 2 && fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
}

static int is_tcp(int fd) {
    int domain = 0;
    socklen_t length = sizeof domain;
    return getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) == 0 && domain == AF_INET;
}

static int breaks(int fd) {
    if (!strikes(BROKEN_CONNECTION) || !is_tcp(fd))
        return 0;
    shutdown(fd, SHUT_RDWR);
    return FAIL(ETIMEDOUT, EHOSTUNREACH, ECONNRESET);
}

static size_t shortened(enum fault fault, size_t size) {
    return size > 1 && strikes(fault) ? 1 + (size_t)rand_r(&seed) % (size - 1) : size;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    NEXT(accept4);
    if (strikes(ACCEPT))
        return FAIL(ECONNABORTED, ENFILE, ENOBUFS, EMFILE, EPROTO);
    return next(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    NEXT(socket);
    if (domain == AF_INET && strikes(SOCKET))
        return FAIL(ENFILE, ENOBUFS, EMFILE, ENOMEM);
    return next(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    NEXT(connect);
    if (strikes(CONNECT))
        return FAIL(EADDRNOTAVAIL, ENETUNREACH, ENOBUFS);
    return next(fd, address, length);
}

int epoll_pwait(int fd, struct epoll_event *events, int count, int timeout, const sigset_t *mask) {
    NEXT(epoll_pwait);
    if (strikes(WAIT))
        return FAIL(EINTR);
    return next(fd, events, count, timeout, mask);
}

int epoll_wait(int fd, struct epoll_event *events, int count, int timeout) {
    NEXT(epoll_wait);
    if (strikes(WAIT))
        return FAIL(EINTR);
    return next(fd, events, count, timeout);
}

ssize_t recv(int fd, void *buffer, size_t size, int flags) {
    NEXT(recv);
    if (strikes(WAIT))
        return FAIL(EINTR);
    if (breaks(fd))
        return -1;
    return next(fd, buffer, strikes(SHORT_READ) ? 1 + (size_t)rand_r(&seed) % 8 % size : size, flags);
}

ssize_t send(int fd, const void *buffer, size_t size, int flags) {
    NEXT(send);
    if (strikes(WAIT))
        return FAIL(EINTR, EAGAIN);
    return breaks(fd) ? -1 : next(fd, buffer, shortened(SHORT_WRITE, size), flags);
}

ssize_t write(int fd, const void *buffer, size_t size) {
    NEXT(write);
    if (!is_file(fd))
        return next(fd, buffer, size);
    if (strikes(FILE_WRITE))
        return FAIL(ENOSPC, EIO);
    if (strikes(KILL_IN_FILE_WRITE)) {
        next(fd, buffer, 1 + (size_t)rand_r(&seed) % size);
        kill(getpid(), SIGKILL);
    }
    return next(fd, buffer, shortened(FILE_SHORT_WRITE, size));
}

int fsync(int fd) {
    NEXT(fsync);
    return strikes(FILE_OTHER) ? FAIL(EIO, ENOSPC) : next(fd);
}

int fdatasync(int fd) {
    NEXT(fdatasync);
    return strikes(FILE_OTHER) ? FAIL(EIO, ENOSPC) : next(fd);
}

int ftruncate(int fd, off_t length) {
    NEXT(ftruncate);
    return strikes(FILE_OTHER) ? FAIL(EIO) : next(fd, length);
}

int ftruncate64(int fd, off_t length) {
    NEXT(ftruncate64);
    return strikes(FILE_OTHER) ? FAIL(EIO) : next(fd, length);
}

int rename(const char *old_path, const char *new_path) {
    NEXT(rename);
    return strikes(FILE_OTHER) ? FAIL(EIO, ENOSPC) : next(old_path, new_path);
}

static int fails_to_open(int flags) {
    return (flags & O_CREAT) && strikes(FILE_OTHER);
}

int open(const char *path, int flags, ...) {
    static int (*next)(const char *, int, ...);
    if (!next)
        next = (int (*)(const char *, int, ...))dlsym(RTLD_NEXT, "open");
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = flags & O_CREAT ? va_arg(arguments, mode_t) : 0;
    va_end(arguments);
    return fails_to_open(flags) ? FAIL(ENOSPC, EIO) : next(path, flags, mode);
}

int open64(const char *path, int flags, ...) {
    static int (*next)(const char *, int, ...);
    if (!next)
        next = (int (*)(const char *, int, ...))dlsym(RTLD_NEXT, "open64");
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = flags & O_CREAT ? va_arg(arguments, mode_t) : 0;
    va_end(arguments);
    return fails_to_open(flags) ? FAIL(ENOSPC, EIO) : next(path, flags, mode);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    NEXT(clock_gettime);
    int result = next(clock, now);
    if (result == 0 && clock == CLOCK_REALTIME && faults && faults[WALL_CLOCK_STEP]) {
        int64_t total = (int64_t)now->tv_sec * 1000000000 + now->tv_nsec + faults[WALL_CLOCK_STEP];
        now->tv_sec = total / 1000000000;
        now->tv_nsec = total % 1000000000;
    }
    return result;
}
