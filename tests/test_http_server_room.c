#include "connection/http_server_internal.h"
#include "server_fixture.h"
#include "suite.h"

#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>

#define IDLE_MS (CONNECTION_ROOM_IDLE_US / 1000)
#define MANY 50
#define FULL_OF_FILES 80 /* open files of a server that takes MANY connections and more */

static raw_peer_t *
connect_used (server_fixture_t *fixture)
{
  raw_peer_t *raw = server_fixture_connect (fixture, "GET /used HTTP/1.1\r\n\r\n");

  server_fixture_run_until_received (fixture, raw, "/used");
  return raw;
}

static uint64_t
count_open (server_fixture_t *fixture)
{
  return server_fixture_counter_value (fixture, "medlarplank_http_connections");
}

static bool
fills_up (void *context)
{
  return count_open (context) == SERVER_FIXTURE_HERD_LIMIT;
}

static raw_peer_t *
client_at (server_fixture_t *fixture, guint index)
{
  return g_ptr_array_index (fixture->clients, index);
}

/* Guards against a server at its limit that takes no new connection until a client closes one that
 * it doesn't use. */
static void
test_idle_ones_make_room (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new_taking_few ();

  for (uint32_t i = 0; i < SERVER_FIXTURE_HERD_LIMIT; i++)
    server_fixture_connect (fixture, "");
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, fills_up, fixture));
  fixture->reply_at_once = true;
  for (uint32_t i = 0; i < MANY; i++)
    {
      raw_peer_t *raw = server_fixture_connect (fixture, "GET /new HTTP/1.1\r\n\r\n");

      server_fixture_run_until_received (fixture, raw, "/new");
    }
  CU_ASSERT_TRUE (client_at (fixture, 0)->eof);
  CU_ASSERT_FALSE (client_at (fixture, 0)->reset);
  CU_ASSERT_EQUAL (fixture->calls, MANY);
  CU_ASSERT_EQUAL (fixture->ends, 0);
}

/* Guards against an active client that loses its connection in place of one that is not used. */
static void
test_longest_idle_goes_first (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new_taking_few ();
  uint32_t closed = 0;

  fixture->reply_at_once = true;
  for (uint32_t i = 0; i < SERVER_FIXTURE_HERD_LIMIT; i++)
    server_fixture_connect (fixture, "");
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, fills_up, fixture));
  raw_peer_send (client_at (fixture, 0), "GET /used HTTP/1.1\r\nX-Part:");
  raw_peer_run_ms (fixture->base, (uint32_t)IDLE_MS * 2);
  CU_ASSERT_FALSE (client_at (fixture, 0)->eof);
  for (uint32_t i = 0; i < SERVER_FIXTURE_HERD_LIMIT; i++)
    closed += client_at (fixture, i)->eof;
  CU_ASSERT_EQUAL (closed, SERVER_FIXTURE_HERD_LIMIT / 16);
  raw_peer_send (client_at (fixture, 0), " 1\r\n\r\n");
  server_fixture_run_until_received (fixture, client_at (fixture, 0), "/used");
}

/* Guards against a request that is lost, as its connection was closed with it unread. */
static void
test_unread_requests_are_read (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new_taking_few ();
  int64_t until_us;

  fixture->reply_at_once = true;
  for (uint32_t i = 0; i < SERVER_FIXTURE_HERD_LIMIT; i++)
    server_fixture_connect (fixture, "");
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, fills_up, fixture));
  for (uint32_t i = 0; i < SERVER_FIXTURE_HERD_LIMIT; i++)
    raw_peer_send (client_at (fixture, i), "GET /late HTTP/1.1\r\n\r\n");
  until_us = g_get_monotonic_time () + (int64_t)CONNECTION_ROOM_IDLE_US * 2;
  while (g_get_monotonic_time () < until_us)
    g_thread_yield ();
  for (uint32_t i = 0; i < SERVER_FIXTURE_HERD_LIMIT; i++)
    server_fixture_run_until_received (fixture, client_at (fixture, i), "/late");
}

/* As a limit nears, clients are told to close after the answer, which meets no request. */
static void
test_answers_say_close (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new_taking_few ();
  uint32_t told = 0;

  fixture->reply_at_once = true;
  for (uint32_t i = 0; i < 2 * SERVER_FIXTURE_HERD_LIMIT; i++)
    told += strstr (connect_used (fixture)->received->str, "Connection: close") != NULL;
  CU_ASSERT_EQUAL (told, SERVER_FIXTURE_HERD_LIMIT * 9 / 8);
  CU_ASSERT (count_open (fixture) < SERVER_FIXTURE_HERD_LIMIT);
}

/* Guards against a server that says nothing of it when all of its connections are in use. */
static void
test_full_while_all_are_in_use (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new_taking_few ();

  for (uint32_t i = 0; i < SERVER_FIXTURE_HERD_LIMIT; i++)
    server_fixture_connect (fixture, "GET /pending HTTP/1.1\r\n\r\n");
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, fills_up, fixture));
  raw_peer_run_ms (fixture->base, (uint32_t)IDLE_MS * 2);
  CU_ASSERT_TRUE (fills_up (fixture));
  CU_ASSERT_FALSE (http_server_review_room (fixture->http_server, 1));
  CU_ASSERT_TRUE (http_server_review_room (fixture->http_server, 1 + CONNECTION_ROOM_FULL_US));
  CU_ASSERT_TRUE (http_server_is_full (fixture->http_server));
  for (guint i = 0; i < fixture->waiting->len; i++)
    http_server_reply_text (server_fixture_call_at (fixture, i), 200, "text/plain", "/pending");
  for (uint32_t i = 0; i < SERVER_FIXTURE_HERD_LIMIT; i++)
    server_fixture_run_until_received (fixture, client_at (fixture, i), "/pending");
  CU_ASSERT_TRUE (http_server_review_room (fixture->http_server, 2 + CONNECTION_ROOM_FULL_US));
  CU_ASSERT_FALSE (http_server_is_full (fixture->http_server));
}

/* Guards against streams that fail, as the connections of others use all open files. */
static void
test_file_limit (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new_with_file_limit (FULL_OF_FILES);
  uint64_t most = FULL_OF_FILES * 3 / 4 / CONNECTION_ROOM_FILES;

  for (uint32_t i = 0; i < MANY; i++)
    server_fixture_connect (fixture, "GET /pending HTTP/1.1\r\n\r\n");
  raw_peer_run_ms (fixture->base, 50);
  CU_ASSERT (fixture->calls >= most && fixture->calls < most + CONNECTION_ROOM_BATCH);
  CU_ASSERT_EQUAL (count_open (fixture), fixture->calls);
  CU_ASSERT_FALSE (http_server_review_room (fixture->http_server, 1));
  CU_ASSERT_TRUE (http_server_review_room (fixture->http_server, 1 + CONNECTION_ROOM_FULL_US));
}

/* Guards against a server that takes all at a time and passes on more than it has files for. */
static void
test_refused_without_files (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new ();
  raw_peer_t *raw;

  fixture->http_server->options.file_limit = 8; /* room for two */
  for (int i = 0; i < 2; i++)
    server_fixture_connect (fixture, "GET /pending HTTP/1.1\r\n\r\n");
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_two_waiting, fixture));
  raw = server_fixture_connect (fixture, "GET /out HTTP/1.1\r\n\r\n");
  CU_ASSERT_TRUE (raw_peer_run_until (fixture->base, server_fixture_connection_closed, raw));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, "HTTP/1.1 503 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->received->str, "not_run"));
  CU_ASSERT_EQUAL (fixture->calls, 2);
}

static uint32_t libevent_lines;

static void
count_line (int severity, const char *text)
{
  (void)severity;
  (void)text;
  libevent_lines++;
}

/* Guards against a core that is used up, and a log that fills the disk, while no file is free. */
static void
test_no_file_is_free (void)
{
  g_autoptr (server_fixture_t) fixture = server_fixture_new_taking_few ();
  raw_peer_t *raw = server_fixture_connect (fixture, "GET /late HTTP/1.1\r\n\r\n");
  struct rlimit before;
  struct rlimit none;
  struct rusage first;
  struct rusage last;
  int64_t used_us;

  fixture->reply_at_once = true;
  event_set_log_callback (count_line);
  getrlimit (RLIMIT_NOFILE, &before);
  none = (struct rlimit){ 3, before.rlim_max };
  setrlimit (RLIMIT_NOFILE, &none);
  getrusage (RUSAGE_SELF, &first);
  raw_peer_run_ms (fixture->base, 500);
  getrusage (RUSAGE_SELF, &last);
  setrlimit (RLIMIT_NOFILE, &before);
  used_us = (last.ru_utime.tv_sec - first.ru_utime.tv_sec + last.ru_stime.tv_sec -
             first.ru_stime.tv_sec) *
                1000000 +
            last.ru_utime.tv_usec - first.ru_utime.tv_usec + last.ru_stime.tv_usec -
            first.ru_stime.tv_usec;
  CU_ASSERT (used_us < 100 * 1000);
  CU_ASSERT (libevent_lines < 10);
  CU_ASSERT_EQUAL (fixture->calls, 0);
  server_fixture_run_until_received (fixture, raw, "/late");
  event_set_log_callback (NULL);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "idle ones make room", test_idle_ones_make_room },
    { "longest idle goes first", test_longest_idle_goes_first },
    { "unread requests are read", test_unread_requests_are_read },
    { "answers say close", test_answers_say_close },
    { "full while all are in use", test_full_while_all_are_in_use },
    { "file limit", test_file_limit },
    { "refused without files", test_refused_without_files },
    { "no file is free", test_no_file_is_free },
    CU_TEST_INFO_NULL,
  };

  signal (SIGPIPE, SIG_IGN);
  return suite_run ("http_server_room", tests);
}
