/**
 * DOC: load_stats
 *
 * Measurements of the load tool for each side (routers, engines), and their output.
 */
#ifndef BENCH_LOAD_STATS_H
#define BENCH_LOAD_STATS_H

#include "load_answer.h"
#include "load_options.h"

typedef struct load_stats load_stats_t;

/**
 * struct load_stats_sample - one request that has ended
 * @latency_us: from the start of the request to the last byte of the answer
 * @first_token_us: from the start of the request to the first byte of the answer's body
 * @failure: NULL if answered, else what the client saw, e.g. "503 not_run queue_full" or "cut"
 * @engine: the engine that answered, or NULL if the answer doesn't name one
 * @reusable_tokens: tokens of the chat's earlier turns that may have been cached; 0 in its first
 *   turn
 */
typedef struct
{
  load_side_t side;
  uint64_t latency_us;
  uint64_t first_token_us;
  const char *failure;
  const char *engine;
  const char *class_name;
  const char *account;
  uint32_t reusable_tokens;
  const load_answer_t *answer;
} load_stats_sample_t;

load_stats_t *load_stats_new (void);
void load_stats_free (load_stats_t *stats);
void load_stats_add (load_stats_t *stats, const load_stats_sample_t *sample);
/**
 * load_stats_print() - prints all measurements in the format that @options ask for
 * @skipped: requests that were due but not sent
 *
 * Return: whether any answer belonged to another request
 */
bool load_stats_print (load_stats_t *stats,
                       const load_options_t *options,
                       uint64_t elapsed_us,
                       uint64_t skipped);

#endif
