#include "request/policy/copies/loss_rate.h"

#include <string.h>
#include <xxhash.h>

#define PPM UINT64_C (1000000)
#define MILLI 1000

/** struct loss - the loss of an engine, or a request that it broke off */
typedef struct
{
  uint64_t host; /* rank_hash of the engine, which its restart keeps */
  uint64_t center;
  uint64_t at_us;
} loss_t;

/** struct known - an engine as the last review saw it */
typedef struct
{
  uint64_t hash;
  uint64_t host;
  uint64_t center;
  bool has_announced;
  bool is_listed;
} known_t;

/**
 * struct loss_rate - the losses of one service
 * @known: hash -> known_t
 * @losses: ring of the last ones, of which @loss_count were ever recorded
 * @changing: engines that leave, or joined in the window, at the last review; 0 without a release
 * @left_us: when an engine was last seen leaving, or had gone; 0 for never
 */
struct loss_rate
{
  GHashTable *known;
  loss_t losses[LOSS_RATE_EVENTS_MAX];
  uint32_t loss_count;
  uint32_t changing;
  uint64_t left_us;
  uint64_t reviewed_us;
};

loss_rate_t *
loss_rate_new (void)
{
  loss_rate_t *rate = g_new0 (loss_rate_t, 1);

  rate->known = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return rate;
}

void
loss_rate_free (loss_rate_t *rate)
{
  g_hash_table_destroy (rate->known);
  g_free (rate);
}

static uint64_t
hash_center (const engine_t *engine)
{
  return XXH64 (engine->entry.data_center, strlen (engine->entry.data_center), 0);
}

static void
add_loss (loss_rate_t *rate, uint64_t now_us, uint64_t host, uint64_t center)
{
  rate->losses[rate->loss_count++ % LOSS_RATE_EVENTS_MAX] =
      (loss_t){ .host = host, .center = center, .at_us = now_us };
}

void
loss_rate_note_break (loss_rate_t *rate, uint64_t now_us, const engine_t *engine)
{
  add_loss (rate, now_us, engine->rank_hash, hash_center (engine));
}

bool
loss_rate_is_review_due (const loss_rate_t *rate, uint64_t now_us)
{
  return rate->reviewed_us == 0 || now_us >= rate->reviewed_us + LOSS_RATE_REVIEW_US;
}

static bool
is_leaving (const engine_t *engine)
{
  return engine->reported_leaving || engine->entry.state == ENGINE_LEAVING;
}

static bool
has_joined (const engine_t *engine, uint64_t now_us)
{
  return engine->joined_us != 0 && now_us < engine->joined_us + LOSS_RATE_WINDOW_US;
}

static void
list_engine (loss_rate_t *rate, const engine_t *engine)
{
  known_t *known = g_hash_table_lookup (rate->known, &engine->hash);

  if (!known)
    {
      known = g_new0 (known_t, 1);
      *known = (known_t){ .hash = engine->hash,
                          .host = engine->rank_hash,
                          .center = hash_center (engine) };
      g_hash_table_insert (rate->known, &known->hash, known);
    }
  known->has_announced = !engine_is_open (engine);
  known->is_listed = true;
}

/* Engines whose entries expired while the store is out may run, so they are not counted. */
static void
drop_unlisted (loss_rate_t *rate, uint64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, rate->known);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      known_t *known = value;
      bool is_listed = known->is_listed;

      known->is_listed = false;
      if (is_listed)
        continue;
      rate->left_us = now_us;
      if (!known->has_announced)
        add_loss (rate, now_us, known->host, known->center);
      g_hash_table_iter_remove (&iter);
    }
}

/* Engines that join while none leaves are no release: the service grows, or starts. */
static uint32_t
count_changing (loss_rate_t *rate, uint64_t now_us, const GPtrArray *engines)
{
  uint32_t leaving = 0;
  uint32_t joined = 0;

  for (guint i = 0; i < engines->len; i++)
    {
      const engine_t *engine = g_ptr_array_index (engines, i);

      if (is_leaving (engine))
        leaving++;
      else if (has_joined (engine, now_us))
        joined++;
    }
  if (leaving > 0)
    rate->left_us = now_us;
  return rate->left_us != 0 && now_us < rate->left_us + LOSS_RATE_WINDOW_US ? leaving + joined : 0;
}

void
loss_rate_review (loss_rate_t *rate, uint64_t now_us, const GPtrArray *engines)
{
  rate->reviewed_us = now_us;
  for (guint i = 0; i < engines->len; i++)
    list_engine (rate, g_ptr_array_index (engines, i));
  drop_unlisted (rate, now_us);
  rate->changing = count_changing (rate, now_us, engines);
}

static uint32_t
count_kept (const loss_rate_t *rate)
{
  return MIN (rate->loss_count, LOSS_RATE_EVENTS_MAX);
}

/* Return: from 1000 for a loss now to 0 for one that is as old as the window */
static uint64_t
weight_milli (const loss_t *loss, uint64_t now_us)
{
  uint64_t age_us = now_us - MIN (loss->at_us, now_us);

  return age_us < LOSS_RATE_WINDOW_US ? (LOSS_RATE_WINDOW_US - age_us) * MILLI / LOSS_RATE_WINDOW_US
                                      : 0;
}

/* Whether a later loss of the same host is kept: an engine that breaks off many requests counts
 * once. */
static bool
is_repeated (const loss_rate_t *rate, uint32_t index)
{
  const loss_t *loss = &rate->losses[index];

  for (uint32_t i = 0; i < count_kept (rate); i++)
    {
      const loss_t *other = &rate->losses[i];

      if (other->host == loss->host &&
          (other->at_us > loss->at_us || (other->at_us == loss->at_us && i > index)))
        return true;
    }
  return false;
}

/** struct sum - losses of distinct engines: their number, and their weights */
typedef struct
{
  uint32_t count;
  uint64_t milli;
} sum_t;

/* @center: only of this data centre; 0 for all */
static sum_t
sum_losses (const loss_rate_t *rate, uint64_t now_us, uint64_t center)
{
  sum_t sum = { 0 };

  for (uint32_t i = 0; i < count_kept (rate); i++)
    {
      const loss_t *loss = &rate->losses[i];
      uint64_t milli = weight_milli (loss, now_us);

      if (milli == 0 || (center != 0 && loss->center != center) || is_repeated (rate, i))
        continue;
      sum.count++;
      sum.milli += milli;
    }
  return sum;
}

static uint32_t
count_in_center (const loss_rate_t *rate, uint64_t center)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, rate->known);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((const known_t *)value)->center == center ? 1 : 0;
  return count;
}

/* The engine's own breaks, and the share of its recent answers that were failures. */
static uint32_t
own_ppm (const loss_rate_t *rate, uint64_t now_us, const engine_t *engine)
{
  uint64_t breaks_milli = 0;
  uint64_t errors_ppm = (uint64_t)engine_error_rate_milli (engine, now_us) * MILLI;

  for (uint32_t i = 0; i < count_kept (rate); i++)
    if (rate->losses[i].host == engine->rank_hash)
      breaks_milli += weight_milli (&rate->losses[i], now_us);
  return (uint32_t)MIN (MAX (breaks_milli * LOSS_RATE_BREAK_PPM / MILLI, errors_ppm),
                        LOSS_RATE_MAX_PPM);
}

/* Return: the share of @engines that @milli thousandths of an engine are, in millionths */
static uint64_t
share_ppm (uint64_t milli, uint64_t engines)
{
  return milli * PPM / MILLI / MAX (engines, 1U);
}

/* Return: the chance within @run_us if @share_ppm are lost in the time for which losses count with
 * half their weight on average */
static uint64_t
within_run_ppm (uint64_t lost_ppm, uint64_t run_us)
{
  uint64_t span_us = LOSS_RATE_WINDOW_US / 2;

  return lost_ppm * MIN (run_us, span_us) / span_us;
}

loss_rate_estimate_t
loss_rate_estimate (const loss_rate_t *rate,
                    uint64_t now_us,
                    const engine_t *engine,
                    uint64_t run_us)
{
  uint64_t center = hash_center (engine);
  sum_t all = sum_losses (rate, now_us, 0);
  loss_rate_estimate_t estimate = { .lost = all.count,
                                    .changing = rate->changing,
                                    .engines = g_hash_table_size (rate->known) };
  sum_t near = { 0 };
  uint64_t lost_ppm;

  estimate.own_ppm = own_ppm (rate, now_us, engine);
  if (all.count == 0 && rate->changing == 0)
    {
      estimate.chance_ppm = estimate.own_ppm;
      return estimate;
    }
  lost_ppm = share_ppm (all.milli, estimate.engines + all.count);
  if (all.count >= LOSS_RATE_DOUBT_ENGINES)
    near = sum_losses (rate, now_us, center);
  if (near.count >= LOSS_RATE_DOUBT_ENGINES)
    {
      uint64_t near_ppm = share_ppm (near.milli, count_in_center (rate, center) + near.count);

      lost_ppm = MAX (lost_ppm, near_ppm);
      estimate.is_center_in_doubt = near_ppm >= LOSS_RATE_DOUBT_MILLI * MILLI;
    }
  lost_ppm +=
      share_ppm ((uint64_t)rate->changing * MILLI / LOSS_RATE_RELEASE_DIVISOR, estimate.engines);
  estimate.chance_ppm =
      (uint32_t)MIN (estimate.own_ppm + within_run_ppm (lost_ppm, run_us), LOSS_RATE_MAX_PPM);
  return estimate;
}
