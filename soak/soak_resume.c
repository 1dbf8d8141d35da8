/* Clients that resume streams beside upstreams of two software versions: they leave some streams
 * and lose others by faults, and go on at any gateway. A stream holds events of one version only.
 */
#include "soak.h"

#include <string.h>

#define RESUMPTIONS_MAX 3 /* of one stream */
#define LEAVE_EVENTS 2    /* events after which a client leaves */
#define RESUME_MIN_MS 5   /* until it comes again */
#define RESUME_SPREAD_MS 150
#define REFUSALS_MAX 1  /* that a client follows up, of one resumption or new stream */
#define UNREACHED_MAX 4 /* likewise, attempts without a response */
#define CHECK_STREAMS 24
#define CHECK_WAIT_MS 3000

static uint32_t
draw (soak_t *soak, uint32_t below)
{
  return (uint32_t)g_rand_int_range (soak->resume_rand, 0, (gint32)below);
}

static uint64_t
draw_resume_us (soak_t *soak)
{
  return (uint64_t)(RESUME_MIN_MS + draw (soak, RESUME_SPREAD_MS)) * 1000;
}

uint32_t
soak_count_events (const soak_request_t *call)
{
  uint32_t count = 0;
  const char *at = call->body->str;

  if (call->status != 200)
    return 0;
  while ((at = strstr (at, "\n\n")))
    {
      count++;
      at += strlen ("\n\n");
    }
  return count;
}

uint32_t
soak_last_event (const soak_request_t *call)
{
  return call->first_event - 1 + soak_count_events (call);
}

static uint32_t
count_resumptions (const soak_request_t *call)
{
  uint32_t count = 0;

  for (; call->resumed; call = call->resumed)
    count++;
  return count;
}

void
soak_note_stream (soak_request_t *call)
{
  soak_t *soak = call->soak;

  if (!soak->versions || call->kind != SOAK_RESUMABLE_STREAM || !call->valid_key)
    return;
  call->leaves = soak->clients_leave && draw (soak, 3) == 0;
  g_ptr_array_add (soak->open_streams, call);
}

/* Return: whether the client is to resume the stream; a refusal ends it, and so does an answer
 * without an event, as there is nothing to resume. */
static bool
is_to_resume (soak_request_t *call)
{
  if (call->http_call && call->leaves && soak_count_events (call) >= LEAVE_EVENTS)
    {
      http_client_cancel_call (call->http_call);
      call->http_call = NULL;
      call->ended_us = soak_now_us ();
    }
  return !call->http_call && call->status == 200 && !call->complete && soak_last_event (call) > 0 &&
         soak_last_event (call) < SOAK_EVENTS && count_resumptions (call) < RESUMPTIONS_MAX;
}

/* After a refusal the client comes again when that says, and where it reached no gateway it tries
 * the next one, with new streams as with those that it resumes. */
static bool
is_to_try_again (const soak_request_t *call)
{
  if (!call->soak->losses.enabled || call->http_call)
    return false;
  if (call->status == 0)
    return call->unreached < UNREACHED_MAX;
  return call->status == 503 && call->retry_after_us > 0 && call->refusals < REFUSALS_MAX;
}

/* Return: whether its time has come */
static bool
try_again (soak_t *soak, soak_request_t *call)
{
  if (call->resume_after_us == 0)
    call->resume_after_us = draw_resume_us (soak);
  if (soak_now_us () < call->ended_us + MAX (call->retry_after_us, call->resume_after_us))
    return false;
  soak_send_again (soak, draw (soak, soak->gateway_count), call);
  return true;
}

static void
resume (soak_t *soak, soak_request_t *call)
{
  uint32_t gateway = draw (soak, soak->gateway_count);

  soak_send_resumption (soak, gateway, call);
}

void
soak_poll_streams (soak_t *soak)
{
  uint64_t now_us = soak_now_us ();

  for (guint i = soak->open_streams->len; i > 0; i--)
    {
      soak_request_t *call = g_ptr_array_index (soak->open_streams, i - 1);
      bool resumes = is_to_resume (call);

      if (is_to_try_again (call))
        {
          if (try_again (soak, call))
            g_ptr_array_remove_index_fast (soak->open_streams, i - 1);
          continue;
        }
      if (call->http_call || (resumes && now_us < call->ended_us + call->resume_after_us))
        continue;
      if (resumes && call->resume_after_us == 0)
        {
          call->resume_after_us = draw_resume_us (soak);
          continue;
        }
      g_ptr_array_remove_index_fast (soak->open_streams, i - 1);
      if (resumes)
        resume (soak, call);
    }
}

/* Return: the version that the event states, to be freed */
static char *
version_of_event (const char *body)
{
  const char *end = strstr (body, "\n\n");
  g_autofree char *event = g_strndup (body, end ? (gsize)(end - body) : 0);
  const char *version = strrchr (event, ' ');

  return g_strdup (version ? version + 1 : "");
}

/* Of the first request of the stream that brought an event. */
char *
soak_stream_version (const soak_request_t *call)
{
  const soak_request_t *first = call;

  for (const soak_request_t *before = call->resumed; before; before = before->resumed)
    if (soak_count_events (before) > 0)
      first = before;
  return version_of_event (first->body->str);
}

/* Whether all of @streams that began have ended, with those that resume them. */
static void
run_check_streams (soak_t *soak)
{
  for (uint32_t i = 0; i < CHECK_STREAMS; i++)
    {
      soak_request_t *call;

      soak_send_request (soak, i % soak->gateway_count, SOAK_RESUMABLE_STREAM, 0, true);
      call = g_ptr_array_index (soak->calls, soak->calls->len - 1);
      call->leaves = true;
      soak_run_loop (soak, CHECK_WAIT_MS / CHECK_STREAMS);
    }
  soak_run_loop (soak, CHECK_WAIT_MS);
}

/* After all has healed the streams that clients leave must go on as often as new ones begin, but
 * for half of them, as the users' rule has it. */
void
soak_check_streams (soak_t *soak)
{
  guint first = soak->calls->len;
  uint32_t begun = 0;
  uint32_t resumed = 0;
  uint32_t went_on = 0;

  if (!soak->versions)
    return;
  run_check_streams (soak);
  for (guint i = first; i < soak->calls->len; i++)
    {
      const soak_request_t *call = g_ptr_array_index (soak->calls, i);

      begun += !call->resumed && call->status == 200 ? 1 : 0;
      resumed += call->resumed ? 1 : 0;
      went_on += call->resumed && call->status == 200 && soak_count_events (call) > 0 ? 1 : 0;
    }
  soak_log (soak, "%u of %u streams begun, %u of %u resumed ones went on", begun, CHECK_STREAMS,
            went_on, resumed);
  if (resumed >= CHECK_STREAMS / 2 && 2 * went_on * CHECK_STREAMS < begun * resumed)
    soak_fail (soak, "%u of %u resumed streams went on, while %u of %u began", went_on, resumed,
               begun, CHECK_STREAMS);
}
