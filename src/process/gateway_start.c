#include "process/gateway_start.h"

#include "base/log.h"

#include <string.h>

/**
 * struct gateway_start - the start of a gateway
 * @started: all streams have been loaded
 * @reading: reading of the store has begun
 * @referral: gateway that the last refusal named, which is asked next; its port is 0 for none
 * @next_seed: index of the next seed to ask, modulo their number
 */
struct gateway_start
{
  gateway_start_options_t options;
  bootstrap_t policy;
  bool started;
  bool reading;
  address_t referral;
  uint32_t next_seed;
  GRand *rand;
};

static uint64_t
now_us (const gateway_start_t *start)
{
  return clock_now_us (start->options.clock);
}

static bool
is_own_address (const settings_t *settings, const address_t *address)
{
  return strcmp (address->ip, settings->control_listen.ip) == 0 &&
         address->port == settings->control_listen.port;
}

static bool
is_own_address_a_seed (const settings_t *settings)
{
  for (uint32_t i = 0; i < settings->seed_count; i++)
    if (is_own_address (settings, &settings->seeds[i]))
      return true;
  return false;
}

/* The gateways that the seeds setting names may be down or removed, so they are asked in turn. */
static bool
pick_seed (gateway_start_t *start, address_t *control)
{
  const settings_t *settings = start->options.settings;

  for (uint32_t i = 0; i < settings->seed_count; i++)
    {
      const address_t *seed = &settings->seeds[start->next_seed++ % settings->seed_count];

      if (is_own_address (settings, seed))
        continue;
      *control = *seed;
      return true;
    }
  return false;
}

static void
ask_next_peer (gateway_start_t *start)
{
  address_t peer = start->referral;

  start->referral.port = 0;
  if (peer.port == 0 && !start->options.pick_peer (&peer, start->options.context) &&
      !pick_seed (start, &peer))
    return;
  start->options.fetch_all (&peer, start->options.context);
}

static void
finish (gateway_start_t *start, const char *source)
{
  start->started = true;
  log_event (LOG_LEVEL_NOTICE, "started_from", "source", source, NULL);
}

gateway_start_t *
gateway_start_new (const gateway_start_options_t *options)
{
  gateway_start_t *start = g_new0 (gateway_start_t, 1);
  const settings_t *settings = options->settings;

  start->options = *options;
  start->rand = g_rand_new_with_seed ((guint32)options->seed);
  start->next_seed = g_rand_int (start->rand);
  bootstrap_init (&start->policy, now_us (start), settings->first_start,
                  settings->seed_count > 0 && !is_own_address_a_seed (settings));
  return start;
}

void
gateway_start_free (gateway_start_t *start)
{
  g_rand_free (start->rand);
  g_free (start);
}

void
gateway_start_advance (gateway_start_t *start)
{
  const gateway_start_options_t *options = &start->options;

  if (start->started)
    return;
  if (options->has_all_streams (options->context))
    {
      finish (start, "store");
      return;
    }
  if (!start->reading && bootstrap_should_read_store (&start->policy, now_us (start)))
    {
      start->reading = true;
      options->read_store (options->context);
    }
  if (start->reading && !options->is_store_down (options->context))
    return;
  if (bootstrap_may_ask_peer (&start->policy, now_us (start)) &&
      !options->is_fetching (options->context))
    ask_next_peer (start);
}

void
gateway_start_fetch_applied (gateway_start_t *start)
{
  if (!start->started)
    finish (start, "peer");
}

void
gateway_start_fetch_failed (gateway_start_t *start,
                            bootstrap_refusal_t refusal,
                            const address_t *referral)
{
  start->referral = *referral;
  bootstrap_peer_refused (&start->policy, now_us (start), refusal, referral->port != 0,
                          (uint32_t)g_rand_int_range (start->rand, 0, 1000));
}

bool
gateway_start_is_loading (const gateway_start_t *start)
{
  return !start->started;
}
