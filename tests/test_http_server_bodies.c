#include "connection/http_server_internal.h"
#include "server_fixture.h"
#include "suite.h"

#include <malloc.h>
#include <signal.h>
#include <string.h>

#define BODY_BYTES (256 * 1024)
#define PART_BYTES (16 * 1024)
#define BODIES 40
#define HELD_LIMIT_BYTES (4 * 1024 * 1024)
#define ONE_READ_BYTES (BODIES * 4096) /* by all connections, in one turn of the event loop */

typedef struct
{
  server_fixture_t *fixture;
  char *part;
  raw_peer_t *clients[BODIES];
} rig_t;

static void
open_rig (rig_t *rig)
{
  rig->fixture = server_fixture_new_with_incomplete_limit (HELD_LIMIT_BYTES);
  rig->part = g_strnfill (PART_BYTES, 'b');
  http_server_configure (rig->fixture->http_server, BODY_BYTES, 0, 0, 0);
  for (int i = 0; i < BODIES; i++)
    {
      g_autofree char *head =
          g_strdup_printf ("POST /%d HTTP/1.1\r\nContent-Length: %d\r\n\r\n", i, BODY_BYTES);

      rig->clients[i] = server_fixture_connect (rig->fixture, head);
      raw_peer_run_ms (rig->fixture->base, 1);
    }
}

static void
close_rig (rig_t *rig)
{
  server_fixture_free (rig->fixture);
  g_free (rig->part);
}

static void
answer_all (server_fixture_t *fixture)
{
  for (guint i = 0; i < fixture->waiting->len; i++)
    http_server_reply_text (server_fixture_call_at (fixture, i), 200, "text/plain", "/answer");
  g_ptr_array_set_size (fixture->waiting, 0);
}

static uint32_t
count_received (const rig_t *rig, const char *text)
{
  uint32_t count = 0;

  for (int i = 0; i < BODIES; i++)
    count += strstr (rig->clients[i]->received->str, text) != NULL;
  return count;
}

/* Guards against a process that is killed for its memory, as requests with long bodies come at
 * once: those that began first are served, the others meanwhile are not read. */
static void
test_long_bodies_at_once (void)
{
  uint64_t most_bytes = 0;
  rig_t rig;

  open_rig (&rig);
  for (int sent = 0; sent < BODY_BYTES; sent += PART_BYTES)
    for (int i = 0; i < BODIES; i++)
      {
        raw_peer_send (rig.clients[i], rig.part);
        raw_peer_run_ms (rig.fixture->base, 0);
        most_bytes = MAX (most_bytes, rig.fixture->http_server->held_bytes);
      }
  CU_ASSERT (rig.fixture->http_server->waiting_bodies > 0);
  for (int turn = 0; turn < 2000 && count_received (&rig, "/answer") < BODIES; turn++)
    {
      answer_all (rig.fixture);
      raw_peer_run_ms (rig.fixture->base, 1);
      most_bytes = MAX (most_bytes, rig.fixture->http_server->held_bytes);
    }
  CU_ASSERT_EQUAL (count_received (&rig, "/answer"), BODIES);
  CU_ASSERT (most_bytes <= HELD_LIMIT_BYTES + 2 * BODY_BYTES + ONE_READ_BYTES);
  CU_ASSERT_EQUAL (server_fixture_refused_count (rig.fixture, "body"), 0);
  CU_ASSERT_EQUAL (rig.fixture->http_server->held_bytes, 0);
  close_rig (&rig);
}

/* Guards against usual requests that wait behind long ones. */
static void
test_short_requests_beside_long_bodies (void)
{
  raw_peer_t *raw;
  rig_t rig;

  open_rig (&rig);
  for (int sent = 0; sent < BODY_BYTES / 2; sent += PART_BYTES)
    for (int i = 0; i < BODIES; i++)
      raw_peer_send (rig.clients[i], rig.part);
  raw_peer_run_ms (rig.fixture->base, 100);
  CU_ASSERT (rig.fixture->http_server->waiting_bodies > 0);
  rig.fixture->reply_at_once = true;
  raw =
      server_fixture_connect (rig.fixture, "POST /short HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody");
  server_fixture_run_until_received (rig.fixture, raw, "\r\n\r\n/short");
  close_rig (&rig);
}

/* Guards against bodies that wait for good, as those that came first don't go on. */
static void
test_waiting_bodies_are_refused (void)
{
  uint32_t refused;
  rig_t rig;

  open_rig (&rig);
  for (int sent = 0; sent < BODY_BYTES / 2; sent += PART_BYTES)
    for (int i = 0; i < BODIES; i++)
      raw_peer_send (rig.clients[i], rig.part);
  raw_peer_run_ms (rig.fixture->base, 100);
  CU_ASSERT_FATAL (rig.fixture->http_server->waiting_bodies > 0);
  raw_peer_run_ms (rig.fixture->base, LIMIT_HTTP_BODY_WAIT_MS);
  refused = count_received (&rig, "HTTP/1.1 503 ");
  CU_ASSERT_EQUAL (count_received (&rig, "not_run"), refused);
  CU_ASSERT_EQUAL (count_received (&rig, "\r\nRetry-After: 1\r\n"), refused);
  CU_ASSERT (refused > 0);
  CU_ASSERT_EQUAL (server_fixture_refused_count (rig.fixture, "body"), refused);
  CU_ASSERT_EQUAL (rig.fixture->calls, 0);
  close_rig (&rig);
}

/* Guards against a body that takes its memory twice when it is whole. */
static void
test_body_is_moved (void)
{
  struct evbuffer *body = evbuffer_new ();
  struct mallinfo2 before;
  struct mallinfo2 after;
  rig_t rig;

  open_rig (&rig);
  for (int sent = 0; sent < BODY_BYTES; sent += PART_BYTES)
    {
      raw_peer_send (rig.clients[0], rig.part);
      raw_peer_run_ms (rig.fixture->base, 1);
    }
  CU_ASSERT_TRUE_FATAL (
      raw_peer_run_until (rig.fixture->base, server_fixture_one_waiting, rig.fixture));
  before = mallinfo2 ();
  http_server_move_body (server_fixture_call_at (rig.fixture, 0), body);
  after = mallinfo2 ();
  CU_ASSERT_EQUAL (evbuffer_get_length (body), BODY_BYTES);
  CU_ASSERT (after.uordblks + after.hblkhd <= before.uordblks + before.hblkhd + 4096);
  evbuffer_free (body);
  close_rig (&rig);
}

static uint64_t
sum_queued (const server_fixture_t *fixture)
{
  uint64_t sum_bytes = 0;

  for (guint i = 0; i < fixture->waiting->len; i++)
    {
      const http_server_call_t *call = g_ptr_array_index (fixture->waiting, i);

      sum_bytes += evbuffer_get_length (bufferevent_get_output (call->conn->bev));
    }
  return sum_bytes;
}

/* Sends until the clients' queues are full, and those of the kernel */
static void
fill_queues (server_fixture_t *fixture, const char *part)
{
  uint32_t before;

  do
    {
      before = fixture->writable_count;
      for (guint i = 0; i < fixture->waiting->len; i++)
        if (!server_fixture_call_at (fixture, i)->full)
          while (server_fixture_send_part (server_fixture_call_at (fixture, i), part))
            ;
      raw_peer_run_ms (fixture->base, 20);
    }
  while (fixture->writable_count > before);
}

static bool
all_wait (void *context)
{
  return ((server_fixture_t *)context)->waiting->len == BODIES;
}

/* Guards against answers that nobody reads, which together exceed the memory. */
static void
test_unread_answers_share_their_memory (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new_taking_few ();
  g_autofree char *part = g_strnfill (PART_BYTES, 'a');

  fixture->http_server->options.answer_limit_bytes = HELD_LIMIT_BYTES;
  for (int i = 0; i < BODIES; i++)
    event_del (server_fixture_connect (fixture, "GET /1 HTTP/1.1\r\n\r\n")->readable);
  CU_ASSERT_TRUE_FATAL (raw_peer_run_until (fixture->base, all_wait, fixture));
  for (guint i = 0; i < fixture->waiting->len; i++)
    http_server_begin_reply (server_fixture_call_at (fixture, i), 200);
  fill_queues (fixture, part);
  CU_ASSERT (sum_queued (fixture) <= HELD_LIMIT_BYTES + BODIES * (PART_BYTES + 100));
  for (int i = 0; i < BODIES; i++)
    event_add (((raw_peer_t *)g_ptr_array_index (fixture->clients, (guint)i))->readable, NULL);
  for (int i = 0; i < BODIES; i++)
    {
      server_fixture_send_part (server_fixture_call_at (fixture, (guint)i), "last");
      http_server_end_reply (server_fixture_call_at (fixture, (guint)i));
    }
  for (int i = 0; i < BODIES; i++)
    server_fixture_run_until_received (fixture, g_ptr_array_index (fixture->clients, (guint)i),
                                       "last\r\n0\r\n\r\n");
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "long bodies at once", test_long_bodies_at_once },
    { "short requests beside long bodies", test_short_requests_beside_long_bodies },
    { "waiting bodies are refused", test_waiting_bodies_are_refused },
    { "body is moved", test_body_is_moved },
    { "unread answers share their memory", test_unread_answers_share_their_memory },
    CU_TEST_INFO_NULL,
  };

  signal (SIGPIPE, SIG_IGN);
  return suite_run ("http_server_bodies", tests);
}
