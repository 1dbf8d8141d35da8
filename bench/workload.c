#include "workload.h"

#include "random.h"

#include <glib.h>
#include <string.h>

#define TOKEN_COUNT_SIGMA 0.5 /* standard deviation of the logarithm */
#define LONG_PAUSE_FACTOR 10.0
#define CONTEXT_LIMIT_TOKENS 60000

/* The session rates give a mean load of about two thirds of the slots. */
static const workload_t workloads[] = {
  { .name = "tuul",
    .slots = 32,
    .bound_percent = 112,
    .prefill_tokens_s = 10000,
    .token_us = 30000,
    .cache_lifetime_s = 240,
    .cache_tokens = 2000000,
    .sessions_s = 1.9,
    .surging_account = 5,
    .account_shares = { 0.26, 0.2, 0.14, 0.1, 0.08, 0.06, 0.06, 0.04, 0.04, 0.02 },
    .account_weights = { 4000, 3000, 2000, 2000, 1000, 1000, 1000, 1000, 1000, 1000 },
    .classes = { { "appeal", 0.06, 2, 30000, true, 12000, 1500, 500, 0.6, 60, 0.1 },
                 { "draft", 0.24, 1, 15000, true, 2500, 500, 250, 0.75, 40, 0.1 },
                 { "tag", 0.2, 0, 5000, false, 800, 0, 8, 0, 0, 0 },
                 { "status", 0.3, 0, 5000, true, 150, 0, 30, 0, 0, 0 },
                 { "lookup", 0.2, 1, 10000, true, 1500, 0, 100, 0, 0, 0 } } },
  { .name = "jogak",
    .slots = 16,
    .bound_percent = 160,
    .prefill_tokens_s = 8000,
    .token_us = 30000,
    .cache_lifetime_s = 240,
    .cache_tokens = 1500000,
    .sessions_s = 0.45,
    .surging_account = 4,
    .account_shares = { 0.28, 0.22, 0.14, 0.09, 0.07, 0.06, 0.05, 0.04, 0.03, 0.02 },
    .account_weights = { 4000, 3000, 2000, 2000, 1000, 1000, 1000, 1000, 1000, 1000 },
    .classes = { { "regrade", 0.35, 2, 30000, true, 9000, 1200, 250, 0.85, 40, 0.1 },
                 { "pattern", 0.25, 1, 10000, true, 1200, 200, 60, 0.75, 25, 0.1 },
                 { "tag", 0.25, 0, 5000, true, 400, 0, 8, 0, 0, 0 },
                 { "booking", 0.1, 0, 5000, false, 600, 0, 20, 0, 0, 0 },
                 { "lookup", 0.05, 1, 10000, true, 1500, 0, 100, 0, 0, 0 } } },
};

static uint32_t
draw_index (uint64_t *random, const double *shares, uint32_t count)
{
  double rest = random_unit (random);
  for (uint32_t i = 0; i + 1 < count; i++)
    {
      if (rest < shares[i])
        return i;
      rest -= shares[i];
    }
  return count - 1;
}

static uint32_t
draw_class (uint64_t *random, const workload_t *workload)
{
  double shares[WORKLOAD_CLASSES];
  for (uint32_t i = 0; i < WORKLOAD_CLASSES; i++)
    shares[i] = workload->classes[i].share;
  return draw_index (random, shares, WORKLOAD_CLASSES);
}

static uint32_t
draw_tokens (uint64_t *random, double median)
{
  return median > 0 ? (uint32_t)random_lognormal (random, median, TOKEN_COUNT_SIGMA) + 1 : 0;
}

const workload_t *
workload_find (const char *name)
{
  for (uint32_t i = 0; i < G_N_ELEMENTS (workloads); i++)
    if (strcmp (workloads[i].name, name) == 0)
      return &workloads[i];
  return NULL;
}

workload_session_t *
workload_session_new (const workload_t *workload, uint64_t seed, int32_t account)
{
  workload_session_t *session = g_new0 (workload_session_t, 1);
  session->random = seed;
  session->chat_hash = random_next (&session->random) | 1;
  session->class_index = draw_class (&session->random, workload);
  const uint32_t drawn = draw_index (&session->random, workload->account_shares, WORKLOAD_ACCOUNTS);
  session->account = account < 0 ? drawn : (uint32_t)account;
  session->of_surge = account >= 0;
  return session;
}

workload_turn_t
workload_draw_turn (const workload_t *workload, workload_session_t *session)
{
  const workload_class_t *class = &workload->classes[session->class_index];
  uint64_t *random = &session->random;
  workload_turn_t turn = { 0 };
  const double median_tokens = session->turn == 0 ? class->opening_tokens : class->turn_tokens;
  turn.prompt_tokens = session->context_tokens + draw_tokens (random, median_tokens);
  turn.output_tokens = draw_tokens (random, class->output_tokens);
  turn.returns = random_unit (random) < class->return_share &&
                 turn.prompt_tokens + turn.output_tokens < CONTEXT_LIMIT_TOKENS;
  double pause_s = random_exponential (random, class->pause_s);
  if (random_unit (random) < class->long_pause_share)
    pause_s *= LONG_PAUSE_FACTOR;
  turn.pause_us = (uint64_t)(pause_s * 1e6);
  return turn;
}
