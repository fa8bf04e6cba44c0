/*
 * Launcher of the one-file build.
 *
 * The file is this program followed by an archive, and a trailer that says
 * how long the archive is. The launcher unpacks the archive into a folder
 * that is named after the archive's checksum and the user, unless that
 * folder is there already, and replaces itself by the program in it. The
 * process id stays the same and no other process is started.
 *
 * Archive: for each file its path length, mode and size (three 64-bit
 * little-endian numbers), then the path and the content.
 * Trailer: archive length (64 bits), checksum (16 hexadecimal digits).
 */
#include <errno.h>
#include <fcntl.h>
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
        fail("the file is damaged");
}

static void make_parents(char *path)
{
    for (char *slash = strchr(path + 1, '/'); slash;
         slash = strchr(slash + 1, '/')) {
        *slash = '\0';
        if (mkdir(path, 0700) && errno != EEXIST)
            fail(path);
        *slash = '/';
    }
}

static void copy_content(FILE *from, const char *path, mode_t mode,
                         uint64_t size)
{
    static char buffer[BUFFER_SIZE];
    int target = open(path, O_WRONLY | O_CREAT | O_EXCL, mode);

    if (target < 0)
        fail(path);
    while (size) {
        size_t part = size < BUFFER_SIZE ? size : BUFFER_SIZE;
        read_exactly(from, buffer, part);
        if (write(target, buffer, part) != (ssize_t)part)
            fail(path);
        size -= part;
    }
    close(target);
}

static void unpack(FILE *from, uint64_t length, const char *folder)
{
    uint64_t head[3];
    char path[PATH_SIZE];
    int prefix = snprintf(path, sizeof path, "%s/", folder);

    while (length) {
        read_exactly(from, head, sizeof head);
        if (prefix + head[0] >= sizeof path)
            fail("a path is too long");
        read_exactly(from, path + prefix, head[0]);
        path[prefix + head[0]] = '\0';
        make_parents(path);
        copy_content(from, path, (mode_t)head[1], head[2]);
        length -= sizeof head + head[0] + head[2];
    }
}

static int is_own_folder(const char *folder)
{
    struct stat info;

    if (lstat(folder, &info))
        return 0;
    if (!S_ISDIR(info.st_mode) || info.st_uid != getuid() ||
        (info.st_mode & 077)) {
        errno = EPERM;
        fail(folder);
    }
    return 1;
}

int main(int argc, char **argv)
{
    unsigned char trailer[TRAILER_SIZE];
    char folder[PATH_SIZE / 4], fresh[PATH_SIZE / 2], program[PATH_SIZE];
    const char *base = getenv("TMPDIR");
    uint64_t length;
    FILE *self = fopen("/proc/self/exe", "rb");

    (void)argc;
    if (!self || fseek(self, -TRAILER_SIZE, SEEK_END))
        fail("can not read the program file");
    read_exactly(self, trailer, sizeof trailer);
    memcpy(&length, trailer, sizeof length);
    snprintf(folder, sizeof folder, "%s/balsamwind-%u-%.*s",
             base && *base ? base : "/tmp", (unsigned)getuid(),
             CHECKSUM_SIZE, (char *)trailer + sizeof length);
    if (!is_own_folder(folder)) {
        snprintf(fresh, sizeof fresh, "%s.%d", folder, (int)getpid());
        if (mkdir(fresh, 0700))
            fail(fresh);
        if (fseek(self, -(long)(length + TRAILER_SIZE), SEEK_END))
            fail("the file is damaged");
        unpack(self, length, fresh);
        /* Another process may have been quicker: then its folder serves. */
        if (rename(fresh, folder) && !is_own_folder(folder))
            fail(folder);
    }
    fclose(self);
    snprintf(program, sizeof program, "%s/balsamwind", folder);
    execv(program, argv);
    fail(program);
    return 1;
}
