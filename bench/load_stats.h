/**
 * DOC: load_stats
 *
 * What the load tool measured, for each side, and how it is printed.
 */
#ifndef BENCH_LOAD_STATS_H
#define BENCH_LOAD_STATS_H

#include "load_answer.h"
#include "load_options.h"

typedef struct lst lst_t;

/**
 * struct lst_sample - one request that ended
 * @failure: NULL when answered, else what the caller saw, e.g. "503 not_run queue_full" or "cut"
 * @engine: that answered, or NULL
 * @reusable_tokens: of a returning chat: what may have been cached; 0 for a first turn
 */
typedef struct
{
  lop_side_t side;
  uint64_t latency_us;
  uint64_t first_token_us;
  const char *failure;
  const char *engine;
  const char *class_name;
  const char *account;
  uint32_t reusable_tokens;
  const lan_t *answer;
} lst_sample_t;

lst_t *lst_new (void);
void lst_free (lst_t *lst);
void lst_add (lst_t *lst, const lst_sample_t *sample);
/** lst_print() - text, or one JSON object. Return: whether any answer was not the caller's own */
bool lst_print (lst_t *lst, const lop_t *options, uint64_t elapsed_us, uint64_t skipped);

#endif
