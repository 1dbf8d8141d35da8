/*
 * A way to the platform's store on which each call is done late and not answered. Usage: late LISTEN
 * STORE LATE-MS RECORD
 */
#define _GNU_SOURCE
#include "net.h"

#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static const char *store;
static uint64_t late_ms;

static void *
do_late (void *context)
{
  int client = (int)(intptr_t)context;
  uint64_t due_ms = net_now_ms () + late_ms;
  net_reader_t reader;
  net_head_t head;
  size_t count;
  bool whole;
  char *body;
  int fd;

  net_reader_init (&reader, client);
  if (!net_read_head (&reader, &head, 1000))
    return NULL;
  body = net_read_body (&reader, &head, 1000, &count, &whole);
  net_record ("lost: the answer to %s", head.line);
  net_sleep_ms (due_ms - net_now_ms ());
  fd = net_connect (store, 1000);
  if (fd >= 0 &&
      net_printf (fd, "%s\r\nHost: store\r\nContent-Length: %zu\r\nConnection: close\r\n\r\n",
                  head.line, count) &&
      net_write (fd, body, count))
    {
      net_reader_t answer;
      net_head_t answer_head;

      net_reader_init (&answer, fd);
      if (net_read_head (&answer, &answer_head, 1000))
        net_record ("done late: status=%d", net_status (&answer_head));
    }
  close (fd);
  close (client);
  return NULL;
}

int
main (int argc, char **argv)
{
  pthread_t thread;
  int listener;

  if (argc != 5)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  store = argv[2];
  late_ms = strtoull (argv[3], NULL, 10);
  net_record_open (argv[4]);
  listener = net_listen (argv[1]);
  while (true)
    {
      int fd = accept (listener, NULL, NULL);

      if (fd >= 0 && pthread_create (&thread, NULL, do_late, (void *)(intptr_t)fd) != 0)
        close (fd);
    }
}
