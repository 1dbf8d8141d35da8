#include "batch.h"

#include <glib.h>

#define PREFILL_UNIT 1000

struct bat
{
  bat_options_t options;
  GSequence *waiting; /* by priority, then arrival */
  GPtrArray *running; /* in the order of their start */
  uint64_t next_arrival;
  uint64_t prefill_credit; /* in thousandths of a token */
};

static int
by_turn (gconstpointer left, gconstpointer right, gpointer unused)
{
  const bat_job_t *a = left;
  const bat_job_t *b = right;
  (void)unused;
  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  if (a->arrival != b->arrival)
    return a->arrival < b->arrival ? -1 : 1;
  return 0;
}

static void
start_waiting (bat_t *bat)
{
  while (bat->running->len < bat->options.slots && !g_sequence_is_empty (bat->waiting))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (bat->waiting);
      bat_job_t *job = g_sequence_get (first);
      g_sequence_remove (first);
      job->running = true;
      g_ptr_array_add (bat->running, job);
      bat->options.on_start (job, bat->options.context);
    }
}

static void
read_prompt (bat_t *bat, bat_job_t *job)
{
  if (bat->options.prefill_per_step == 0)
    {
      job->prefill_tokens = 0;
      return;
    }
  uint64_t read_tokens = MIN (job->prefill_tokens, bat->prefill_credit / PREFILL_UNIT);
  job->prefill_tokens -= (uint32_t)read_tokens;
  bat->prefill_credit -= read_tokens * PREFILL_UNIT;
}

static void
end_job (bat_t *bat, guint index, bool whole)
{
  bat_job_t *job = g_ptr_array_index (bat->running, index);
  g_ptr_array_remove_index (bat->running, index);
  job->running = false;
  bat->options.on_end (job, whole, bat->options.context);
}

bat_t *
bat_new (const bat_options_t *options)
{
  g_assert (options->slots > 0);
  bat_t *bat = g_new0 (bat_t, 1);
  bat->options = *options;
  bat->waiting = g_sequence_new (NULL);
  bat->running = g_ptr_array_new ();
  return bat;
}

void
bat_free (bat_t *bat)
{
  if (bat == NULL)
    return;
  g_sequence_free (bat->waiting);
  g_ptr_array_free (bat->running, TRUE);
  g_free (bat);
}

void
bat_add (bat_t *bat, bat_job_t *job)
{
  job->arrival = bat->next_arrival++;
  job->running = false;
  g_sequence_insert_sorted (bat->waiting, job, by_turn, NULL);
}

void
bat_remove (bat_t *bat, bat_job_t *job)
{
  if (job->running)
    {
      g_ptr_array_remove (bat->running, job);
      job->running = false;
      return;
    }
  GSequenceIter *iter = g_sequence_lookup (bat->waiting, job, by_turn, NULL);
  if (iter != NULL)
    g_sequence_remove (iter);
}

void
bat_step (bat_t *bat)
{
  start_waiting (bat);
  bat->prefill_credit += bat->options.prefill_per_step;
  guint index = 0;
  while (index < bat->running->len)
    {
      bat_job_t *job = g_ptr_array_index (bat->running, index);
      read_prompt (bat, job);
      if (job->prefill_tokens > 0)
        {
          index++;
          continue;
        }
      job->made_tokens++;
      bool go_on = bat->options.on_token (job, bat->options.context);
      if (!go_on)
        end_job (bat, index, false);
      else if (job->made_tokens >= job->wanted_tokens)
        end_job (bat, index, true);
      else
        index++;
    }
  /* what nobody used is lost, but for the fraction of a token that a slow prefill saves up */
  bat->prefill_credit = MIN (bat->prefill_credit, PREFILL_UNIT - 1);
  start_waiting (bat);
}

uint32_t
bat_running (const bat_t *bat)
{
  return bat->running->len;
}

uint32_t
bat_waiting (const bat_t *bat)
{
  return (uint32_t)g_sequence_get_length (bat->waiting);
}
