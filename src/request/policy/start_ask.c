#include "request/policy/start_ask.h"

#include <glib.h>

void
sak_init (sak_t *sak, uint64_t now_us, bool first_start, bool can_ask)
{
  *sak = (sak_t){ .first_start = first_start,
                  .read_store = !can_ask,
                  .deadline_us = now_us + (first_start ? SAK_FIRST_PATIENCE_US : SAK_PATIENCE_US),
                  .next_us = now_us,
                  .wait_us = SAK_WAIT_MIN_US };
}

bool
sak_reads (const sak_t *sak, uint64_t now_us)
{
  return sak->read_store || now_us >= sak->deadline_us;
}

bool
sak_asks (const sak_t *sak, uint64_t now_us)
{
  return now_us >= sak->next_us;
}

static void
schedule_next_question (sak_t *sak, uint64_t now_us, uint32_t spread_milli)
{
  sak->next_us = now_us + sak->wait_us / 2 + sak->wait_us * spread_milli / 1000;
  sak->wait_us = MIN (sak->wait_us * 2, SAK_WAIT_MAX_US);
}

void
sak_refused (
    sak_t *sak, uint64_t now_us, sak_refusal_t refusal, bool elsewhere, uint32_t spread_milli)
{
  sak->unanswered = refusal == SAK_SILENT ? sak->unanswered + 1 : 0;
  if (refusal == SAK_LARGE)
    sak->read_store = true;
  if (!sak->first_start && (refusal == SAK_COLD || sak->unanswered >= SAK_SILENT_MOST))
    sak->read_store = true;
  if (elsewhere)
    sak->next_us = now_us + SAK_WAIT_MIN_US * spread_milli / 1000;
  else if (refusal != SAK_SILENT || sak->first_start || sak_reads (sak, now_us))
    schedule_next_question (sak, now_us, spread_milli);
}

bool
sak_may_serve (const sak_server_t *server, uint64_t now_us)
{
  uint32_t oldest = server->served % SAK_SERVED_AT_ONCE;

  return server->served < SAK_SERVED_AT_ONCE || now_us >= server->served_us[oldest] + SAK_SERVE_US;
}

void
sak_served (sak_server_t *server, uint64_t now_us, const set_address_t *asker)
{
  server->served_us[server->served % SAK_SERVED_AT_ONCE] = now_us;
  server->referrals[server->served % SAK_HELPERS] = *asker;
  server->served++;
}

bool
sak_helper (const sak_server_t *server, uint32_t draw, set_address_t *referral)
{
  uint32_t count = MIN (server->served, SAK_HELPERS);

  if (count == 0)
    return false;
  *referral = server->referrals[draw % count];
  return true;
}
