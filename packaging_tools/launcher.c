/*
 * Launcher of the single-file build.
 *
 * The file is this program followed by a zlib-compressed ustar archive and a
 * trailer. The archive is unpacked once to a memory-backed directory that is named
 * by its digest; then the process replaces itself by the unpacked program, so
 * that no second process exists and no disk is used.
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

#define TMPFS_TYPE 0x01021994
#define BLOCK_BYTES 512
#define DIGEST_CHARS 32
#define MAGIC "PIMENTO1"
#define PROGRAM "pimentoline"

struct trailer {
  char digest[DIGEST_CHARS];
  uint64_t payload_bytes;
  char magic[8];
};

static void fail(const char *code, const char *detail) {
  fprintf(stderr, "error: %s: %s: %s\n", code, detail, strerror(errno));
  exit(2);
}

/* Returns whether the directory is writable and kept in memory. */
static int is_memory_backed(const char *dir) {
  struct statfs fs;
  return statfs(dir, &fs) == 0 && fs.f_type == TMPFS_TYPE && access(dir, W_OK) == 0;
}

static const char *runtime_dir(void) {
  const char *candidates[] = {getenv("PIMENTOLINE_RUNTIME_DIR"),
                              getenv("XDG_RUNTIME_DIR"), "/run", "/tmp"};
  for (size_t i = 0; i < sizeof candidates / sizeof *candidates; i++)
    if (candidates[i] && is_memory_backed(candidates[i])) return candidates[i];
  errno = ENODEV;
  fail("no-runtime-dir", "no writable tmpfs; set PIMENTOLINE_RUNTIME_DIR to one");
  return NULL;
}

/* Formats a path and fails if it does not fit. */
__attribute__((format(printf, 2, 3))) static void format_path(char *path,
                                                              const char *format, ...) {
  va_list args;
  va_start(args, format);
  int size = vsnprintf(path, PATH_MAX, format, args);
  va_end(args);
  if (size < 0 || size >= PATH_MAX) fail("path-too-long", path);
}

static gzFile payload;

static void read_block(void *buffer, unsigned size) {
  if (gzread(payload, buffer, size) != (int)size) fail("bundle-damaged", "short read");
}

static void unpack_file(const char *path, mode_t mode, uint64_t size) {
  char buffer[64 * BLOCK_BYTES];
  int fd = open(path, O_WRONLY | O_CREAT | O_EXCL, mode);
  if (fd < 0) fail("unpack-failed", path);
  while (size > 0) {
    uint64_t padded = (size + BLOCK_BYTES - 1) / BLOCK_BYTES * BLOCK_BYTES;
    unsigned part = padded < sizeof buffer ? (unsigned)padded : sizeof buffer;
    unsigned wanted = size < part ? (unsigned)size : part;
    read_block(buffer, part);
    if (write(fd, buffer, wanted) != (ssize_t)wanted) fail("unpack-failed", path);
    size -= wanted;
  }
  close(fd);
}

static void unpack(const char *dir) {
  char header[BLOCK_BYTES], path[PATH_MAX];
  for (;;) {
    read_block(header, sizeof header);
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
  /* Reading to the end makes zlib verify the checksum of the whole archive. */
  int size;
  while ((size = gzread(payload, header, sizeof header)) > 0) continue;
  if (size < 0) fail("bundle-damaged", "checksum");
}

int main(int argc, char **argv) {
  struct trailer end;
  char dir[PATH_MAX], fresh[PATH_MAX], program[PATH_MAX];
  int fd = open("/proc/self/exe", O_RDONLY | O_CLOEXEC);
  if (fd < 0 || lseek(fd, -(off_t)sizeof end, SEEK_END) < 0 ||
      read(fd, &end, sizeof end) != sizeof end || memcmp(end.magic, MAGIC, 8) != 0)
    fail("bundle-damaged", "no trailer");
  const char *base = runtime_dir();
  format_path(dir, "%s/pimentoline-%.32s", base, end.digest);
  format_path(program, "%s/%s", dir, PROGRAM);
  if (access(program, X_OK) != 0) {
    lseek(fd, -(off_t)(sizeof end + end.payload_bytes), SEEK_END);
    payload = gzdopen(dup(fd), "rb");
    format_path(fresh, "%s.%d", dir, (int)getpid());
    if (!payload || mkdir(fresh, 0755) != 0) fail("unpack-failed", fresh);
    unpack(fresh);
    gzclose(payload);
    /* Another process may have unpacked at the same time; its result is as good. */
    if (rename(fresh, dir) != 0 && access(program, X_OK) != 0)
      fail("unpack-failed", dir);
  }
  close(fd);
  argv[0] = program;
  execv(program, argv);
  fail("exec-failed", program);
  return argc;
}
