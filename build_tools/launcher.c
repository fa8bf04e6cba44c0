/*
 * Launcher of the single-file executable.
 *
 * The executable consists of this program, an archive and a trailer. The
 * launcher extracts the archive into a directory named after the user and the
 * checksum of the archive, unless that directory exists, and replaces itself
 * with the extracted program by execv. The process id stays the same and no
 * other process is started.
 *
 * Archive: for each file its path length, mode and size (three 64-bit
 * little-endian integers), the path and the content.
 * Trailer: length of the archive in bytes (64-bit little-endian integer) and
 * checksum (16 hexadecimal digits).
 */
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define TRAILER_SIZE 24
#define CHECKSUM_SIZE 16
#define PATH_SIZE 4096
#define BUFFER_SIZE 65536

static void fail(const char *what)
{
    fprintf(stderr, "balsamwind: %s: %s\n", what, strerror(errno));
    exit(1);
}

static void read_exactly(FILE *file, void *buffer, size_t size)
{
    if (fread(buffer, 1, size, file) != size)
        fail("the executable is truncated or corrupt");
}

static void create_parent_directories(char *path)
{
    for (char *slash = strchr(path + 1, '/'); slash;
         slash = strchr(slash + 1, '/')) {
        *slash = '\0';
        if (mkdir(path, 0700) && errno != EEXIST)
            fail(path);
        *slash = '/';
    }
}

static void extract_file(FILE *archive, const char *path, mode_t mode,
                         uint64_t size)
{
    static char buffer[BUFFER_SIZE];
    int target = open(path, O_WRONLY | O_CREAT | O_EXCL, mode);

    if (target < 0)
        fail(path);
    while (size) {
        size_t chunk_size = size < BUFFER_SIZE ? size : BUFFER_SIZE;
        read_exactly(archive, buffer, chunk_size);
        if (write(target, buffer, chunk_size) != (ssize_t)chunk_size)
            fail(path);
        size -= chunk_size;
    }
    close(target);
}

static void extract_archive(FILE *archive, uint64_t length, const char *folder)
{
    uint64_t header[3];
    char path[PATH_SIZE];
    int prefix_length = snprintf(path, sizeof path, "%s/", folder);

    while (length) {
        read_exactly(archive, header, sizeof header);
        if (prefix_length + header[0] >= sizeof path)
            fail("a path in the archive is too long");
        read_exactly(archive, path + prefix_length, header[0]);
        path[prefix_length + header[0]] = '\0';
        create_parent_directories(path);
        extract_file(archive, path, (mode_t)header[1], header[2]);
        length -= sizeof header + header[0] + header[2];
    }
}

static int is_private_folder(const char *folder)
{
    struct stat status;

    if (lstat(folder, &status))
        return 0;
    if (!S_ISDIR(status.st_mode) || status.st_uid != getuid() ||
        (status.st_mode & 077)) {
        errno = EPERM;
        fail(folder);
    }
    return 1;
}

int main(int argc, char **argv)
{
    unsigned char trailer[TRAILER_SIZE];
    char folder[PATH_SIZE / 4], staging[PATH_SIZE / 2], program[PATH_SIZE];
    const char *parent = getenv("TMPDIR");
    uint64_t length;
    FILE *self = fopen("/proc/self/exe", "rb");

    /*
     * A running node reloads its settings on SIGHUP. Until its handler is
     * installed the signal is ignored, which execv preserves.
     */
    if (argc > 1 && !strcmp(argv[1], "entry"))
        signal(SIGHUP, SIG_IGN);
    if (!self || fseek(self, -TRAILER_SIZE, SEEK_END))
        fail("cannot read the executable /proc/self/exe");
    read_exactly(self, trailer, sizeof trailer);
    memcpy(&length, trailer, sizeof length);
    snprintf(folder, sizeof folder, "%s/balsamwind-%u-%.*s",
             parent && *parent ? parent : "/tmp", (unsigned)getuid(),
             CHECKSUM_SIZE, (char *)trailer + sizeof length);
    if (!is_private_folder(folder)) {
        snprintf(staging, sizeof staging, "%s.%d", folder, (int)getpid());
        if (mkdir(staging, 0700))
            fail(staging);
        if (fseek(self, -(long)(length + TRAILER_SIZE), SEEK_END))
            fail("the executable is truncated or corrupt");
        extract_archive(self, length, staging);
        /* If another process has created the directory first, use that one. */
        if (rename(staging, folder) && !is_private_folder(folder))
            fail(folder);
    }
    fclose(self);
    snprintf(program, sizeof program, "%s/balsamwind", folder);
    execv(program, argv);
    fail(program);
    return 1;
}
