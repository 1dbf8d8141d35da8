#include "request/policy/store/bootstrap.h"

#include <glib.h>

void
bootstrap_init (bootstrap_t *bootstrap, uint64_t now_us, bool first_start, bool can_ask)
{
  *bootstrap = (bootstrap_t){
    .first_start = first_start,
    .read_store = !can_ask,
    .deadline_us = now_us + (first_start ? BOOTSTRAP_FIRST_START_TIMEOUT_US : BOOTSTRAP_TIMEOUT_US),
    .next_us = now_us,
    .wait_us = BOOTSTRAP_RETRY_MIN_US
  };
}

bool
bootstrap_should_read_store (const bootstrap_t *bootstrap, uint64_t now_us)
{
  return bootstrap->read_store || now_us >= bootstrap->deadline_us;
}

bool
bootstrap_may_ask_peer (const bootstrap_t *bootstrap, uint64_t now_us)
{
  return now_us >= bootstrap->next_us;
}

static void
schedule_next_question (bootstrap_t *bootstrap, uint64_t now_us, uint32_t spread_milli)
{
  bootstrap->next_us = now_us + bootstrap->wait_us / 2 + bootstrap->wait_us * spread_milli / 1000;
  bootstrap->wait_us = MIN (bootstrap->wait_us * 2, BOOTSTRAP_RETRY_MAX_US);
}

void
bootstrap_peer_refused (bootstrap_t *bootstrap,
                        uint64_t now_us,
                        bootstrap_refusal_t refusal,
                        bool elsewhere,
                        uint32_t spread_milli)
{
  bootstrap->unanswered = refusal == BOOTSTRAP_NO_ANSWER ? bootstrap->unanswered + 1 : 0;
  if (refusal == BOOTSTRAP_TOO_LARGE)
    bootstrap->read_store = true;
  if (!bootstrap->first_start &&
      (refusal == BOOTSTRAP_EMPTY || bootstrap->unanswered >= BOOTSTRAP_UNANSWERED_MAX))
    bootstrap->read_store = true;
  if (elsewhere)
    bootstrap->next_us = now_us + BOOTSTRAP_RETRY_MIN_US * spread_milli / 1000;
  else if (refusal != BOOTSTRAP_NO_ANSWER || bootstrap->first_start ||
           bootstrap_should_read_store (bootstrap, now_us))
    schedule_next_question (bootstrap, now_us, spread_milli);
}

bool
bootstrap_server_may_serve (const bootstrap_server_t *server, uint64_t now_us)
{
  uint32_t oldest = server->served % BOOTSTRAP_CONCURRENT_MAX;

  return server->served < BOOTSTRAP_CONCURRENT_MAX ||
         now_us >= server->served_us[oldest] + BOOTSTRAP_TRANSFER_US;
}

void
bootstrap_server_add_served (bootstrap_server_t *server, uint64_t now_us, const address_t *asker)
{
  server->served_us[server->served % BOOTSTRAP_CONCURRENT_MAX] = now_us;
  server->referrals[server->served % BOOTSTRAP_REFERRALS] = *asker;
  server->served++;
}

bool
bootstrap_server_pick_referral (const bootstrap_server_t *server,
                                uint32_t draw,
                                address_t *referral)
{
  uint32_t count = MIN (server->served, BOOTSTRAP_REFERRALS);

  if (count == 0)
    return false;
  *referral = server->referrals[draw % count];
  return true;
}
