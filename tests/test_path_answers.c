#include "path_fleet.h"
#include "raw_peer.h"
#include "suite.h"
#include "request/router/router_private.h"
#include "request/sidecar/sidecar_private.h"

#include <string.h>

static bool
saw_next (void *context)
{
  const raw_t *raw = context;

  return raw->eof || strstr (raw->got->str, "ran:next") != NULL;
}

/* The answer to HEAD tells the length that a GET would bring, and has no body; what follows on the
 * connection is the next answer. A length of 0 would be a statement of the fleet's own making. */
static void
relays_the_length_of_a_head_answer (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();

  raw_t *raw = raw_connect (fleet->base, &fleet->hosts[PFL_SIDECARS].http);
  raw_send (raw, "HEAD /look HTTP/1.1\r\nX-Api-Key: " PFL_KEY "\r\n\r\n"
                 "POST /look HTTP/1.1\r\nX-Api-Key: " PFL_KEY "\r\nContent-Length: 4\r\n\r\nnext");
  CU_ASSERT_TRUE (pfl_until (fleet, saw_next, raw));
  CU_ASSERT_TRUE (g_str_has_prefix (raw->got->str, "HTTP/1.1 200 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "Content-Length: 4\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (raw->got->str, "\r\n\r\nHTTP/1.1 200 "));
  CU_ASSERT_PTR_NULL (strstr (raw->got->str, "Content-Length: 0\r\n"));
  raw_free (raw);
}

static bool
is_held_up (void *context)
{
  const pfl_t *fleet = context;
  const rtr_call_t *call = g_queue_peek_head (&fleet->router.rtr->calls);

  return call != NULL && call->relay.full;
}

static void
let_the_timers_run_out (pfl_t *fleet)
{
  gpointer call = g_queue_peek_head (&fleet->router.rtr->calls);
  GHashTableIter iter;

  if (call != NULL)
    rtr_hop_timer (-1, EV_TIMEOUT, call);
  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    {
      g_hash_table_iter_init (&iter, fleet->sidecars[i].sdc->calls);
      if (g_hash_table_iter_next (&iter, NULL, &call) && ((sdc_call_t *)call)->relay.full)
        sdc_engine_timer (-1, EV_TIMEOUT, call);
    }
}

/* A caller reads a long answer so slowly that for a minute nothing more fits into its queue. The
 * engine is read no further meanwhile; that must not be taken for a stalled engine, or the caller
 * gets half an answer. */
static void
waits_for_a_slow_caller (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  g_auto (pfl_answer_t) answer = { 0 };

  pfl_set_all (fleet, PFL_LONG);
  pfl_send (fleet, &(pfl_request_t){ .path = "/look" }, &answer);
  answer.stop_reading = true;
  CU_ASSERT_TRUE (pfl_until (fleet, is_held_up, fleet));
  let_the_timers_run_out (fleet);
  answer.stop_reading = false;
  hcl_pause (answer.call, false);
  let_the_timers_run_out (fleet);
  CU_ASSERT_TRUE (pfl_until (fleet, pfl_done, &answer));
  CU_ASSERT_TRUE (answer.end.whole);
  CU_ASSERT_EQUAL (answer.body->len, PFL_LONG_BYTES);
}

/* A stream breaks off at the engine between two events. The caller is told why by an event of its
 * own, and then by the broken connection; closing that must not overtake the event. */
static void
says_why_a_stream_breaks_off (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  g_auto (pfl_answer_t) answer = { 0 };

  pfl_set_all (fleet, PFL_CUT_LATE);
  pfl_ask (fleet, &(pfl_request_t){ .path = "/look" }, &answer);
  CU_ASSERT_TRUE (answer.done);
  CU_ASSERT_FALSE (answer.end.whole);
  CU_ASSERT_TRUE (g_str_has_prefix (answer.body->str, "data: one\n\nevent: error\ndata: {"));
  CU_ASSERT_TRUE (g_str_has_suffix (answer.body->str, "}\n\n"));
  CU_ASSERT_PTR_EQUAL (strstr (answer.body->str, "event: error"),
                       g_strrstr (answer.body->str, "event: error"));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "relays the length of a HEAD answer", relays_the_length_of_a_head_answer },
    { "waits for a slow caller", waits_for_a_slow_caller },
    { "says why a stream breaks off", says_why_a_stream_breaks_off },
    CU_TEST_INFO_NULL,
  };

  log_init ("test-path-answers", "test", LOG_LEVEL_DEBUG);
  return suite_run ("path answers", tests);
}
