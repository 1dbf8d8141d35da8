#include "connection/http_client.h"
#include "raw_peer.h"
#include "suite.h"

#include <event2/event.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#define TRIES 50
#define BODY_BYTES 4096

/** struct bench - a client, a peer that answers nothing, and a pipe whose event cancels the call */
typedef struct
{
  struct event_base *base;
  hcl_t *hcl;
  raw_server_t *server;
  hcl_call_t *call;
  char *body;
  int pipe[2];
  struct event *cancel;
  bool cancelled;
  uint32_t sent; /* calls that had been sent when they were cancelled */
} bench_t;

static void
on_end (const hcl_end_t *end, void *context)
{
  (void)end;
  (void)context;
  CU_FAIL ("a cancelled call has no end");
}

static void
cancel_and_free (evutil_socket_t fd, short what, void *context)
{
  bench_t *bench = context;

  (void)fd;
  (void)what;
  bench->sent += hcl_sent (bench->call);
  hcl_cancel (bench->call);
  memset (bench->body, 'y', BODY_BYTES);
  g_free (bench->body);
  bench->cancelled = true;
}

static bool
is_cancelled (void *context)
{
  return ((bench_t *)context)->cancelled;
}

static void
start (bench_t *bench)
{
  hcl_options_t options = { .address = &bench->server->address,
                            .method = "POST",
                            .target = "/x",
                            .body_bytes = BODY_BYTES,
                            .on_end = on_end };

  bench->body = g_malloc (BODY_BYTES);
  memset (bench->body, 'x', BODY_BYTES);
  options.body = bench->body;
  bench->cancelled = false;
  bench->call = hcl_start (bench->hcl, &options);
}

static uint32_t
received (const bench_t *bench)
{
  uint32_t count = 0;

  for (guint i = 0; i < bench->server->conns->len; i++)
    count += ((const raw_t *)bench->server->conns->pdata[i])->got->len > 0;
  return count;
}

/* A caller goes away in the very turn of the loop in which the connection for its request comes
 * about. The library then wrote the request after all, from memory that was freed and may hold
 * another caller's body by now. Not a byte may leave. */
static void
test_cancel_as_it_connects (void)
{
  static const char *const SILENT[] = { NULL };
  bench_t bench = { 0 };

  bench.base = event_base_new ();
  bench.hcl = hcl_new (bench.base, 2, 10000);
  bench.server = raw_server_new (bench.base, SILENT, 1);
  bench.server->keep_head = true;
  CU_ASSERT_EQUAL_FATAL (pipe (bench.pipe), 0);
  bench.cancel = event_new (bench.base, bench.pipe[0], EV_READ, cancel_and_free, &bench);
  CU_ASSERT_EQUAL (write (bench.pipe[1], "x", 1), 1);
  for (int i = 0; i < TRIES; i++)
    {
      /* whichever the kernel tells first, one order of the two has the cancel before the write */
      if (i % 2 == 0)
        event_add (bench.cancel, NULL);
      start (&bench);
      event_add (bench.cancel, NULL);
      CU_ASSERT_TRUE (raw_run_until (bench.base, is_cancelled, &bench));
    }
  raw_run_ms (bench.base, 20);
  CU_ASSERT_TRUE (bench.sent < TRIES);
  CU_ASSERT_EQUAL (received (&bench), bench.sent);
  event_free (bench.cancel);
  close (bench.pipe[0]);
  close (bench.pipe[1]);
  hcl_free (bench.hcl);
  raw_server_free (bench.server);
  event_base_free (bench.base);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "cancel as it connects", test_cancel_as_it_connects },
    CU_TEST_INFO_NULL,
  };

  signal (SIGPIPE, SIG_IGN);
  return suite_run ("http_client_cancel", tests);
}
