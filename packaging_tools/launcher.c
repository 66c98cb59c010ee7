/*
 * Launcher of the single-file build.
 *
 * The built file consists of this program, a gzip-compressed ustar archive, called the
 * payload, and a trailer. The archive is unpacked once, to a directory in memory that
 * is named after its digest. Then exec replaces the launcher by the unpacked program,
 * so that there is no second process and no disk is used.
 */
#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/vfs.h>
#include <unistd.h>
#include <zlib.h>

#define TMPFS_TYPE 0x01021994 /* TMPFS_MAGIC of linux/magic.h */
#define BLOCK_BYTES 512
#define DIGEST_CHARS 32
#define MAGIC "PIMENTO1"
#define PROGRAM "pimentoline"

/* Last bytes of the built file, as written by build.py. */
struct trailer {
  char digest[DIGEST_CHARS]; /* start of the payload's SHA-256, hexadecimal */
  uint64_t payload_bytes;    /* compressed size */
  char magic[8];
};

/* Prints an error with the text of errno and exits with status 2. */
static void fail(const char *code, const char *detail) {
  fprintf(stderr, "error: %s: %s: %s\n", code, detail, strerror(errno));
  exit(2);
}

/* Returns whether the directory is writable and on a tmpfs. */
static int is_memory_backed(const char *dir) {
  struct statfs fs;
  return statfs(dir, &fs) == 0 && fs.f_type == TMPFS_TYPE && access(dir, W_OK) == 0;
}

/* Returns the first usable directory for the unpacked program, or fails. */
static const char *runtime_dir(void) {
  const char *candidates[] = {getenv("PIMENTOLINE_RUNTIME_DIR"),
                              getenv("XDG_RUNTIME_DIR"), "/run", "/tmp"};
  for (size_t i = 0; i < sizeof candidates / sizeof *candidates; i++)
    if (candidates[i] && is_memory_backed(candidates[i])) return candidates[i];
  errno = ENODEV;
  fail("no-runtime-dir", "no writable tmpfs; set PIMENTOLINE_RUNTIME_DIR to one");
  return NULL;
}

/* Formats a path; fails if it is longer than PATH_MAX. */
__attribute__((format(printf, 2, 3))) static void format_path(char *path,
                                                              const char *format, ...) {
  va_list args;
  va_start(args, format);
  int size = vsnprintf(path, PATH_MAX, format, args);
  va_end(args);
  if (size < 0 || size >= PATH_MAX) fail("path-too-long", path);
}

/* The payload in the running executable, decompressed as it is read. */
static gzFile payload;

/* Reads exactly `size` bytes of the archive, or fails. */
static void read_payload(void *buffer, unsigned size) {
  if (gzread(payload, buffer, size) != (int)size) fail("bundle-damaged", "short read");
}

/* Writes the next `size` bytes of the archive to a new file. */
static void unpack_file(const char *path, mode_t mode, uint64_t size) {
  char buffer[64 * BLOCK_BYTES];
  int fd = open(path, O_WRONLY | O_CREAT | O_EXCL, mode);
  if (fd < 0) fail("unpack-failed", path);
  while (size > 0) {
    /* Files are padded to whole blocks. */
    uint64_t padded = (size + BLOCK_BYTES - 1) / BLOCK_BYTES * BLOCK_BYTES;
    unsigned chunk = padded < sizeof buffer ? (unsigned)padded : sizeof buffer;
    unsigned data_bytes = size < chunk ? (unsigned)size : chunk;
    read_payload(buffer, chunk);
    if (write(fd, buffer, data_bytes) != (ssize_t)data_bytes)
      fail("unpack-failed", path);
    size -= data_bytes;
  }
  close(fd);
}

/*
 * Unpacks directories, symbolic links and files. Offsets in a ustar header: 0 name,
 * 100 mode, 124 size, 156 type ('5' directory, '2' symbolic link), 157 link target,
 * 345 prefix of the name. A block of zeros ends the archive.
 */
static void unpack(const char *dir) {
  char header[BLOCK_BYTES], path[PATH_MAX];
  for (;;) {
    read_payload(header, sizeof header);
    if (header[0] == '\0') break;
    format_path(path, "%s/%.155s%s%.100s", dir, header + 345,
                header[345] ? "/" : "", header);
    mode_t mode = (mode_t)strtoul(header + 100, NULL, 8) & 0777;
    uint64_t size = strtoull(header + 124, NULL, 8);
    if (header[156] == '5') {
      if (mkdir(path, 0755) != 0 && errno != EEXIST) fail("unpack-failed", path);
    } else if (header[156] == '2') {
      if (symlink(header + 157, path) != 0) fail("unpack-failed", path);
    } else {
      unpack_file(path, mode, size);
    }
  }
  /* zlib verifies the checksum of the archive when it is read to the end. */
  int size;
  while ((size = gzread(payload, header, sizeof header)) > 0) continue;
  if (size < 0) fail("bundle-damaged", "checksum");
}

int main(int argc, char **argv) {
  struct trailer trailer;
  char dir[PATH_MAX], staging_dir[PATH_MAX], program[PATH_MAX];
  int fd = open("/proc/self/exe", O_RDONLY | O_CLOEXEC);
  if (fd < 0 || lseek(fd, -(off_t)sizeof trailer, SEEK_END) < 0 ||
      read(fd, &trailer, sizeof trailer) != sizeof trailer ||
      memcmp(trailer.magic, MAGIC, 8) != 0)
    fail("bundle-damaged", "no trailer");
  const char *base = runtime_dir();
  format_path(dir, "%s/pimentoline-%.32s", base, trailer.digest);
  format_path(program, "%s/%s", dir, PROGRAM);
  if (access(program, X_OK) != 0) {
    lseek(fd, -(off_t)(sizeof trailer + trailer.payload_bytes), SEEK_END);
    payload = gzdopen(dup(fd), "rb");
    format_path(staging_dir, "%s.%d", dir, (int)getpid());
    if (!payload || mkdir(staging_dir, 0755) != 0) fail("unpack-failed", staging_dir);
    unpack(staging_dir);
    gzclose(payload);
    /* The rename also fails if another process has unpacked the same archive. */
    if (rename(staging_dir, dir) != 0 && access(program, X_OK) != 0)
      fail("unpack-failed", dir);
  }
  close(fd);
  argv[0] = program;
  execv(program, argv);
  fail("exec-failed", program);
  /* Not reached. Using argc avoids the warning about an unused parameter. */
  return argc;
}
