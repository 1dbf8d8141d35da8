#include "request/decision.h"

#include "base/log.h"
#include "request/hop.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>

#define ATTEMPT_HOP_MASK UINT64_C (0xff) /* the bits of an attempt id that count the hops */

struct decision_ring
{
  decision_t *decisions;
  uint32_t limit;
  uint32_t next;
  uint32_t count;
};

static bool
same_request (const uint64_t left[2], const uint64_t right[2])
{
  return left[0] == right[0] && ((left[1] ^ right[1]) & ~ATTEMPT_HOP_MASK) == 0;
}

/* Adds what a sidecar recorded about the load of its engine. */
static void
add_engine_load (json_t *json, const decision_t *decision)
{
  json_object_set_new (json, "load", json_integer (decision->load));
  json_object_set_new (json, "waiting", json_integer (decision->waiting));
  json_object_set_new (json, "bound_milli", json_integer ((json_int_t)decision->bound_milli));
}

static json_t *
to_json (const decision_t *decision)
{
  char attempt[33];
  char chat[17];
  json_t *json;

  hop_format_attempt (decision->request, attempt);
  snprintf (chat, sizeof chat, "%016" PRIx64, decision->chat_hash);
  json =
      json_pack ("{s:s,s:I,s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:i,s:I}", "attempt", attempt, "wall_ms",
                 (json_int_t)decision->wall_ms, "action", decision->action, "chat", chat, "account",
                 decision->account, "service", decision->service, "class", decision->class_name,
                 "chosen", decision->chosen, "reason", verdict_reason_to_string (decision->reason),
                 "verdict", verdict_to_string (decision->verdict), "hop", (int)decision->hop,
                 "wait_us", (json_int_t)decision->wait_us);
  if (decision->has_engine_load)
    add_engine_load (json, decision);
  else
    json_object_set_new (json, "candidates", json_string (decision->candidates));
  return json;
}

decision_ring_t *
decision_ring_new (uint32_t limit)
{
  decision_ring_t *ring = g_new0 (decision_ring_t, 1);

  ring->decisions = g_new0 (decision_t, limit);
  ring->limit = limit;
  return ring;
}

void
decision_ring_free (decision_ring_t *ring)
{
  if (ring == NULL)
    return;
  g_free (ring->decisions);
  g_free (ring);
}

void
decision_ring_record (decision_ring_t *ring, const char *event, const decision_t *decision)
{
  char attempt[33];

  hop_format_attempt (decision->request, attempt);
  log_event (LOG_LEVEL_INFO, event, "request", attempt, "action", decision->action, "chat",
             LOG_HEX (decision->chat_hash), "account", decision->account, "service",
             decision->service, "class", decision->class_name, "candidates",
             decision->has_engine_load ? NULL : decision->candidates, "chosen", decision->chosen,
             "reason", verdict_reason_to_string (decision->reason), "verdict",
             verdict_to_string (decision->verdict), "hop", LOG_U64 (decision->hop), "wait_us",
             LOG_U64 (decision->wait_us), "load",
             decision->has_engine_load ? LOG_U64 (decision->load) : NULL, "waiting",
             decision->has_engine_load ? LOG_U64 (decision->waiting) : NULL, "bound_milli",
             decision->has_engine_load ? LOG_U64 (decision->bound_milli) : NULL, NULL);
  ring->decisions[ring->next] = *decision;
  ring->next = (ring->next + 1) % ring->limit;
  ring->count = MIN (ring->count + 1, ring->limit);
}

json_t *
decision_ring_find (const decision_ring_t *ring, const uint64_t request[2])
{
  json_t *found = json_array ();

  for (uint32_t i = 0; i < ring->count; i++)
    {
      uint32_t at = (ring->next + ring->limit - ring->count + i) % ring->limit;

      if (same_request (ring->decisions[at].request, request))
        json_array_append_new (found, to_json (&ring->decisions[at]));
    }
  return found;
}
