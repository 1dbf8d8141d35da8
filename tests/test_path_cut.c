/* Engines whose answers end early, behind sidecars and a router. */
#include "cut_peer.h"
#include "raw_answer.h"
#include "raw_peer.h"
#include "suite.h"
#include "testbed.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define HEAD "HTTP/1.1 200 OK\r\nX-Engine: a\r\n"
#define OPEN_ANSWER HEAD "\r\nabcdef"
#define LENGTH_ANSWER HEAD "Content-Length: 6\r\n\r\nabcdef"
#define CHUNKED_ANSWER HEAD "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n"
#define EVENTS "data: a\n\ndata: b\n\n" /* eighteen bytes */
#define CHUNKED_STREAM                                                                             \
  HEAD "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n" \
       "9\r\ndata: b\n\n\r\n0\r\n\r\n"

typedef struct
{
  const char *path;
  const char *answer;
  const char *body;
  bool is_never_whole;
} route_t;

static const route_t routes[] = {
  { "/look", LENGTH_ANSWER, "abcdef", false }, { "/look", CHUNKED_ANSWER, "abcdef", false },
  { "/look", CHUNKED_STREAM, EVENTS, false },  { "/look", OPEN_ANSWER, "abcdef", true },
  { "/book", LENGTH_ANSWER, "abcdef", false }, { "/book", CHUNKED_ANSWER, "abcdef", false },
  { "/book", CHUNKED_STREAM, EVENTS, false },  { "/book", OPEN_ANSWER, "abcdef", true },
};

static bool
has_ended (void *context)
{
  const raw_peer_t *raw = context;
  g_autoptr (GString) body = g_string_new (NULL);

  return raw->eof || raw_answer_read (raw->received->str, body);
}

/* Return: the number of requests that reached engines */
static uint32_t
run_play (testbed_t *testbed, cut_peer_t **peers, const route_t *route, size_t count, bool reset)
{
  static uint32_t plays;
  uint32_t requests = 0;
  raw_peer_t *raw = raw_peer_connect (testbed->base, &testbed->hosts[TESTBED_SIDECARS].http);
  g_autofree char *text = g_strdup_printf ("POST %s HTTP/1.1\r\nX-Api-Key: " TESTBED_API_KEY
                                           "\r\nContent-Length: 8\r\n\r\n%08u",
                                           route->path, plays++);
  g_autoptr (GString) body = g_string_new (NULL);
  bool is_success;
  bool is_whole;

  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    {
      requests -= cut_peer_request_count (peers[i]);
      cut_peer_set_play (peers[i],
                         &(cut_peer_play_t){ .bytes = route->answer,
                                             .count = count,
                                             .step = count % 2,
                                             .end = reset ? CUT_PEER_RESET : CUT_PEER_FIN });
    }
  raw_peer_send (raw, text);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, has_ended, raw));
  is_whole = raw_answer_read (raw->received->str, body);
  is_success = g_str_has_prefix (raw->received->str, "HTTP/1.1 2");
  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    requests += cut_peer_request_count (peers[i]);
  if (is_success && is_whole &&
      (route->is_never_whole || count < strlen (route->answer) || strcmp (body->str, route->body)))
    {
      printf ("\n    %s: %zu bytes of \"%s\": \"%s\"", route->path, count, route->answer,
              raw->received->str);
      CU_FAIL ("an answer that was cut is whole");
    }
  /* nothing that has run may be told as not run */
  if (requests > 0 && strcmp (route->path, "/book") == 0)
    CU_ASSERT_PTR_NULL (strstr (raw->received->str, ": not_run"));
  if (strcmp (route->path, "/book") == 0)
    CU_ASSERT_TRUE (requests <= 1);
  raw_peer_free (raw);
  return requests;
}

/* An engine's answer ended early, and the caller behind a router got a whole 200 */
static void
test_cut_behind_a_router (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  cut_peer_t *peers[TESTBED_SIDECARS];
  uint32_t plays = 0;
  uint32_t requests = 0;

  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    {
      peers[i] = cut_peer_new (testbed->base, 10 + i);
      testbed->sidecars[i].daemon.settings.engine = *cut_peer_address (peers[i]);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    for (size_t count = 0; count <= strlen (routes[i].answer); count++)
      for (int reset = 0; reset < 2; reset++, plays++)
        requests += run_play (testbed, peers, &routes[i], count, reset);
  printf (" %u plays, %u requests at engines ", plays, requests);
  CU_ASSERT_TRUE (requests >= plays * 9 / 10);
  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    cut_peer_free (peers[i]);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "cut behind a router", test_cut_behind_a_router },
    CU_TEST_INFO_NULL,
  };

  signal (SIGPIPE, SIG_IGN);
  log_init ("test-path-cut", "test", LOG_LEVEL_DEBUG);
  return suite_run ("path_cut", tests);
}
