#include "silence_request.h"

#include <stdio.h>
#include <string.h>

#define DEADLINE_MS 8000
#define PRINTED_BODY_BYTES 100

static const struct
{
  const char *name;
  const char *method;
  const char *path;
} kinds[SILENCE_KINDS] = { { "streams", "POST", "/talk/" },
                           { "lookups", "GET", "/look/" },
                           { "bookings", "POST", "/book/" } };

static const char *const ending_names[SILENCE_ENDINGS] = { "whole",      "refused", "over time",
                                                           "504",        "502",     "cut",
                                                           "unanswered", "crossed", "wrong" };

silence_request_t *
silence_request_send (const silence_rig_t *rig,
                      const char *id,
                      silence_kind_t kind,
                      uint32_t gateway,
                      const silence_request_t *before)
{
  silence_request_t *request = g_new0 (silence_request_t, 1);
  g_autofree char *path = g_strconcat (kinds[kind].path, id, NULL);
  g_autofree char *headers = g_strdup_printf (
      "X-Request-Id: %s\r\nX-Key: key-1\r\nX-Deadline-Ms: %u\r\n", id, DEADLINE_MS);

  g_strlcpy (request->id, id, sizeof request->id);
  request->kind = kind;
  request->gateway = gateway;
  request->is_reused = before && driver_call_is_connected (before->call);
  if (request->is_reused)
    request->call = driver_send_next (before->call, kinds[kind].method, path, headers);
  else
    request->call = driver_send_http (rig->driver, rig->gateways[gateway]->ip, kinds[kind].method,
                                      path, headers, "");
  return request;
}

/* Whether each event is there once, and all are of one version. */
static bool
is_whole_stream (const silence_request_t *request)
{
  const char *body = request->call->body->str;
  const char *version = strstr (body, " v2\n") ? "v2" : "v1";
  GString *expected = g_string_new (NULL);
  bool whole;

  for (uint32_t i = 1; i <= SILENCE_RIG_EVENTS; i++)
    g_string_append_printf (expected, "id: %u\ndata: %s %u %s\n\n", i, request->id, i, version);
  whole = strcmp (body, expected->str) == 0;
  g_string_free (expected, TRUE);
  return whole;
}

static bool
is_whole_answer (const silence_request_t *request)
{
  g_autofree char *start = g_strdup_printf ("answer to %s by ", request->id);

  return g_str_has_prefix (request->call->body->str, start);
}

static silence_ending_t
ending_of (const silence_request_t *request, uint32_t runs)
{
  const driver_call_t *call = request->call;
  bool complete = call->outcome == DRIVER_OUTCOME_COMPLETE;
  bool whole =
      request->kind == SILENCE_STREAM ? is_whole_stream (request) : is_whole_answer (request);

  if (complete && call->status == 200 && whole)
    return SILENCE_WHOLE;
  if (complete && call->status == 503)
    return SILENCE_REFUSED;
  if (call->ended_us - call->sent_us >= SILENCE_RIG_ROUTE_MS * 1000)
    return SILENCE_OVER_TIME;
  if (call->outcome == DRIVER_OUTCOME_NO_RESPONSE)
    return request->is_reused && runs == 0 ? SILENCE_CROSSED : SILENCE_UNANSWERED;
  if (!complete)
    return SILENCE_CUT;
  return call->status == 504   ? SILENCE_TIMED_OUT
         : call->status == 502 ? SILENCE_FAILED
                               : SILENCE_WRONG;
}

silence_ending_t
silence_tally_add (silence_tally_t *tally, const silence_request_t *request, uint32_t runs)
{
  silence_ending_t ending = ending_of (request, runs);

  tally->counts[request->kind][ending]++;
  if (ending > SILENCE_OVER_TIME && ending != SILENCE_CROSSED)
    tally->lost++;
  if (request->kind == SILENCE_BOOKING && runs > 1)
    tally->ran_twice++;
  if (request->kind == SILENCE_BOOKING && ending == SILENCE_REFUSED && runs > 0)
    tally->refused_but_ran++;
  return ending;
}

uint32_t
silence_tally_sum (const silence_tally_t *tally, silence_ending_t ending)
{
  uint32_t sum = 0;

  for (silence_kind_t kind = 0; kind < SILENCE_KINDS; kind++)
    sum += tally->counts[kind][ending];
  return sum;
}

void
silence_tally_print (const silence_tally_t *tally)
{
  for (silence_kind_t kind = 0; kind < SILENCE_KINDS; kind++)
    {
      printf ("\n    %s:", kinds[kind].name);
      for (silence_ending_t ending = 0; ending < SILENCE_ENDINGS; ending++)
        if (tally->counts[kind][ending] > 0)
          printf (" %u %s", tally->counts[kind][ending], ending_names[ending]);
    }
  printf ("\n    lost: %u, refused: %u, over time: %u, bookings that ran twice: %u, refused but "
          "ran: %u\n",
          tally->lost, silence_tally_sum (tally, SILENCE_REFUSED),
          silence_tally_sum (tally, SILENCE_OVER_TIME), tally->ran_twice, tally->refused_but_ran);
}

void
silence_request_print (const silence_request_t *request,
                       silence_ending_t ending,
                       uint64_t start_us,
                       uint32_t runs)
{
  const driver_call_t *call = request->call;
  g_autofree char *body = g_strescape (call->body->str, NULL);
  size_t bytes = strlen (body);

  printf ("\n    %s of %s at gateway%u%s: %s, status %d, sent at %d ms, took %u ms, ran %u: ...%s",
          request->id, kinds[request->kind].name, request->gateway,
          request->is_reused ? " on a kept connection" : "", ending_names[ending], call->status,
          (int)((gint64)(call->sent_us - start_us) / 1000),
          (uint32_t)((call->ended_us - call->sent_us) / 1000), runs,
          body + (bytes > PRINTED_BODY_BYTES ? bytes - PRINTED_BODY_BYTES : 0));
}
