#include "connection/http_client.h"
#include "raw_peer.h"
#include "suite.h"

#include <event2/event.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#define ATTEMPTS 50
#define BODY_BYTES 4096
#define LONG_BODY_BYTES (600 * 1024) /* more than the peer's kernel takes unread */

/** fixture_t - a client, a server that never responds, and a pipe whose event cancels the call */
typedef struct
{
  struct event_base *base;
  http_client_t *http_client;
  raw_server_t *server;
  http_client_call_t *call;
  char *body;
  int pipe[2];
  struct event *cancel;
  bool cancelled;
  uint32_t sent; /* number of calls of which a byte was sent before they were cancelled */
} fixture_t;

static void
on_end (const http_client_result_t *end, void *context)
{
  (void)end;
  (void)context;
  CU_FAIL ("on_end must not be called for a cancelled call");
}

static void
cancel_and_free (evutil_socket_t fd, short what, void *context)
{
  fixture_t *fixture = context;

  (void)fd;
  (void)what;
  fixture->sent += http_client_may_have_sent (fixture->call);
  http_client_cancel_call (fixture->call);
  memset (fixture->body, 'y', BODY_BYTES);
  g_free (fixture->body);
  fixture->cancelled = true;
}

static bool
is_cancelled (void *context)
{
  return ((fixture_t *)context)->cancelled;
}

static void
start (fixture_t *fixture)
{
  http_client_options_t options = { .address = &fixture->server->address,
                                    .method = "POST",
                                    .target = "/x",
                                    .body_bytes = BODY_BYTES,
                                    .on_end = on_end };

  fixture->body = g_malloc (BODY_BYTES);
  memset (fixture->body, 'x', BODY_BYTES);
  options.body = fixture->body;
  fixture->cancelled = false;
  fixture->call = http_client_start_call (fixture->http_client, &options);
}

static uint32_t
received (const fixture_t *fixture)
{
  uint32_t count = 0;

  for (guint i = 0; i < fixture->server->connections->len; i++)
    count += ((const raw_peer_t *)fixture->server->connections->pdata[i])->received->len > 0;
  return count;
}

/* A call is cancelled in the same iteration of the event loop in which its connection is
 * established. libevent then still wrote the request, from memory that had been freed and might
 * hold another client's body by then. No byte may be sent. */
static void
test_cancel_as_it_connects (void)
{
  static const char *const SILENT[] = { NULL };
  fixture_t fixture = { 0 };

  fixture.base = event_base_new ();
  fixture.http_client = http_client_new (fixture.base, 2, 10000);
  fixture.server = raw_server_new (fixture.base, SILENT, 1);
  fixture.server->keep_head = true;
  CU_ASSERT_EQUAL_FATAL (pipe (fixture.pipe), 0);
  fixture.cancel = event_new (fixture.base, fixture.pipe[0], EV_READ, cancel_and_free, &fixture);
  CU_ASSERT_EQUAL (write (fixture.pipe[1], "x", 1), 1);
  for (int i = 0; i < ATTEMPTS; i++)
    {
      /* Registers the pipe before the connection in half of the rounds and after it in the others,
       * so that the cancellation is handled first in one of the two, whatever order the kernel
       * reports */
      if (i % 2 == 0)
        event_add (fixture.cancel, NULL);
      start (&fixture);
      event_add (fixture.cancel, NULL);
      CU_ASSERT_TRUE (raw_peer_run_until (fixture.base, is_cancelled, &fixture));
    }
  raw_peer_run_ms (fixture.base, 20);
  CU_ASSERT_TRUE (fixture.sent < ATTEMPTS);
  CU_ASSERT_EQUAL (received (&fixture), fixture.sent);
  event_free (fixture.cancel);
  close (fixture.pipe[0]);
  close (fixture.pipe[1]);
  http_client_free (fixture.http_client);
  raw_server_free (fixture.server);
  event_base_free (fixture.base);
}

static bool
is_sent (void *context)
{
  const fixture_t *fixture = context;

  return fixture->server->accepted > 0 && http_client_may_have_sent (fixture->call);
}

static bool
has_ended (void *context)
{
  return ((const raw_peer_t *)context)->eof;
}

/* Guards against a cancelled request that the kernel still delivers, whole, once its peer reads. */
static void
test_cancel_while_the_peer_does_not_read (void)
{
  static const char *const SILENT[] = { NULL };
  fixture_t fixture = { .body = g_strnfill (LONG_BODY_BYTES, 'x') };
  raw_peer_t *raw;

  fixture.base = event_base_new ();
  fixture.http_client = http_client_new (fixture.base, 2, 10000);
  fixture.server = raw_server_new (fixture.base, SILENT, 1);
  fixture.server->keep_head = true;
  fixture.server->never_read = true;
  fixture.call = http_client_start_call (
      fixture.http_client, &(http_client_options_t){ .address = &fixture.server->address,
                                                     .method = "POST",
                                                     .target = "/x",
                                                     .body = fixture.body,
                                                     .body_bytes = LONG_BODY_BYTES,
                                                     .on_end = on_end });
  CU_ASSERT_TRUE (raw_peer_run_until (fixture.base, is_sent, &fixture));
  raw_peer_run_ms (fixture.base, 20);
  http_client_cancel_call (fixture.call);
  raw_peer_run_ms (fixture.base, 5);
  raw = g_ptr_array_index (fixture.server->connections, 0);
  event_add (raw->readable, NULL);
  CU_ASSERT_TRUE (raw_peer_run_until (fixture.base, has_ended, raw));
  CU_ASSERT_TRUE (raw->reset);
  CU_ASSERT_TRUE (raw->received->len < LONG_BODY_BYTES);
  http_client_free (fixture.http_client);
  raw_server_free (fixture.server);
  event_base_free (fixture.base);
  g_free (fixture.body);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "cancel as it connects", test_cancel_as_it_connects },
    { "cancel while the peer does not read", test_cancel_while_the_peer_does_not_read },
    CU_TEST_INFO_NULL,
  };

  signal (SIGPIPE, SIG_IGN);
  return suite_run ("http_client_cancel", tests);
}
