#include "batch.h"

#include <glib.h>

#define MILLITOKENS_PER_TOKEN 1000

struct batch
{
  batch_options_t options;
  GSequence *waiting; /* sorted by priority, then arrival */
  GPtrArray *running; /* in order of start */
  uint64_t next_arrival;
  uint64_t prefill_credit_millitokens;
};

static int
compare_by_priority (gconstpointer left, gconstpointer right, gpointer unused)
{
  const batch_job_t *a = left;
  const batch_job_t *b = right;
  (void)unused;
  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  if (a->arrival != b->arrival)
    return a->arrival < b->arrival ? -1 : 1;
  return 0;
}

static void
start_waiting (batch_t *batch)
{
  while (batch->running->len < batch->options.slots && !g_sequence_is_empty (batch->waiting))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (batch->waiting);
      batch_job_t *job = g_sequence_get (first);
      g_sequence_remove (first);
      job->running = true;
      g_ptr_array_add (batch->running, job);
      batch->options.on_start (job, batch->options.context);
    }
}

static void
prefill_job (batch_t *batch, batch_job_t *job)
{
  if (batch->options.prefill_millitokens_per_step == 0)
    {
      job->prefill_tokens = 0;
      return;
    }
  uint64_t prefilled_tokens =
      MIN (job->prefill_tokens, batch->prefill_credit_millitokens / MILLITOKENS_PER_TOKEN);
  job->prefill_tokens -= (uint32_t)prefilled_tokens;
  batch->prefill_credit_millitokens -= prefilled_tokens * MILLITOKENS_PER_TOKEN;
}

static void
end_job (batch_t *batch, guint index, bool completed)
{
  batch_job_t *job = g_ptr_array_index (batch->running, index);
  g_ptr_array_remove_index (batch->running, index);
  job->running = false;
  batch->options.on_end (job, completed, batch->options.context);
}

batch_t *
batch_create (const batch_options_t *options)
{
  g_assert (options->slots > 0);
  batch_t *batch = g_new0 (batch_t, 1);
  batch->options = *options;
  batch->waiting = g_sequence_new (NULL);
  batch->running = g_ptr_array_new ();
  return batch;
}

void
batch_free (batch_t *batch)
{
  if (batch == NULL)
    return;
  g_sequence_free (batch->waiting);
  g_ptr_array_free (batch->running, TRUE);
  g_free (batch);
}

void
batch_add_job (batch_t *batch, batch_job_t *job)
{
  job->arrival = batch->next_arrival++;
  job->running = false;
  g_sequence_insert_sorted (batch->waiting, job, compare_by_priority, NULL);
}

void
batch_remove_job (batch_t *batch, batch_job_t *job)
{
  if (job->running)
    {
      g_ptr_array_remove (batch->running, job);
      job->running = false;
      return;
    }
  GSequenceIter *iter = g_sequence_lookup (batch->waiting, job, compare_by_priority, NULL);
  if (iter != NULL)
    g_sequence_remove (iter);
}

void
batch_step (batch_t *batch)
{
  start_waiting (batch);
  batch->prefill_credit_millitokens += batch->options.prefill_millitokens_per_step;
  guint index = 0;
  while (index < batch->running->len)
    {
      batch_job_t *job = g_ptr_array_index (batch->running, index);
      prefill_job (batch, job);
      if (job->prefill_tokens > 0)
        {
          index++;
          continue;
        }
      job->generated_tokens++;
      bool keep_running = batch->options.on_token (job, batch->options.context);
      if (!keep_running)
        end_job (batch, index, false);
      else if (job->generated_tokens >= job->target_tokens)
        end_job (batch, index, true);
      else
        index++;
    }
  /* Unused budget expires, except the fraction of a token: a prefill rate below one token per step
   * would otherwise never advance. */
  batch->prefill_credit_millitokens =
      MIN (batch->prefill_credit_millitokens, MILLITOKENS_PER_TOKEN - 1);
  start_waiting (batch);
}

uint32_t
batch_running_count (const batch_t *batch)
{
  return batch->running->len;
}

uint32_t
batch_waiting_count (const batch_t *batch)
{
  return (uint32_t)g_sequence_get_length (batch->waiting);
}
