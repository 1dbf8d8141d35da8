/* Engines that put other bytes into their streams, behind sidecars and a router. */
#include "cut_peer.h"
#include "raw_answer.h"
#include "raw_peer.h"
#include "suite.h"
#include "testbed.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define HEAD "HTTP/1.1 200 OK\r\nX-Engine: a\r\nContent-Type: text/event-stream\r\n"
#define CHUNK(id) "data: {\"id\":\"" id "\",\"choices\":[]}\n\n"
#define ERROR_EVENT "event: error\ndata: {"
#define EVENTS 4
#define BYTES(text) text, sizeof (text) - 1

#define USAGE "data: {\"usage\":{}}\n\n"
#define LAST "data: [DONE]\n\n"

static const char *const events[EVENTS] = { CHUNK ("c1"), CHUNK ("c1"), USAGE, LAST };

/** struct garbage - bytes that are put between two events */
typedef struct
{
  const char *bytes;
  size_t count;
} garbage_t;

/* None of them comes first: the first event tells what the stream holds. */
static const garbage_t garbage[] = {
  { BYTES ("xx \x01\x7f yy zz\n\n") },
  { BYTES ("data: junk\n\n") },
  { BYTES ("data: {\"id\":\"c1\"\n\n") },
  { BYTES ("data: [1]\n\n") },
  { BYTES (CHUNK ("c2")) },
  { BYTES ("junk") },
  { BYTES ("\0\0\n\n") },
  { BYTES ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine") },
};

static GString *
make_response (bool is_chunked, const GString *body)
{
  GString *text = g_string_new (HEAD);

  if (is_chunked)
    g_string_append_printf (text, "Transfer-Encoding: chunked\r\n\r\n%zx\r\n", body->len);
  else
    g_string_append_printf (text, "Content-Length: %zu\r\n\r\n", body->len);
  g_string_append_len (text, body->str, (gssize)body->len);
  g_string_append (text, is_chunked ? "\r\n0\r\n\r\n" : "");
  return text;
}

static bool
has_ended (void *context)
{
  const raw_peer_t *raw = context;
  g_autoptr (GString) body = g_string_new (NULL);

  return raw->eof || raw_answer_read (raw->received->str, body);
}

/* Return: whether the caller got sound events only, and perhaps the router's own last one */
static bool
is_right (const char *received, bool is_sound)
{
  g_autoptr (GString) body = g_string_new (NULL);
  bool is_whole = raw_answer_read (received, body);
  const char *text = body->str;

  if (!is_sound && !g_str_has_prefix (received, "HTTP/1.1 200 "))
    return g_str_has_prefix (received, "HTTP/1.1 502 ");
  for (size_t i = 0; i < EVENTS && g_str_has_prefix (text, events[i]); i++)
    text += strlen (events[i]);
  if (is_sound)
    return is_whole && strcmp (body->str, CHUNK ("c1") CHUNK ("c1") USAGE LAST) == 0;
  return !is_whole && (*text == '\0' || g_str_has_prefix (text, ERROR_EVENT));
}

/* Return: whether the caller got a head of success */
static bool
play (testbed_t *testbed,
      cut_peer_t **peers,
      const char *path,
      bool is_chunked,
      const garbage_t *bytes,
      size_t before)
{
  static uint32_t plays;
  g_autoptr (GString) body = g_string_new (NULL);
  g_autoptr (GString) response = NULL;
  g_autofree char *text = g_strdup_printf ("POST %s HTTP/1.1\r\nX-Api-Key: " TESTBED_API_KEY
                                           "\r\nContent-Length: 8\r\n\r\n%08u",
                                           path, plays++);
  raw_peer_t *raw = raw_peer_connect (testbed->base, &testbed->hosts[TESTBED_SIDECARS].http);
  bool begun;
  bool right;

  for (size_t i = 0; i <= EVENTS; i++)
    {
      if (i == before)
        g_string_append_len (body, bytes->bytes, (gssize)bytes->count);
      g_string_append (body, i < EVENTS ? events[i] : "");
    }
  response = make_response (is_chunked, body);
  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    cut_peer_set_play (peers[i], &(cut_peer_play_t){ .bytes = response->str,
                                                     .count = response->len,
                                                     .step = before % 2,
                                                     .end = CUT_PEER_FIN });
  raw_peer_send (raw, text);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, has_ended, raw));
  right = is_right (raw->received->str, bytes->count == 0);
  if (!right)
    printf ("\n    %s: %s, bytes %td behind event %zu: \"%s\"", path,
            is_chunked ? "chunked" : "length", bytes - garbage, before, raw->received->str);
  CU_ASSERT_TRUE (right);
  begun = g_str_has_prefix (raw->received->str, "HTTP/1.1 200 ");
  raw_peer_free (raw);
  return begun;
}

static void
test_garbage_in_a_stream_behind_a_router (void)
{
  static const char *const paths[] = { "/look", "/book" };
  g_autoptr (testbed_t) testbed = testbed_new ();
  static const garbage_t nothing = { .bytes = "" };
  cut_peer_t *peers[TESTBED_SIDECARS];
  uint32_t begun = 0;

  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    {
      peers[i] = cut_peer_new (testbed->base, 10 + i);
      testbed->sidecars[i].daemon.settings.engine = *cut_peer_address (peers[i]);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (paths); i++)
    for (size_t kind = 0; kind < G_N_ELEMENTS (garbage); kind++)
      for (size_t before = 1; before <= EVENTS; before++)
        {
          begun += play (testbed, peers, paths[i], true, &garbage[kind], before) ? 1 : 0;
          play (testbed, peers, paths[i], false, &garbage[kind], before);
          play (testbed, peers, paths[i], true, &nothing, before);
          play (testbed, peers, paths[i], false, &nothing, before);
        }
  printf (" %u streams broken off ", begun);
  CU_ASSERT_EQUAL (begun, G_N_ELEMENTS (paths) * G_N_ELEMENTS (garbage) * EVENTS);
  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    cut_peer_free (peers[i]);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_garbage_in_a_stream_behind_a_router),
    CU_TEST_INFO_NULL,
  };

  signal (SIGPIPE, SIG_IGN);
  log_init ("test-path-garbage", "test", LOG_LEVEL_DEBUG);
  return suite_run ("path_garbage", tests);
}
