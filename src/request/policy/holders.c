#include "request/policy/holders.h"

#include <glib.h>
#include <string.h>

#define WAYS 4 /* places that a prompt may have: the one used least lately makes room */

/** struct seat - an engine that holds the prompt; @at_us 0 when there is none */
typedef struct
{
  uint64_t engine;
  uint64_t at_us;
} seat_t;

typedef struct
{
  uint64_t prompt;
  seat_t seats[HLD_ENGINES];
} entry_t;

typedef struct
{
  hld_fact_t fact;
  uint32_t sends_left;
} news_t;

struct hld
{
  entry_t *entries; /* HLD_PROMPTS */
  news_t news[HLD_NEWS];
  uint32_t next_news;
};

hld_t *
hld_new (void)
{
  hld_t *hld = g_new0 (hld_t, 1);

  hld->entries = g_new0 (entry_t, HLD_PROMPTS);
  return hld;
}

void
hld_free (hld_t *hld)
{
  g_free (hld->entries);
  g_free (hld);
}

static uint64_t
used_us (const entry_t *entry)
{
  uint64_t at_us = 0;

  for (uint32_t i = 0; i < HLD_ENGINES; i++)
    at_us = MAX (at_us, entry->seats[i].at_us);
  return at_us;
}

static entry_t *
first_way (const hld_t *hld, uint64_t prompt)
{
  return &hld->entries[prompt % (HLD_PROMPTS / WAYS) * WAYS];
}

/* Return: the prompt's entry, NULL when there is none */
static entry_t *
find_entry (const hld_t *hld, uint64_t prompt)
{
  entry_t *ways = first_way (hld, prompt);

  for (uint32_t i = 0; i < WAYS; i++)
    if (ways[i].prompt == prompt && used_us (&ways[i]) != 0)
      return &ways[i];
  return NULL;
}

static entry_t *
make_entry (hld_t *hld, uint64_t prompt)
{
  entry_t *ways = first_way (hld, prompt);
  entry_t *oldest = &ways[0];

  for (uint32_t i = 1; i < WAYS; i++)
    if (used_us (&ways[i]) < used_us (oldest))
      oldest = &ways[i];
  memset (oldest, 0, sizeof *oldest);
  oldest->prompt = prompt;
  return oldest;
}

/* Return: the engine's seat, or else the one that was used least lately */
static seat_t *
seat_for (entry_t *entry, uint64_t engine)
{
  seat_t *oldest = &entry->seats[0];

  for (uint32_t i = 0; i < HLD_ENGINES; i++)
    {
      seat_t *seat = &entry->seats[i];

      if (seat->at_us != 0 && seat->engine == engine)
        return seat;
      if (seat->at_us < oldest->at_us)
        oldest = seat;
    }
  return oldest;
}

/* In the place of an older piece on the same, or else of the one that has been there for longest.
 */
static void
tell (hld_t *hld, const hld_fact_t *fact)
{
  for (uint32_t i = 0; i < HLD_NEWS; i++)
    {
      news_t *news = &hld->news[i];

      if (news->fact.prompt == fact->prompt && news->fact.engine == fact->engine)
        {
          *news = (news_t){ .fact = *fact, .sends_left = HLD_SENDS };
          return;
        }
    }
  hld->news[hld->next_news++ % HLD_NEWS] = (news_t){ .fact = *fact, .sends_left = HLD_SENDS };
}

bool
hld_note (hld_t *hld, uint64_t now_us, const hld_fact_t *fact)
{
  entry_t *entry = find_entry (hld, fact->prompt);
  seat_t *seat;
  bool is_news;

  if (fact->at_us == 0 || fact->at_us + HLD_KEPT_US <= now_us)
    return false;
  if (!entry)
    entry = make_entry (hld, fact->prompt);
  seat = seat_for (entry, fact->engine);
  if (seat->engine == fact->engine && seat->at_us >= fact->at_us)
    return false;
  is_news = seat->at_us == 0 || seat->engine != fact->engine ||
            fact->at_us - seat->at_us >= HLD_RETELL_US;
  *seat = (seat_t){ .engine = fact->engine, .at_us = fact->at_us };
  if (is_news)
    tell (hld, fact);
  return is_news;
}

uint32_t
hld_find (const hld_t *hld, uint64_t now_us, uint64_t prompt, hld_fact_t out[HLD_ENGINES])
{
  const entry_t *entry = find_entry (hld, prompt);
  uint32_t count = 0;

  for (uint32_t i = 0; entry && i < HLD_ENGINES; i++)
    {
      const seat_t *seat = &entry->seats[i];
      uint32_t at = count;

      if (seat->at_us == 0 || seat->at_us + HLD_KEPT_US <= now_us)
        continue;
      for (; at > 0 && out[at - 1].at_us < seat->at_us; at--)
        out[at] = out[at - 1];
      out[at] = (hld_fact_t){ .prompt = prompt, .engine = seat->engine, .at_us = seat->at_us };
      count++;
    }
  return count;
}

/* Return: the piece that has been told least, NULL when none is left that was not taken */
static news_t *
least_told (hld_t *hld, uint64_t now_us, const bool *taken)
{
  news_t *best = NULL;

  for (uint32_t i = 0; i < HLD_NEWS; i++)
    {
      news_t *news = &hld->news[i];

      if (taken[i] || news->sends_left == 0 || news->fact.at_us + HLD_KEPT_US <= now_us)
        continue;
      if (!best || news->sends_left > best->sends_left)
        best = news;
    }
  return best;
}

uint32_t
hld_take_news (hld_t *hld, uint64_t now_us, hld_fact_t *out, uint32_t want)
{
  bool taken[HLD_NEWS] = { false };
  uint32_t count = 0;
  news_t *news;

  while (count < want && (news = least_told (hld, now_us, taken)))
    {
      taken[news - hld->news] = true;
      news->sends_left--;
      out[count++] = news->fact;
    }
  return count;
}
