/**
 * DOC: bench_claims
 *
 * Simulates claims at the size of a fleet: many sidecars follow the claims streams of one log,
 * which accepts a limited number of appends a second and refuses the rest. The daemons' own claim
 * code runs in virtual time over a log in memory, called as the control task calls it. Prints a
 * tab-separated line for each combination of options.
 *
 * Usage: bench-claims [KEYED_S STREAMS FOLLOWERS APPENDS_S [SECONDS]]; without arguments, a table.
 */
#include "figures.h"
#include "base/clock.h"
#include "base/limits.h"
#include "random.h"
#include "request/policy/claims/claim.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP_US CLOCK_US_PER_MS              /* of virtual time */
#define ROUND_TRIP_US (10 * CLOCK_US_PER_MS) /* between a sidecar and the log */
#define TICK_US (100 * CLOCK_US_PER_MS)
#define READ_WAIT_US (200 * CLOCK_US_PER_MS) /* long poll: a read waits that long for records */
#define READ_RECORDS 500                     /* limit of one read */
#define REQUEST_DEADLINE_US (5 * (uint64_t)CLOCK_US_PER_S)
#define MEAN_RUN_TIME_US 50000.0
#define HORIZON_US (3600 * (uint64_t)CLOCK_US_PER_S)
#define WALL_BASE_MS UINT64_C (1800000000000)
/* Overhead of HTTP and JSON: of an append and its answer, of a read and its answer, of a record. */
#define APPEND_BYTES 300
#define READ_BYTES 350
#define RECORD_BYTES 30
#define WARM_UP_US (5 * (uint64_t)CLOCK_US_PER_S)

/**
 * struct claims_options - settings of a run
 * @keyed_s: requests with an idempotency key in a second
 * @streams: claims streams of the log
 * @followers: sidecars that get the requests of one stream
 * @appends_s: appends that the log accepts in a second; 0 for no limit
 */
typedef struct
{
  uint32_t keyed_s;
  uint32_t streams;
  uint32_t followers;
  uint32_t appends_s;
  uint32_t seconds;
} claims_options_t;

/** struct running_request - a request whose claim was granted and that its engine runs */
typedef struct
{
  uint64_t claim_id[2];
  claim_key_t key;
  uint64_t end_us;
} running_request_t;

/** struct waiting_request - a request that waits for its claim */
typedef struct
{
  uint64_t at_us;
  claim_key_t key;
} waiting_request_t;

/**
 * struct follower - a sidecar that follows one stream
 * @append: body of the append in flight, or NULL
 * @append_at_us: when the append reaches the log; after that, when its answer reaches the sidecar
 * @append_arrived: whether it has reached the log
 * @append_accepted: whether the log has accepted it, at @append_offset
 * @reading: whether a read is in flight
 * @read_answered: whether the log has answered it
 * @read_at_us: when the read reaches the log; after its answer, when that reaches the sidecar
 * @read_until_us: end of the long poll
 * @read_end: offset after the last record of the answer
 * @tick_us: next periodic tick of the control task
 */
typedef struct
{
  claim_stream_t *claim_stream;
  GPtrArray *stream;
  GArray *runs;
  char *append;
  uint64_t append_at_us;
  bool append_arrived;
  bool append_accepted;
  uint64_t append_offset;
  bool reading;
  bool read_answered;
  uint64_t read_at_us;
  uint64_t read_until_us;
  uint64_t read_end;
  uint64_t tick_us;
} follower_t;

/**
 * struct sim - a run; counters and samples are taken after the warm-up
 * @append_tokens: token bucket of the log's limit, in appends
 * @entries: claims in the accepted appends
 * @granted_ms, @refused_ms: from a request until its claim is granted or refused
 */
typedef struct
{
  claims_options_t options;
  uint64_t now_us;
  uint64_t rand;
  double append_tokens;
  GPtrArray **streams;
  follower_t *followers;
  uint64_t next_id;
  uint64_t asked;
  uint64_t granted;
  uint64_t refused_claims;
  uint64_t appends;
  uint64_t refused_appends;
  uint64_t entries;
  uint64_t read_bytes;
  uint64_t sent_bytes;
  figures_samples_t granted_ms;
  figures_samples_t refused_ms;
} sim_t;

static bool
is_warm (const sim_t *sim)
{
  return sim->now_us >= WARM_UP_US;
}

static uint64_t
wall_ms (const sim_t *sim)
{
  return WALL_BASE_MS + sim->now_us / CLOCK_US_PER_MS;
}

static void
handle_results (sim_t *sim, follower_t *follower)
{
  claim_result_t result;
  while (claim_take_result (follower->claim_stream, sim->now_us, &result))
    {
      waiting_request_t *request = result.owner;
      double ms = (double)(sim->now_us - request->at_us) / CLOCK_US_PER_MS;
      bool granted = result.verdict == CLAIM_GRANTED;
      if (granted)
        {
          running_request_t run = { { result.claim_id[0], result.claim_id[1] }, request->key, 0 };
          run.end_us = sim->now_us + (uint64_t)random_exponential (&sim->rand, MEAN_RUN_TIME_US);
          g_array_append_val (follower->runs, run);
        }
      if (is_warm (sim))
        {
          figures_add_sample (granted ? &sim->granted_ms : &sim->refused_ms, ms);
          sim->granted += granted;
          sim->refused_claims += !granted;
        }
      g_free (request);
    }
}

static void
start_log_calls (sim_t *sim, follower_t *follower)
{
  if (follower->append == NULL)
    {
      follower->append = claim_next_batch (follower->claim_stream, sim->now_us, wall_ms (sim));
      follower->append_at_us = sim->now_us + ROUND_TRIP_US / 2;
      follower->append_arrived = false;
    }
  if (!follower->reading && claim_needs_read (follower->claim_stream))
    {
      follower->reading = true;
      follower->read_answered = false;
      follower->read_at_us = sim->now_us + ROUND_TRIP_US / 2;
      follower->read_until_us = follower->read_at_us + READ_WAIT_US;
    }
}

static bool
log_accepts (sim_t *sim)
{
  if (sim->options.appends_s == 0)
    return true;
  if (sim->append_tokens < 1)
    return false;
  sim->append_tokens -= 1;
  return true;
}

static uint32_t
count_entries (const char *text)
{
  uint32_t count = 0;
  for (; *text != '\0'; text++)
    count += *text == '{';
  return count;
}

/* The append in flight reaches the log. */
static void
append_to_log (sim_t *sim, follower_t *follower)
{
  follower->append_arrived = true;
  follower->append_at_us = sim->now_us + ROUND_TRIP_US / 2;
  follower->append_accepted = log_accepts (sim);
  if (is_warm (sim))
    {
      sim->appends++;
      sim->sent_bytes += strlen (follower->append) + APPEND_BYTES;
      sim->refused_appends += !follower->append_accepted;
      sim->entries += follower->append_accepted ? count_entries (follower->append) : 0;
    }
  if (!follower->append_accepted)
    return;
  follower->append_offset = follower->stream->len;
  g_ptr_array_add (follower->stream, g_strdup (follower->append));
}

static void
answer_append (sim_t *sim, follower_t *follower)
{
  g_clear_pointer (&follower->append, g_free);
  if (follower->append_accepted)
    claim_append_succeeded (follower->claim_stream, sim->now_us);
  else
    claim_append_refused (follower->claim_stream, sim->now_us);
}

static void
step_append (sim_t *sim, follower_t *follower)
{
  if (follower->append == NULL || sim->now_us < follower->append_at_us)
    return;
  if (!follower->append_arrived)
    {
      append_to_log (sim, follower);
      return;
    }
  answer_append (sim, follower);
  handle_results (sim, follower);
  start_log_calls (sim, follower);
}

static void
answer_read (sim_t *sim, follower_t *follower)
{
  follower->reading = false;
  uint64_t from = claim_next (follower->claim_stream).offset;
  uint64_t bytes = READ_BYTES;
  for (uint64_t at = from; at < follower->read_end; at++)
    {
      const char *text = g_ptr_array_index (follower->stream, at);
      bytes += strlen (text) + RECORD_BYTES;
      claim_apply_record (follower->claim_stream, sim->now_us, wall_ms (sim),
                          (position_t){ .offset = at }, text, strlen (text));
    }
  claim_read_to_end (follower->claim_stream, sim->now_us,
                     (position_t){ .offset = follower->read_end });
  if (is_warm (sim))
    sim->read_bytes += bytes;
}

static void
step_read (sim_t *sim, follower_t *follower)
{
  if (!follower->reading || sim->now_us < follower->read_at_us)
    return;
  if (!follower->read_answered)
    {
      uint64_t from = claim_next (follower->claim_stream).offset;
      if (follower->stream->len == from && sim->now_us < follower->read_until_us)
        return;
      follower->read_answered = true;
      follower->read_end = MIN (follower->stream->len, from + READ_RECORDS);
      follower->read_at_us = sim->now_us + ROUND_TRIP_US / 2;
      return;
    }
  answer_read (sim, follower);
  handle_results (sim, follower);
  start_log_calls (sim, follower);
}

static void
step_runs (sim_t *sim, follower_t *follower)
{
  for (guint i = follower->runs->len; i-- > 0;)
    {
      running_request_t run = g_array_index (follower->runs, running_request_t, i);
      if (sim->now_us < run.end_us)
        continue;
      claim_finish (follower->claim_stream, run.claim_id, &run.key, 200);
      g_array_remove_index_fast (follower->runs, i);
      start_log_calls (sim, follower);
    }
}

static void
add_request (sim_t *sim)
{
  uint32_t count = sim->options.streams * sim->options.followers;
  follower_t *follower = &sim->followers[random_below (&sim->rand, count)];
  uint64_t claim_id[2] = { 1, ++sim->next_id };
  waiting_request_t *request = g_new0 (waiting_request_t, 1);
  request->at_us = sim->now_us;
  request->key = (claim_key_t){ { random_next (&sim->rand), random_next (&sim->rand) }, 5 };
  sim->asked += is_warm (sim);
  claim_request (follower->claim_stream, sim->now_us, claim_id, &request->key,
                 sim->now_us + REQUEST_DEADLINE_US, request);
  handle_results (sim, follower);
  start_log_calls (sim, follower);
}

static void
step (sim_t *sim)
{
  sim->now_us += STEP_US;
  sim->append_tokens += (double)sim->options.appends_s * STEP_US / CLOCK_US_PER_S;
  sim->append_tokens = MIN (sim->append_tokens, sim->options.appends_s);
  for (uint32_t i = 0; i < sim->options.streams * sim->options.followers; i++)
    {
      follower_t *follower = &sim->followers[i];
      step_append (sim, follower);
      step_read (sim, follower);
      step_runs (sim, follower);
      if (sim->now_us < MIN (follower->tick_us, claim_append_due_us (follower->claim_stream)))
        continue;
      while (follower->tick_us <= sim->now_us)
        follower->tick_us += TICK_US;
      handle_results (sim, follower);
      start_log_calls (sim, follower);
    }
}

static void
sim_start (sim_t *sim, const claims_options_t *options)
{
  memset (sim, 0, sizeof *sim);
  sim->options = *options;
  sim->rand = 7;
  sim->now_us = CLOCK_US_PER_S;
  sim->append_tokens = options->appends_s;
  sim->streams = g_new0 (GPtrArray *, options->streams);
  sim->followers = g_new0 (follower_t, options->streams * options->followers);
  for (uint32_t i = 0; i < options->streams; i++)
    sim->streams[i] = g_ptr_array_new_with_free_func (g_free);
  for (uint32_t i = 0; i < options->streams * options->followers; i++)
    {
      follower_t *follower = &sim->followers[i];
      follower->claim_stream = claim_new (HORIZON_US);
      claim_set_first (follower->claim_stream, (position_t){ 0 });
      follower->stream = sim->streams[i % options->streams];
      follower->runs = g_array_new (FALSE, FALSE, sizeof (running_request_t));
      follower->tick_us = sim->now_us + (uint64_t)(random_unit (&sim->rand) * TICK_US);
    }
}

static void
sim_clear (sim_t *sim)
{
  for (uint32_t i = 0; i < sim->options.streams * sim->options.followers; i++)
    {
      claim_free (sim->followers[i].claim_stream);
      g_array_free (sim->followers[i].runs, TRUE);
      g_free (sim->followers[i].append);
    }
  for (uint32_t i = 0; i < sim->options.streams; i++)
    g_ptr_array_free (sim->streams[i], TRUE);
  g_free (sim->streams);
  g_free (sim->followers);
  g_free (sim->granted_ms.values);
  g_free (sim->refused_ms.values);
}

static void
print_figures (sim_t *sim, double seconds)
{
  const claims_options_t *options = &sim->options;
  double answered = MAX (1, sim->granted + sim->refused_claims);
  double followers = options->streams * options->followers;
  double accepted = (double)(sim->appends - sim->refused_appends);
  printf ("%u\t%u\t%u\t%u\t%.0f\t%.0f\t%.2f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n",
          options->keyed_s, options->streams, options->followers, options->appends_s,
          accepted / seconds, (double)sim->refused_appends / seconds,
          (double)sim->appends / MAX (1, sim->granted), (double)sim->entries / MAX (1, accepted),
          100.0 * (double)sim->refused_claims / answered, figures_quantile (&sim->granted_ms, 0.5),
          figures_quantile (&sim->granted_ms, 0.99), figures_quantile (&sim->refused_ms, 0.5),
          figures_quantile (&sim->refused_ms, 0.99), (double)sim->sent_bytes / followers / seconds,
          (double)sim->read_bytes / followers / seconds);
  fflush (stdout);
}

static void
run (const claims_options_t *options)
{
  sim_t sim;
  sim_start (&sim, options);
  uint64_t end_us = WARM_UP_US + options->seconds * (uint64_t)CLOCK_US_PER_S;
  double next_us = (double)sim.now_us;
  while (sim.now_us < end_us)
    {
      for (; next_us <= (double)sim.now_us;
           next_us += random_exponential (&sim.rand, 1e6 / options->keyed_s))
        add_request (&sim);
      step (&sim);
    }
  print_figures (&sim, options->seconds);
  sim_clear (&sim);
}

static void
print_table (void)
{
  static const uint32_t keyed_s[] = { 34, 340, 1700, 3400 };
  static const uint32_t streams[] = { 12, 48, 192 };
  static const uint32_t followers[] = { 1, 2, 4 };
  for (uint32_t i = 0; i < G_N_ELEMENTS (keyed_s); i++)
    for (uint32_t j = 0; j < G_N_ELEMENTS (streams); j++)
      for (uint32_t k = 0; k < G_N_ELEMENTS (followers); k++)
        {
          claims_options_t options = { keyed_s[i], streams[j], followers[k], 0, 15 };
          run (&options);
          options.appends_s = 300;
          run (&options);
        }
}

int
main (int argc, char **argv)
{
  puts (
      "keyed/s\tstreams\tfollowers\tlimit/s\ttaken/s\trefused/s\tappends/granted\tentries/append\t"
      "not run %\tgrant p50 ms\tp99\trefusal p50 ms\tp99\tsent B/s\tread B/s");
  if (argc < 5)
    {
      print_table ();
      return 0;
    }
  claims_options_t options = { (uint32_t)atoi (argv[1]), (uint32_t)atoi (argv[2]),
                               (uint32_t)atoi (argv[3]), (uint32_t)atoi (argv[4]),
                               argc > 5 ? (uint32_t)atoi (argv[5]) : 15 };
  run (&options);
  return 0;
}
