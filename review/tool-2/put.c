/* Writes a record into the platform's store, or asks a path. Usage: put STORE TOPIC KEY VALUE, or
 * put --get ADDRESS PATH, which succeeds when the answer is 200 */
#include "net.h"

#include <string.h>
#include <unistd.h>

#define TIMEOUT_MS 1000

static int
get (const char *address, const char *path)
{
  int fd = net_connect (address, TIMEOUT_MS);
  net_reader_t reader;
  net_head_t head;
  int status = 0;

  if (fd < 0)
    return 1;
  net_reader_init (&reader, fd);
  if (net_printf (fd, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, address) &&
      net_read_head (&reader, &head, TIMEOUT_MS))
    status = net_status (&head);
  close (fd);
  return status == 200 ? 0 : 1;
}

int
main (int argc, char **argv)
{
  if (argc == 4 && strcmp (argv[1], "--get") == 0)
    return get (argv[2], argv[3]);
  if (argc != 5)
    return 2;
  return net_store_put (argv[1], argv[2], argv[3], argv[4], TIMEOUT_MS) == 200 ? 0 : 1;
}
